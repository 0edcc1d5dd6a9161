// Cost of the exchange of quotas in fleets of different sizes, in virtual time
// and with fixed seeds. Prints one JSON object per line and fleet.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>

#include "rate_fleet.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the handover time, so that all quotas are in force.
constexpr Duration kStart = seconds(8);

struct FleetSize {
  int domains = 0;
  int hosts_per_domain = 0;
  int organisations = 0;
  int owners_per_region = 2;
};

struct Load {
  double rate = 0;  ///< Of all organisations together, per second.
  double use = 0;   ///< Offered load as a part of each rate.
  double skew = 0;  ///< 0: every host gets as much of each organisation.
  double idle = 0;  ///< Part of the organisations that send nothing.
  Duration length{};
  std::uint64_t seed = 1;
};

// Rates in proportion to 1 / rank: a few large organisations, many small ones.
std::vector<Quota> MakeQuotas(int count, double total) {
  double sum = 0;
  for (int i = 1; i <= count; ++i) sum += 1.0 / i;
  std::vector<Quota> quotas;
  for (int i = 1; i <= count; ++i) {
    const double rate = std::max(1.0, std::round(total / sum / i));
    quotas.push_back({rate, rate});
  }
  return quotas;
}

SimulatedRateFleet::Options MakeOptions(const FleetSize& size,
                                        const Load& load) {
  SimulatedRateFleet::Options options;
  options.domains = size.domains;
  options.hosts_per_domain = size.hosts_per_domain;
  options.owners_per_region = size.owners_per_region;
  options.domains_per_region = std::max(1, size.domains / 3);
  options.organisations = MakeQuotas(size.organisations, load.rate);
  options.delay_in_region = milliseconds(1);
  options.loan_term = milliseconds(1250);
  options.handover = milliseconds(5500);
  options.longest_wait = milliseconds(100);
  options.seed = load.seed;
  return options;
}

struct Arrival {
  Duration at{};
  int host = 0;
  int organisation = 0;
};

std::vector<Arrival> MakeArrivals(const SimulatedRateFleet::Options& options,
                                  const Load& load, Random& random) {
  std::vector<Arrival> arrivals;
  const int hosts = options.domains * options.hosts_per_domain;
  const auto count = static_cast<int>(options.organisations.size());
  const double busy = (1 - load.idle) * count;
  for (int i = 0; i < count; ++i) {
    // Spreads the idle ones over large and small organisations.
    if (std::floor((i + 1) * busy / count) == std::floor(i * busy / count)) {
      continue;
    }
    std::vector<double> weights;
    weights.reserve(static_cast<std::size_t>(hosts));
    for (int h = 0; h < hosts; ++h) {
      weights.push_back(std::pow(1 + (h * 7 + i) % hosts, -load.skew));
    }
    std::discrete_distribution<int> host(weights.begin(), weights.end());
    std::exponential_distribution<> gap(
        load.use * options.organisations[static_cast<std::size_t>(i)].rate);
    for (double at = gap(random);; at += gap(random)) {
      const auto time = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(at));
      if (time >= load.length) break;
      arrivals.push_back({time, host(random), i});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  return arrivals;
}

void Run(const FleetSize& size, const Load& load) {
  const SimulatedRateFleet::Options options = MakeOptions(size, load);
  SimulatedRateFleet fleet(options);
  Random random(load.seed);
  const std::vector<Arrival> arrivals = MakeArrivals(options, load, random);
  fleet.RunUntil(fleet.now() + kStart);
  fleet.ResetCounts();
  const Instant start = fleet.now();
  const auto began = std::chrono::steady_clock::now();
  for (const Arrival& arrival : arrivals) {
    fleet.RunUntil(start + arrival.at);
    fleet.Arrive(arrival.host, arrival.organisation);
  }
  fleet.RunUntil(start + load.length);
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - began;

  SimulatedRateFleet::Count sum;
  double worst = 1;
  for (int i = 0; i < size.organisations; ++i) {
    const auto& count = fleet.count(i);
    sum.within += count.within;
    sum.admitted += count.admitted;
    sum.refused_within += count.refused_within;
    sum.excess += count.excess;
    if (count.within < 100) continue;
    worst = std::min(worst, static_cast<double>(count.admitted) /
                                static_cast<double>(count.within));
  }
  const std::chrono::duration<double> length = load.length;
  const double host_seconds = fleet.hosts() * length.count();
  const double admitted = std::max(1.0, static_cast<double>(sum.admitted));
  nlohmann::ordered_json line;
  line["hosts"] = fleet.hosts();
  line["organisations"] = size.organisations;
  line["use"] = load.use;
  line["skew"] = load.skew;
  line["idle"] = load.idle;
  line["seed"] = load.seed;
  line["admitted"] = sum.admitted;
  line["excess"] = sum.excess;
  line["refused_within_percent"] =
      100 * static_cast<double>(sum.refused_within) /
      std::max(1.0, static_cast<double>(sum.within));
  line["worst_organisation"] = worst;
  constexpr std::array<const char*, 3> kKinds = {"requests", "grants",
                                                 "returns"};
  double bytes = 0;
  double between_regions = 0;
  for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
    const auto& traffic = fleet.traffic()[kind];
    line[std::string(kKinds[kind]) + "_per_host_s"] =
        static_cast<double>(traffic.messages) / host_seconds;
    bytes += static_cast<double>(traffic.bytes);
    between_regions += static_cast<double>(traffic.bytes_between_regions);
  }
  line["messages_per_host_s"] =
      static_cast<double>(fleet.messages()) / host_seconds;
  line["messages_per_admitted"] =
      static_cast<double>(fleet.messages()) / admitted;
  line["bytes_per_admitted"] = bytes / admitted;
  line["bytes_between_regions_per_admitted"] = between_regions / admitted;
  line["ns_per_admitted"] = took.count() / admitted;
  std::cout << line.dump() << std::endl;
}

}  // namespace
}  // namespace lentilcross

