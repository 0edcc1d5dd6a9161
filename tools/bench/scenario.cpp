#include "scenario.h"

#include <algorithm>
#include <cstdio>

namespace lentilcross::bench {
namespace {

constexpr double kMean = 0.5;
constexpr int kEndless = 1 << 30;

Scenario Steady(double demand) {
  Scenario scenario;
  char name[32];
  std::snprintf(name, sizeof(name), "steady-%.1f", demand);
  scenario.name = name;
  scenario.demand = demand;
  return scenario;
}

Scenario SlowDeepService() {
  Scenario scenario;
  scenario.name = "slow-deep-service";
  scenario.length = 60;
  scenario.trigger_start = 10;
  scenario.trigger_end = 40;
  scenario.slow_speed = 0.2;
  scenario.repeats = 5;
  return scenario;
}

Scenario Surge() {
  Scenario scenario;
  scenario.name = "surge-endless-repeats";
  scenario.length = 20;
  scenario.demand = 0.8;
  scenario.trigger_start = 8;
  scenario.trigger_end = 10;
  scenario.trigger_demand = 3;
  scenario.repeats = kEndless;
  return scenario;
}

Scenario ColdRestart() {
  Scenario scenario;
  scenario.name = "cold-restart";
  scenario.length = 25;
  scenario.trigger_start = 10;
  scenario.trigger_end = 10 + kRestartSeconds + kWarmUpSeconds;
  scenario.cold_restart = true;
  return scenario;
}

Scenario GreedyOrganisation() {
  Scenario scenario;
  scenario.name = "greedy-organisation";
  scenario.greedy = 2;
  return scenario;
}

Scenario LyingEndpoints() {
  Scenario scenario;
  scenario.name = "lying-endpoints";
  scenario.endpoints_lie = true;
  return scenario;
}

}  // namespace

double Scenario::DemandAt(double time) const {
  const bool on = time >= trigger_start && time < trigger_end;
  return on && trigger_demand > 0 ? trigger_demand : demand;
}

double Scenario::CapacityAt(double time) const {
  if (endpoints_lie) {
    return 1 - (1 - kLyingSpeed) * kLyingTargets / kTargetsPerService;
  }
  if (time < trigger_start || time >= trigger_end) return 1;
  if (!cold_restart) return slow_speed;
  const double warming = time - trigger_start - kRestartSeconds;
  if (warming < 0) return kMean;
  const double warm = std::min(1.0, warming / kWarmUpSeconds);
  return kMean + kMean * (kColdSpeed + (1 - kColdSpeed) * warm);
}

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> scenarios;
  for (const double demand :
       {0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0, 4.0, 5.0}) {
    scenarios.push_back(Steady(demand));
  }
  scenarios.push_back(SlowDeepService());
  scenarios.push_back(GreedyOrganisation());
  scenarios.push_back(Surge());
  scenarios.push_back(ColdRestart());
  scenarios.push_back(LyingEndpoints());
  return scenarios;
}

}  // namespace lentilcross::bench
