#pragma once

#include <deque>
#include <string>
#include <vector>

#include "lentilcross/config.h"
#include "lentilcross/peer_message.h"
#include "published_document.h"

namespace lentilcross {

/// Peers with a version for which the changes are larger get a snapshot.
inline constexpr std::size_t kMaxDeltaSize =
    LENTILCROSS_CONFIG_MAX_PEER_MESSAGE / 2;

/// The current document and the deltas from recent versions to it.
class DocumentHistory {
 public:
  const DocumentPointer& current() const { return current_; }
  Version version() const { return current_ ? current_->version() : Version(); }

  /// Replaces the current document by one with a higher version. `patch`
  /// transforms the current document into the new one; if empty, it is
  /// computed, unless it would be larger than `kMaxDeltaSize`.
  void Advance(DocumentPointer document, std::string patch);

  /// Builds one delta from `have` to the current version. Returns false if
  /// `have` is too old or the delta is larger than `max_size` bytes.
  bool MakeDelta(Version have, std::size_t max_size, ConfigDelta& out) const;
  /// Splits the current document into pieces and returns up to `max_pieces`,
  /// from `first_piece` on.
  std::vector<ConfigSnapshot> MakeSnapshot(std::size_t first_piece,
                                           std::size_t max_pieces) const;

 private:
  struct Delta {
    Version from;
    std::string patch;
  };

  DocumentPointer current_;
  std::deque<Delta> deltas_;     ///< Oldest first, without gaps.
  std::size_t deltas_size_ = 0;  ///< Bytes of all patches.
};

}  // namespace lentilcross