int main(int argc, char** argv) {
  cxxopts::Options options("rate_scale",
                           "Cost of the exchange of quotas by size of fleet");
  options.add_options()("seconds", "simulated seconds per run",
                        cxxopts::value<int>()->default_value("20"))(
      "rate", "rate of all organisations together, per second and host",
      cxxopts::value<double>()->default_value("7"))(
      "use", "offered load as a part of each rate",
      cxxopts::value<double>()->default_value("0.62"))(
      "skew", "0: even over the hosts; 1: in proportion to 1 / rank",
      cxxopts::value<double>()->default_value("0"))(
      "idle", "part of the organisations that send nothing",
      cxxopts::value<double>()->default_value("0"))(
      "organisations", "number of organisations; 0: one for each host",
      cxxopts::value<int>()->default_value("0"))(
      "domains", "failure domains; 0: 6, from 60 hosts on 9",
      cxxopts::value<int>()->default_value("0"))(
      "owners", "owners of each organisation in a region",
      cxxopts::value<int>()->default_value("2"))(
      "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "hosts", "fleet sizes, one run each",
      cxxopts::value<std::vector<int>>()->default_value("24,54,81,99"))(
      "help", "print this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  for (const int hosts : arguments["hosts"].as<std::vector<int>>()) {
    lentilcross::FleetSize size;
    size.domains = arguments["domains"].as<int>();
    if (size.domains <= 0) size.domains = hosts < 60 ? 6 : 9;
    size.owners_per_region = arguments["owners"].as<int>();
    size.hosts_per_domain = std::max(1, hosts / size.domains);
    const int asked = arguments["organisations"].as<int>();
    size.organisations = asked > 0 ? asked : hosts;
    lentilcross::Load load;
    load.rate = arguments["rate"].as<double>() * hosts;
    load.use = arguments["use"].as<double>();
    load.skew = arguments["skew"].as<double>();
    load.idle = arguments["idle"].as<double>();
    load.length = std::chrono::seconds(arguments["seconds"].as<int>());
    load.seed = arguments["seed"].as<std::uint64_t>();
    lentilcross::Run(size, load);
  }
  return 0;
}
