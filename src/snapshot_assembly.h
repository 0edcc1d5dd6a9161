#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lentilcross/peer_message.h"

namespace lentilcross {

/// Reassembles a snapshot from its pieces. Pieces may arrive in any order, more
/// than once and from several senders: equal version and checksum mean equal
/// bytes.
class SnapshotAssembly {
 public:
  enum class Outcome : std::uint8_t { kIncomplete, kComplete, kCorrupt };

  /// Adds one piece. A piece of a higher version discards the current snapshot
  /// and starts a new one. A piece of a lower version, or of different content
  /// for the same version, is ignored unless no piece was added for
  /// `idle_timeout`. After `kComplete`, `TakeBytes` returns the document; after
  /// `kCorrupt`, all pieces are discarded.
  Outcome Add(const ConfigSnapshot& piece, Instant now, Duration idle_timeout);
  /// Returns the complete document and clears this object. Call only after
  /// `kComplete`.
  std::string TakeBytes();
  void Clear();

  /// Whether `piece` belongs to the snapshot that is being assembled.
  bool Matches(const ConfigSnapshot& piece) const;
  /// Index of the first piece that was not added yet.
  std::uint32_t FirstMissing() const;

 private:
  void Start(const ConfigSnapshot& piece);

  Version version_;
  std::uint64_t checksum_ = 0;
  std::vector<std::optional<std::string>> pieces_;
  std::size_t received_ = 0;  ///< Number of pieces.
  std::size_t size_ = 0;      ///< Bytes of the received pieces.
  Instant last_progress_{};
};

}  // namespace lentilcross
