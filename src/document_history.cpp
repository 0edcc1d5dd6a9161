#include "document_history.h"

#include <algorithm>
#include <utility>

#include "lentilcross/config.h"

namespace lentilcross {
namespace {

// Bounds the memory of the kept deltas when single deltas are large.
constexpr std::size_t kMaxStepsSize =
    std::size_t{2} * LENTILCROSS_CONFIG_MAX_CONFIGURATION;
constexpr std::size_t kPieceSize = LENTILCROSS_CONFIG_SNAPSHOT_PIECE;

static_assert(kPieceSize + 1024 < LENTILCROSS_CONFIG_MAX_PEER_MESSAGE,
              "a snapshot piece and its envelope must fit in a message");

}  // namespace

void DocumentHistory::Advance(DocumentPointer document, std::string patch) {
  if (current_) {
    if (patch.empty()) patch = MakePatch(*current_, *document);
    steps_size_ += patch.size();
    steps_.push_back({current_->version(), std::move(patch)});
  }
  while (steps_.size() > LENTILCROSS_CONFIG_KEPT_DELTAS ||
         steps_size_ > kMaxStepsSize) {
    steps_size_ -= steps_.front().patch.size();
    steps_.pop_front();
  }
  current_ = std::move(document);
}

bool DocumentHistory::MakeDelta(Version have, std::size_t max_size,
                                ConfigDelta& out) const {
  const auto first =
      std::find_if(steps_.begin(), steps_.end(),
                   [have](const Step& step) { return step.from == have; });
  if (first == steps_.end()) return false;
  std::vector<const std::string*> patches;
  std::size_t size = 0;
  for (auto step = first; step != steps_.end(); ++step) {
    patches.push_back(&step->patch);
    size += step->patch.size();
  }
  if (size > max_size) return false;
  out.from = have;
  out.to = version();
  out.checksum = current_->checksum;
  out.entries = patches.size() == 1 ? *patches.front() : JoinPatches(patches);
  return true;
}

std::vector<ConfigSnapshot> DocumentHistory::MakeSnapshot() const {
  std::vector<ConfigSnapshot> pieces;
  if (!current_) return pieces;
  const std::string& bytes = current_->cbor;
  const std::size_t count = (bytes.size() + kPieceSize - 1) / kPieceSize;
  for (std::size_t i = 0; i < count; ++i) {
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
