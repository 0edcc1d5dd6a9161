// Compares RateLimiter with a fixed split by host and with one owner for each
// organisation, in virtual time and with fixed seeds. Prints one JSON object
// per line.
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>

#include "other_policies.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the handover time, so that all quotas are in force.
constexpr Duration kStart = seconds(12);

struct Deployment {
  const char* name;
  Duration between_domains;
};
constexpr std::array<Deployment, 2> kDeployments = {
    {{"cedarhoop", std::chrono::microseconds(500)},
     {"brierley", std::chrono::microseconds(1500)}}};

// Relative traffic of an organisation at each host.
using Weights = std::vector<double>;
struct Skew {
  const char* name;
  std::function<Weights(const SimulatedRateFleet&, int organisation)> weights;
};

int FirstHost(const SimulatedRateFleet& fleet, int organisation,
              bool is_owner) {
  int host = 0;
  while (fleet.IsOwner(host, organisation) != is_owner) ++host;
  return host;
}

Weights OneHost(const SimulatedRateFleet& fleet, int organisation,
                bool is_owner) {
  Weights weights(static_cast<std::size_t>(fleet.hosts()), 0);
  const int host = FirstHost(fleet, organisation, is_owner);
  weights[static_cast<std::size_t>(host)] = 1;
  return weights;
}

std::vector<Skew> Skews() {
  return {
      {"uniform",
       [](const SimulatedRateFleet& fleet, int) {
         return Weights(static_cast<std::size_t>(fleet.hosts()), 1);
       }},
      {"zipf",
       [](const SimulatedRateFleet& fleet, int organisation) {
         Weights weights;
         for (int i = 0; i < fleet.hosts(); ++i) {
           weights.push_back(1.0 /
                             (1 + (i * 7 + organisation) % fleet.hosts()));
         }
         return weights;
       }},
      {"one-domain",
       [](const SimulatedRateFleet& fleet, int organisation) {
         Weights weights;
         for (int i = 0; i < fleet.hosts(); ++i) {
           weights.push_back(fleet.DomainOf(i) == organisation % 6 ? 1 : 0);
         }
         return weights;
       }},
      {"one-host-without-quota",
       [](const SimulatedRateFleet& fleet, int organisation) {
         return OneHost(fleet, organisation, false);
       }},
      {"one-owner-host",
       [](const SimulatedRateFleet& fleet, int organisation) {
         return OneHost(fleet, organisation, true);
       }},
  };
}

Duration Seconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

