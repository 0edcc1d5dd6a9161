// Load pattern: fleets of different sizes with the same traffic at each host.

#include <boost/test/unit_test.hpp>
#include <numeric>

#include "rate_fleet.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStart = seconds(7);

/// Which hosts an organisation's requests arrive at.
enum class Traffic { kEven, kSkewed, kMoving };

struct Load {
  double use = 0.62;  ///< Offered load as a part of each rate.
  Traffic traffic = Traffic::kEven;
  std::size_t idle_organisations = 0;  ///< At the end of the list.
};

// With the times that the platform's adapter chooses.
SimulatedRateFleet::Options MakeOptions(int domains, int hosts_per_domain,
                                        std::vector<Quota> organisations) {
  SimulatedRateFleet::Options options;
  options.domains = domains;
  options.hosts_per_domain = hosts_per_domain;
  options.domains_per_region = domains / 3;
  options.organisations = std::move(organisations);
  options.delay_in_region = milliseconds(1);
  options.loan_term = milliseconds(1250);
  options.handover = milliseconds(5500);
  options.longest_wait = milliseconds(100);
  return options;
}

SimulatedRateFleet::Options SmallFleet(std::vector<Quota> organisations) {
  return MakeOptions(6, 4, std::move(organisations));
}

SimulatedRateFleet::Options LargeFleet(std::vector<Quota> organisations) {
  return MakeOptions(9, 11, std::move(organisations));
}

int ChooseHost(SimulatedRateFleet& fleet, Traffic traffic, int organisation,
               Instant start) {
  const auto random = [&fleet](int count) {
    return static_cast<int>(fleet.random()() %
                            static_cast<std::uint64_t>(count));
  };
  const int hosts = fleet.hosts();
  switch (traffic) {
    case Traffic::kEven:
      return random(hosts);
    case Traffic::kSkewed:
      // Half of it at a tenth of the hosts.
      return (organisation * 7 + random(random(2) == 0 ? hosts / 10 : hosts)) %
             hosts;
    case Traffic::kMoving: {
      // All at a third of the hosts, another third every two seconds.
      const auto step = static_cast<int>((fleet.now() - start) / seconds(2));
      return (organisation * 7 + step * hosts / 3 + random(hosts / 3)) % hosts;
    }
  }
  return 0;
}

/// Lets the quotas come into force, then sends Poisson arrivals.
void Run(SimulatedRateFleet& fleet, const std::vector<Quota>& organisations,
         const Load& load, Duration length) {
  fleet.RunUntil(fleet.now() + kStart);
  fleet.ResetCounts();
  std::vector<double> rates;
  for (std::size_t i = 0; i < organisations.size(); ++i) {
    const bool idle = i + load.idle_organisations >= organisations.size();
    rates.push_back(idle ? 0 : load.use * organisations[i].rate);
  }
  const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
  std::discrete_distribution<int> organisation(rates.begin(), rates.end());
  std::exponential_distribution<> gap(total);
  const Instant start = fleet.now();
  while (fleet.now() < start + length) {
    const int which = organisation(fleet.random());
    fleet.Arrive(ChooseHost(fleet, load.traffic, which, start), which);
    fleet.RunUntil(fleet.now() +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(gap(fleet.random()))));
  }
}

double MessagesPerHost(const SimulatedRateFleet& fleet) {
  return static_cast<double>(fleet.messages()) / fleet.hosts();
}

std::uint64_t RefusedWithin(const SimulatedRateFleet& fleet,
                            std::size_t organisations, std::uint64_t& within) {
  std::uint64_t refused = 0;
  for (std::size_t i = 0; i < organisations; ++i) {
    const auto& count = fleet.count(static_cast<int>(i));
    refused += count.refused_within;
    within += count.within;
    BOOST_TEST(count.excess == 0U);
  }
  return refused;
}

}  // namespace

// Guards against a cost of quotas that grows with the fleet: with the same
// traffic at each host, a host of a large fleet sends about as many messages
// as one of a small fleet.
BOOST_AUTO_TEST_CASE(messages_of_a_host_follow_its_own_traffic) {
  const std::vector<Quota> few(24, Quota{7, 7});
  const std::vector<Quota> many(99, Quota{7, 7});
  SimulatedRateFleet small(SmallFleet(few));
  SimulatedRateFleet large(LargeFleet(many));
  Run(small, few, {}, seconds(10));
  Run(large, many, {}, seconds(10));
  BOOST_TEST(MessagesPerHost(large) <= 1.3 * MessagesPerHost(small));
}

