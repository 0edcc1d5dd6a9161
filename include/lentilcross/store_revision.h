#pragma once

#include <cstdint>

namespace lentilcross {

// A platform that is restored from a backup gives out its revisions again. Each
// restore begins a new epoch. Epoch and revision are kept in one number, which
// never decreases: all revisions of an epoch are above those of earlier ones.
// A platform without epochs is always in epoch 0.

inline constexpr int kRevisionBits = 44;
inline constexpr std::uint64_t kMaxStoreRevision =
    (std::uint64_t{1} << kRevisionBits) - 1;
inline constexpr std::uint64_t kMaxStoreEpoch =
    (std::uint64_t{1} << (64 - kRevisionBits)) - 1;

/// `epoch` and `revision` are at most `kMaxStoreEpoch` and `kMaxStoreRevision`.
constexpr std::uint64_t MakeStoreRevision(std::uint64_t epoch,
                                          std::uint64_t revision) {
  return (epoch << kRevisionBits) | revision;
}
constexpr std::uint64_t EpochOf(std::uint64_t store_revision) {
  return store_revision >> kRevisionBits;
}
constexpr std::uint64_t RevisionInEpoch(std::uint64_t store_revision) {
  return store_revision & kMaxStoreRevision;
}

}  // namespace lentilcross