// Adds Poisson arrivals at `use` times the rate of each organisation.
void AddArrivals(RateRun& run, const SimulatedRateFleet& fleet,
                 const Skew& skew, double use, Random& random) {
  const int count = static_cast<int>(run.options.organisations.size());
  for (int org = 0; org < count; ++org) {
    const double rate =
        run.options.organisations[static_cast<std::size_t>(org)].rate;
    const Weights weights = skew.weights(fleet, org);
    std::discrete_distribution<int> host(weights.begin(), weights.end());
    std::exponential_distribution<> gap(use * rate);
    for (Duration at = Seconds(gap(random)); at < run.length;
         at += Seconds(gap(random))) {
      run.arrivals.push_back({at, host(random), org});
    }
  }
  std::sort(run.arrivals.begin(), run.arrivals.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
}

void AddFaults(RateRun& run, const std::string& faults, int hosts,
               Random& random) {
  const auto host = [&] {
    return static_cast<int>(random() % static_cast<unsigned>(hosts));
  };
  if (faults == "loss") run.options.loss = 0.05;
  for (Duration at = seconds(5); at < run.length; at += seconds(10)) {
    if (faults == "pauses") {
      run.faults.push_back(
          {RateFault::Kind::kPause, at, milliseconds(3000), host()});
    } else if (faults == "restarts") {
      run.faults.push_back({RateFault::Kind::kRestart, at, {}, host()});
    } else if (faults == "partitions" && at.count() / 1000000000 % 20 == 5) {
      run.faults.push_back({RateFault::Kind::kPartition, at, seconds(8), 0});
    }
  }
}

void ApplyFault(SimulatedRateFleet& fleet, const RateRun& run,
                const RateFault& fault) {
  switch (fault.kind) {
    case RateFault::Kind::kPause:
      fleet.Pause(fault.host, fault.duration);
      break;
    case RateFault::Kind::kRestart:
      fleet.Restart(fault.host);
      break;
    case RateFault::Kind::kPartition:
      std::vector<bool> side;
      for (int i = 0; i < fleet.hosts(); ++i) {
        side.push_back(IsFirstSide(run, i));
      }
      fleet.Partition(side);
      const std::vector<bool> whole(side.size(), false);
      fleet.At(fleet.now() + fault.duration,
               [&fleet, whole] { fleet.Partition(whole); });
  }
}

struct LoansResult {
  RateResult sum;
  double mean_bytes = 0;  ///< Sent per host and second.
  double most_bytes = 0;  ///< Sent per second by the host that sent most.
};

LoansResult RunLoans(const RateRun& run) {
  SimulatedRateFleet fleet(run.options);
  fleet.RunUntil(fleet.now() + kStart);
  fleet.ResetCounts();
  const Instant start = fleet.now();
  for (const RateFault& fault : run.faults) {
    fleet.At(start + fault.at,
             [&fleet, &run, fault] { ApplyFault(fleet, run, fault); });
  }
  for (const RateArrival& arrival : run.arrivals) {
    fleet.RunUntil(start + arrival.at);
    fleet.Arrive(arrival.host, arrival.organisation);
  }
  fleet.RunUntil(start + run.length);
  LoansResult result;
  for (int i = 0; i < static_cast<int>(run.options.organisations.size()); ++i) {
    const SimulatedRateFleet::Count& count = fleet.count(i);
    result.sum.within += count.within;
    result.sum.refused_within += count.refused_within;
    result.sum.excess += count.excess;
    result.sum.longest_wait =
        std::max(result.sum.longest_wait, count.longest_wait);
  }
  const std::chrono::duration<double> length = run.length;
  result.most_bytes =
      static_cast<double>(fleet.MaxBytesPerHost()) / length.count();
  result.mean_bytes =
      static_cast<double>(fleet.TotalBytes()) / fleet.hosts() / length.count();
  return result;
}

struct Label {
  std::string deployment;
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
};

void Print(const Label& label, const char* measure, double value,
           const char* unit) {
  nlohmann::ordered_json line;
  line["measure"] = measure;
  line["deployment"] = label.deployment;
  line["scenario"] = label.scenario;
  line["policy"] = label.policy;
  line["seed"] = label.seed;
  line["value"] = value;
  line["unit"] = unit;
  std::cout << line.dump() << std::endl;
}

void PrintResult(const Label& label, const RateResult& result) {
  const double within =
      static_cast<double>(std::max<std::uint64_t>(result.within, 1));
  Print(label, "refused_within_rate",
        100 * static_cast<double>(result.refused_within) / within, "%");
  Print(label, "admitted_beyond_rate", static_cast<double>(result.excess),
        "requests");
  const std::chrono::duration<double, std::milli> wait = result.longest_wait;
  Print(label, "longest_wait", wait.count(), "ms");
}

// Uses one quota for all organisations, or a set of eight if its rate is 0.
SimulatedRateFleet::Options MakeOptions(const Deployment& deployment,
                                        Quota quota, std::uint64_t seed) {
  SimulatedRateFleet::Options options;
  options.delay_in_domain = deployment.between_domains / 2;
  options.delay_in_region = deployment.between_domains;
  options.organisations = {{2000, 1000}, {1000, 500}, {600, 300}, {200, 100},
                           {200, 100},   {100, 50},   {100, 50},  {50, 25}};
  if (quota.rate > 0) options.organisations.assign(8, quota);
  options.seed = seed;
  return options;
}

void Compare(const Deployment& deployment, const Skew& skew,
             const std::string& faults, Quota quota, Duration length,
             double use, std::uint64_t seed) {
  RateRun run;
  run.options = MakeOptions(deployment, quota, seed);
  run.length = length;
  Random random(seed);
  const SimulatedRateFleet fleet(run.options);
  AddArrivals(run, fleet, skew, use, random);
  AddFaults(run, faults, fleet.hosts(), random);
  Label label{deployment.name, std::string(skew.name) + "/" + faults, "", seed};
  label.policy = "fixed-split";
  PrintResult(label, RunFixedSplit(run));
  label.policy = "one-owner";
  PrintResult(label, RunOneOwner(run));
  label.policy = "loans";
  const LoansResult loans = RunLoans(run);
  PrintResult(label, loans.sum);
  Print(label, "control_traffic_mean", loans.mean_bytes, "B/s");
  Print(label, "control_traffic_busiest_host", loans.most_bytes, "B/s");
}

}  // namespace
}  // namespace lentilcross

int main(int argc, char** argv) {
  cxxopts::Options options("rate_compare", "Compares rate policies");
  options.add_options()("seconds", "simulated seconds per run",
                        cxxopts::value<int>()->default_value("60"))(
      "use", "offered load as a part of each rate",
      cxxopts::value<double>()->default_value("0.9"))(
      "rate", "rate of every organisation; 0: a set of eight quotas",
      cxxopts::value<double>()->default_value("0"))(
      "burst", "burst of every organisation, with --rate",
      cxxopts::value<double>()->default_value("0"))(
      "seeds", "number of seeds", cxxopts::value<int>()->default_value("2"))(
      "help", "print this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  const std::chrono::seconds length(arguments["seconds"].as<int>());
  const lentilcross::Quota quota = {arguments["rate"].as<double>(),
                                    arguments["burst"].as<double>()};
  for (int seed = 1; seed <= arguments["seeds"].as<int>(); ++seed) {
    for (const auto& deployment : lentilcross::kDeployments) {
      for (const auto& skew : lentilcross::Skews()) {
        for (const char* faults :
             {"no-faults", "loss", "pauses", "restarts", "partitions"}) {
          lentilcross::Compare(deployment, skew, faults, quota, length,
                               arguments["use"].as<double>(),
                               static_cast<std::uint64_t>(seed));
        }
      }
    }
  }
  return 0;
}