// Guards against messages for organisations that send nothing.
BOOST_AUTO_TEST_CASE(idle_organisations_cost_no_messages) {
  const std::vector<Quota> busy(24, Quota{7, 7});
  std::vector<Quota> with_idle = busy;
  with_idle.resize(4 * busy.size(), Quota{7, 7});
  Load load;
  SimulatedRateFleet without(SmallFleet(busy));
  Run(without, busy, load, seconds(10));
  load.idle_organisations = with_idle.size() - busy.size();
  SimulatedRateFleet with(SmallFleet(with_idle));
  Run(with, with_idle, load, seconds(10));
  // The arrivals differ, as the random numbers do.
  BOOST_TEST(MessagesPerHost(with) <= 1.1 * MessagesPerHost(without));
}

// Guards against refusals within rate that grow with the fleet, because the
// tokens of an organisation lie at more hosts, or on more ways.
BOOST_AUTO_TEST_CASE(callers_below_their_rate_are_admitted) {
  const std::vector<Quota> quotas = {{120, 120}, {60, 60}, {30, 30}, {20, 20},
                                     {15, 15},   {10, 10}, {10, 10}, {8, 8}};
  for (const bool large : {false, true}) {
    for (const Traffic traffic :
         {Traffic::kEven, Traffic::kSkewed, Traffic::kMoving}) {
      SimulatedRateFleet fleet(large ? LargeFleet(quotas) : SmallFleet(quotas));
      Load load;
      load.traffic = traffic;
      Run(fleet, quotas, load, seconds(30));
      std::uint64_t within = 0;
      const auto refused = RefusedWithin(fleet, quotas.size(), within);
      BOOST_TEST_CONTEXT("hosts " << fleet.hosts() << ", traffic "
                                  << static_cast<int>(traffic) << ", within "
                                  << within) {
        BOOST_TEST(refused * 1000 <= within);
      }
    }
  }
}

// Guards against tokens that are lost at hosts whose requests no longer wait
// for them: an organisation that asks for more than its rate gets it.
BOOST_AUTO_TEST_CASE(callers_above_their_rate_get_their_rate) {
  const std::vector<Quota> quotas = {{120, 120}, {50, 50}, {20, 20}, {10, 10}};
  constexpr auto kLength = seconds(30);
  for (const bool large : {false, true}) {
    for (const Traffic traffic :
         {Traffic::kEven, Traffic::kSkewed, Traffic::kMoving}) {
      SimulatedRateFleet fleet(large ? LargeFleet(quotas) : SmallFleet(quotas));
      Load load;
      load.use = 1.5;
      load.traffic = traffic;
      Run(fleet, quotas, load, kLength);
      for (std::size_t i = 0; i < quotas.size(); ++i) {
        const auto& count = fleet.count(static_cast<int>(i));
        BOOST_TEST_CONTEXT("hosts " << fleet.hosts() << ", traffic "
                                    << static_cast<int>(traffic) << ", rate "
                                    << quotas[i].rate << ", admitted "
                                    << count.admitted) {
          BOOST_TEST(static_cast<double>(count.admitted) >=
                     0.97 * quotas[i].rate * kLength.count());
          BOOST_TEST(count.excess == 0U);
        }
      }
    }
  }
}

// Guards against loans that are given back while requests wait for them. Each
// owner holds less than one token, so that a request needs those of several.
BOOST_AUTO_TEST_CASE(tokens_on_their_way_are_not_returned) {
  const std::vector<Quota> quotas = {{4, 4}};
  SimulatedRateFleet fleet(SmallFleet(quotas));
  int host = 0;
  while (fleet.IsOwner(host, 0)) ++host;
  fleet.RunUntil(fleet.now() + kStart);
  fleet.ResetCounts();
  for (int i = 0; i < 20; ++i) {
    fleet.Arrive(host, 0);
    fleet.RunUntil(fleet.now() + seconds(6));
  }
  BOOST_TEST(fleet.count(0).admitted == 20U);
}

}  // namespace lentilcross
