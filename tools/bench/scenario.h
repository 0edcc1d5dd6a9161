#pragma once

#include <string>
#include <vector>

#include "deployment.h"

namespace lentilcross::bench {

/// What happens during one run. Times are seconds of virtual time.
struct Scenario {
  std::string name;
  double length = 20;
  double measure_from = 5;
  double demand = 0.9;  ///< Of the capacity, before and after the trigger.
  double trigger_start = 0;
  double trigger_end = 0;  ///< 0: steady, without a trigger.
  double trigger_demand = 0;
  double slow_speed = 1;      ///< Of the bottleneck during the trigger.
  int greedy = -1;            ///< Organisation that sends ten times its rate.
  int repeats = 0;            ///< Repeats of a failed request by its caller.
  bool cold_restart = false;  ///< Half of the bottleneck's targets, at start.
  bool endpoints_lie = false;

  double DemandAt(double time) const;
  /// Part of the bottleneck's slots that work at that time.
  double CapacityAt(double time) const;
  bool steady() const { return trigger_end == 0; }
};

inline constexpr double kRestartSeconds = 1;
inline constexpr double kWarmUpSeconds = 3;
inline constexpr double kColdSpeed = 0.2;
/// Two targets of six run at this speed while endpoints lie.
inline constexpr int kLyingTargets = 2;
inline constexpr double kLyingSpeed = 0.3;
inline constexpr double kGreedyFactor = 10;

std::vector<Scenario> AllScenarios();

}  // namespace lentilcross::bench
