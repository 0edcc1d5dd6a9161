#pragma once

#include <cstdint>
#include <vector>

#include "rate_fleet.h"

namespace lentilcross {

/// One request, relative to the start of a run.
struct RateArrival {
  Duration at{};
  int host = 0;
  int organisation = 0;
};

/// One fault, relative to the start of a run.
struct RateFault {
  enum class Kind : std::uint8_t { kPause, kRestart, kPartition };
  Kind kind = Kind::kPause;
  Duration at{};
  Duration duration{};  ///< Unused for a restart.
  int host = 0;
};

struct RateRun {
  SimulatedRateFleet::Options options;
  Duration length{};
  std::vector<RateArrival> arrivals;  ///< Sorted by time.
  std::vector<RateFault> faults;
};

/// Totals over all organisations; see `SimulatedRateFleet::Count`.
struct RateResult {
  std::uint64_t within = 0;
  std::uint64_t refused_within = 0;
  std::uint64_t excess = 0;
  Duration longest_wait{};
};

/// Policy: every host has a fixed, equal part of each rate and burst.
RateResult RunFixedSplit(const RateRun& run);

/// Policy: one host per organisation holds all of its rate and burst. It is the
/// first host in a fixed order that the requesting host considers alive.
RateResult RunOneOwner(const RateRun& run);

/// True on the first side of a partition, which has every second failure
/// domain.
bool IsFirstSide(const RateRun& run, int host);

}  // namespace lentilcross
