#include "snapshot_assembly.h"

#include <algorithm>
#include <utility>

#include "lentilcross/config.h"

namespace lentilcross {
namespace {

constexpr std::size_t kMaxSize =
    std::size_t{2} * LENTILCROSS_CONFIG_MAX_CONFIGURATION;

}  // namespace

SnapshotAssembly::Outcome SnapshotAssembly::Add(const ConfigSnapshot& piece,
                                                Instant now,
                                                Duration idle_timeout) {
  if (!Matches(piece)) {
    const bool idle = pieces_.empty() || now - last_progress_ > idle_timeout;
    if (!idle && !(version_ < piece.version)) return Outcome::kIncomplete;
    Start(piece);
    last_progress_ = now;
  }
  auto& slot = pieces_[piece.piece];
  if (slot) return Outcome::kIncomplete;
  size_ += piece.bytes.size();
  if (size_ > kMaxSize) {
    Clear();
    return Outcome::kCorrupt;
  }
  slot = piece.bytes;
  last_progress_ = now;
  if (++received_ < pieces_.size()) return Outcome::kIncomplete;

  std::string whole;
  whole.reserve(size_);
  for (const auto& part : pieces_) whole += *part;
  const bool checksum_matches = HashName(whole) == checksum_;
  Clear();
  if (!checksum_matches) return Outcome::kCorrupt;
  pieces_.emplace_back(std::move(whole));
  return Outcome::kComplete;
}

std::string SnapshotAssembly::TakeBytes() {
  std::string bytes = std::move(*pieces_.front());
  Clear();
  return bytes;
}

void SnapshotAssembly::Clear() { *this = SnapshotAssembly(); }

bool SnapshotAssembly::Matches(const ConfigSnapshot& piece) const {
  return !pieces_.empty() && version_ == piece.version &&
         checksum_ == piece.checksum && pieces_.size() == piece.pieces;
}

std::uint32_t SnapshotAssembly::FirstMissing() const {
  const auto missing = std::find(pieces_.begin(), pieces_.end(), std::nullopt);
  return static_cast<std::uint32_t>(missing - pieces_.begin());
}

void SnapshotAssembly::Start(const ConfigSnapshot& piece) {
  Clear();
  version_ = piece.version;
  checksum_ = piece.checksum;
  pieces_.resize(piece.pieces);
}

}  // namespace lentilcross
