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
  Duration duration{};  ///< Of a pause or a partition.
  int host = 0;
};

struct RateRun {
  SimulatedRateFleet::Options options;
  Duration length{};
  std::vector<RateArrival> arrivals;  ///< By time.
  std::vector<RateFault> faults;
};

/// Result over all organisations.
struct RateResult {
  std::uint64_t within = 0;
  std::uint64_t refused_within = 0;
  std::uint64_t excess = 0;
  Duration longest_wait{};
};

/// Every host holds the same fixed part of each rate and burst.
RateResult RunFixedSplit(const RateRun& run);

/// One host for each organisation holds all of its rate and burst: the first in
/// a fixed order that the asking host believes to be alive.
RateResult RunOneOwner(const RateRun& run);

/// Hosts on one side of the partition: every second failure domain.
bool IsFirstSide(const RateRun& run, int host);

}  // namespace lentilcross
