#include "document_history.h"

#include <algorithm>
#include <utility>

#include "lentilcross/config.h"

namespace lentilcross {
namespace {

// Limits the memory of the kept deltas if single deltas are large.
constexpr std::size_t kMaxDeltasSize =
    std::size_t{2} * LENTILCROSS_CONFIG_MAX_CONFIGURATION;
constexpr std::size_t kPieceSize = LENTILCROSS_CONFIG_SNAPSHOT_PIECE;

static_assert(kPieceSize + 1024 < LENTILCROSS_CONFIG_MAX_PEER_MESSAGE,
              "a snapshot piece and its envelope must fit in a message");

}  // namespace

void DocumentHistory::Advance(DocumentPointer document, std::string patch) {
  if (current_) {
    if (patch.empty()) {
      auto made = MakePatch(*current_, *document, kMaxDeltaSize);
      if (made) patch = std::move(*made);
    }
    if (patch.empty()) {
      // Older versions cannot be transformed into the new one.
      deltas_.clear();
      deltas_size_ = 0;
    } else {
      deltas_size_ += patch.size();
      deltas_.push_back({current_->version(), std::move(patch)});
    }
  }
  while (deltas_.size() > LENTILCROSS_CONFIG_KEPT_DELTAS ||
         deltas_size_ > kMaxDeltasSize) {
    deltas_size_ -= deltas_.front().patch.size();
    deltas_.pop_front();
  }
  current_ = std::move(document);
}

bool DocumentHistory::MakeDelta(Version have, std::size_t max_size,
                                ConfigDelta& out) const {
  const auto first =
      std::find_if(deltas_.begin(), deltas_.end(),
                   [have](const Delta& delta) { return delta.from == have; });
  if (first == deltas_.end()) return false;
  std::vector<const std::string*> patches;
  std::size_t size = 0;
  for (auto delta = first; delta != deltas_.end(); ++delta) {
    patches.push_back(&delta->patch);
    size += delta->patch.size();
  }
  if (size > max_size) return false;
  out.from = have;
  out.to = version();
  out.checksum = current_->checksum;
  out.entries = patches.size() == 1 ? *patches.front() : JoinPatches(patches);
  return true;
}

std::vector<ConfigSnapshot> DocumentHistory::MakeSnapshot(
    std::size_t first_piece, std::size_t max_pieces) const {
  std::vector<ConfigSnapshot> pieces;
  if (!current_) return pieces;
  const std::string& bytes = current_->cbor;
  const std::size_t count = (bytes.size() + kPieceSize - 1) / kPieceSize;
  const std::size_t end = std::min(count, first_piece + max_pieces);
  for (std::size_t i = first_piece; i < end; ++i) {
    ConfigSnapshot piece;
    piece.version = version();
    piece.checksum = current_->checksum;
    piece.piece = static_cast<std::uint32_t>(i);
    piece.pieces = static_cast<std::uint32_t>(count);
    piece.bytes = bytes.substr(i * kPieceSize, kPieceSize);
    pieces.push_back(std::move(piece));
  }
  return pieces;
}

}  // namespace lentilcross
