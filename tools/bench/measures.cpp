#include "measures.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>

#include "load.h"
#include "node.h"

namespace lentilcross::bench {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kRecovered = 0.95;
constexpr double kRecoveryWindow = 1;
constexpr double kSeriesStep = 0.25;

double BinSeconds() { return Seconds(Load::kBin).count(); }

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

void ScheduleTrigger(World& world) {
  const Scenario& scenario = world.scenario;
  auto& targets = world.nodes[world.deployment.bottleneck()];
  if (scenario.endpoints_lie) {
    for (int i = 0; i < kLyingTargets; ++i) {
      targets[static_cast<std::size_t>(i)]->target().set_speed(kLyingSpeed);
    }
  }
  if (scenario.steady()) return;
  const auto set_speed = [&targets](double speed) {
    for (auto& node : targets) node->target().set_speed(speed);
  };
  if (scenario.slow_speed != 1) {
    world.loop.After(ToDuration(scenario.trigger_start),
                     [=] { set_speed(scenario.slow_speed); });
    world.loop.After(ToDuration(scenario.trigger_end), [=] { set_speed(1); });
  }
  if (!scenario.cold_restart) return;
  for (std::size_t i = 0; i < targets.size() / 2; ++i) {
    Node* node = targets[i].get();
    world.loop.After(ToDuration(scenario.trigger_start),
                     [node] { node->Restart(); });
    world.loop.After(
        ToDuration(scenario.trigger_start + kRestartSeconds), [node] {
          node->target().set_up(true);
          node->target().WarmUp(kColdSpeed, ToDuration(kWarmUpSeconds));
        });
  }
}

/// Completions by bin, against what a clairvoyant admission could complete.
class Goodput {
 public:
  Goodput(const World& world, const Load& load) {
    const double greedy =
        world.scenario.greedy < 0
            ? 0
            : (kGreedyFactor - 1) * world.deployment
                                        .organisations[static_cast<std::size_t>(
                                            world.scenario.greedy)]
                                        .demand_share;
    double backlog = 0;
    for (std::size_t bin = 0; bin < load.completed().size(); ++bin) {
      const auto& by_organisation = load.completed()[bin];
      completed_.push_back(static_cast<double>(std::accumulate(
          by_organisation.begin(), by_organisation.end(), std::uint64_t{0})));
      const double time = static_cast<double>(bin) * BinSeconds();
      const double scale = world.deployment.capacity() * BinSeconds();
      const double offered =
          world.scenario.DemandAt(time) * (1 + greedy) * scale + backlog;
      const double possible = world.scenario.CapacityAt(time) * scale;
      best_.push_back(std::min(offered, possible));
      const bool endless = world.scenario.repeats > kSomeRepeats;
      backlog = endless ? offered - best_.back() : 0;
    }
  }

  double Fraction(double from, double to) const {
    return Sum(completed_, from, to) / Sum(best_, from, to);
  }
  double Completed(double from, double to) const {
    return Sum(completed_, from, to);
  }
  /// Time after `end` until a second of goodput is back; -1 if it never is.
  double RecoveryAfter(double end, double length) const {
    for (double at = end; at + kRecoveryWindow <= length; at += BinSeconds()) {
      if (Fraction(at, at + kRecoveryWindow) >= kRecovered) return at - end;
    }
    return -1;
  }

 private:
  static constexpr int kSomeRepeats = 1000;
  static double Sum(const std::vector<double>& bins, double from, double to) {
    const auto at = [&](double time) {
      const std::ptrdiff_t bin = std::lround(time / BinSeconds());
      return bins.begin() +
             std::min(bin, static_cast<std::ptrdiff_t>(bins.size()));
    };
    return std::accumulate(at(from), at(to), 0.0);
  }
  std::vector<double> completed_;
  std::vector<double> best_;
};

std::vector<double> RatesOf(
    const Scenario& scenario,
    const std::vector<std::vector<std::uint64_t>>& bins) {
  const auto from =
      static_cast<std::size_t>(scenario.measure_from / BinSeconds());
  std::vector<double> rates(bins.front().size());
  for (std::size_t bin = from; bin + 1 < bins.size(); ++bin) {
    for (std::size_t i = 0; i < rates.size(); ++i) {
      rates[i] += static_cast<double>(bins[bin][i]) /
                  (scenario.length - scenario.measure_from);
    }
  }
  return rates;
}

// Shares are those of the requests that were sent, not of the expected rates:
// these differ by several percent for a small organisation.
double WorstOrganisation(const World& world, const Load& load) {
  const Scenario& scenario = world.scenario;
  const auto fair =
      FairShares(world.deployment, RatesOf(scenario, load.offered()),
                 world.deployment.capacity() * scenario.CapacityAt(0));
  const auto completed = RatesOf(scenario, load.completed());
  double worst = 1e9;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    worst = std::min(worst, completed[i] / fair[i]);
  }
  return worst;
}

std::vector<Measure> Collect(const RunSpec& spec, const World& world,
                             const Load& load) {
  const Scenario& scenario = spec.scenario;
  const Goodput goodput(world, load);
  std::vector<Measure> measures;
  measures.push_back({"goodput",
                      goodput.Fraction(scenario.measure_from, scenario.length),
                      "fraction of clairvoyant"});
  if (scenario.steady()) {
    measures.push_back({"worst-organisation", WorstOrganisation(world, load),
                        "fraction of fair share"});
  } else {
    measures.push_back(
        {"goodput-during-trigger",
         goodput.Fraction(scenario.trigger_start, scenario.trigger_end),
         "fraction of clairvoyant"});
    measures.push_back(
        {"recovery",
         goodput.RecoveryAfter(scenario.trigger_end, scenario.length), "s"});
  }
  const Counters& counters = world.counters;
  measures.push_back({"critical-refused-in-favour",
                      static_cast<double>(counters.critical_refused_in_favour),
                      "requests"});
  measures.push_back({"critical-refused",
                      static_cast<double>(counters.critical_refused),
                      "requests"});
  measures.push_back({"calls-per-request",
                      static_cast<double>(counters.calls) /
                          static_cast<double>(counters.first_calls),
                      "calls per first call"});
  if (!spec.series) return measures;
  const double scale = world.deployment.capacity() * kSeriesStep;
  for (double at = 0; at + kSeriesStep <= scenario.length; at += kSeriesStep) {
    measures.push_back({"goodput-series",
                        goodput.Completed(at, at + kSeriesStep) / scale,
                        "fraction of capacity", at});
  }
  return measures;
}

}  // namespace

std::vector<Measure> Run(const RunSpec& spec) {
  World world(Deployment::Make(spec.deployment, spec.depth), spec.policy,
              spec.scenario, spec.seed);
  Load load(world);
  const Instant start = world.loop.now();
  ScheduleTrigger(world);
  load.Start();
  world.loop.RunUntil(start + ToDuration(spec.scenario.length));
  return Collect(spec, world, load);
}

std::string ToJson(const RunSpec& spec, const Measure& measure) {
  nlohmann::ordered_json line;
  line["measure"] = measure.name;
  line["deployment"] = spec.deployment;
  line["scenario"] = spec.scenario.name;
  line["policy"] = ToString(spec.policy);
  line["seed"] = spec.seed;
  line["value"] = measure.value;
  line["unit"] = measure.unit;
  line["depth"] = spec.depth;
  if (spec.scenario.steady()) line["demand"] = spec.scenario.demand;
  if (measure.time >= 0) line["time"] = measure.time;
  return line.dump();
}

}  // namespace lentilcross::bench
