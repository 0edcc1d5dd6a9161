#pragma once

#include <deque>
#include <string>
#include <vector>

#include "lentilcross/peer_message.h"
#include "published_document.h"

namespace lentilcross {

/// The current document and the deltas that led to it.
class DocumentHistory {
 public:
  const DocumentPointer& current() const { return current_; }
  Version version() const { return current_ ? current_->version() : Version(); }

  /// Makes a document current. Its version must be above the current one.
  /// `patch` leads from the current document to it; built if empty.
  void Advance(DocumentPointer document, std::string patch);

  /// One delta from `have` to the current version; false if the chain does not
  /// reach back so far or the delta is larger than `max_size`.
  bool MakeDelta(Version have, std::size_t max_size, ConfigDelta& out) const;
  /// The current document in pieces.
  std::vector<ConfigSnapshot> MakeSnapshot() const;

 private:
  struct Step {
    Version from;
    std::string patch;
  };

  DocumentPointer current_;
  std::deque<Step> steps_;  ///< Oldest first; each begins where one ended.
  std::size_t steps_size_ = 0;
};

}  // namespace lentilcross
