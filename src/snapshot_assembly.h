#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lentilcross/peer_message.h"

namespace lentilcross {

/// Puts one snapshot together. The pieces may be duplicate, in any order and
/// from several senders: equal version and checksum mean equal bytes.
class SnapshotAssembly {
 public:
  enum class Outcome : std::uint8_t { kIncomplete, kComplete, kCorrupt };

  /// Takes one piece. A higher version starts over; a lower one is ignored. So
  /// is another content for the same version, unless nothing has arrived for
  /// `patience`. After `kComplete` the document is in `bytes`; after
  /// `kCorrupt` nothing is kept.
  Outcome Add(const ConfigSnapshot& piece, Instant now, Duration patience);
  /// Takes the complete document out.
  std::string TakeBytes();
  void Clear();

 private:
  bool Matches(const ConfigSnapshot& piece) const;
  void Start(const ConfigSnapshot& piece);

  Version version_;
  std::uint64_t checksum_ = 0;
  std::vector<std::optional<std::string>> pieces_;
  std::size_t received_ = 0;
  std::size_t size_ = 0;
  Instant progress_{};
};

}  // namespace lentilcross
