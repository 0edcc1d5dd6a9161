#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <numeric>

#include "spread_fleet.h"

// Measures configuration distribution at the design size, in virtual time with
// ConfigDistributor objects only. Use --log_level=message to print the figures.

namespace lentilcross {
namespace {

using std::chrono::duration;
using std::chrono::seconds;

// Set LENTILCROSS_SCALE_HOSTS=10000 in the environment to run the design size,
// which takes about 100 s. The default size uses the same limits per host.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kDefaultHosts = 300;
#else
constexpr int kDefaultHosts = 2000;
#endif
constexpr int kDesignHosts = 10000;

int HostCount() {
  const char* text = std::getenv("LENTILCROSS_SCALE_HOSTS");
  return text == nullptr ? kDefaultHosts : std::atoi(text);
}

const int kHosts = HostCount();
constexpr int kDomains = 10;
constexpr int kMaxCallsPerSecond = 2000;
// Limit for reads in a window that does not depend on the number of hosts.
const int kScaledCallsPerSecond =
    std::max(100, kMaxCallsPerSecond* kHosts / kDesignHosts);
constexpr Duration kMaxDistributionTime = seconds(4);
constexpr double kChangesPerDay = 3400;
constexpr double kSecondsPerDay = 86400;

SimulatedFleet::Options LargeFleetOptions() {
  SimulatedFleet::Options options;
  options.hosts = kHosts;
  options.domains = kDomains;
  options.decode = false;
  return options;
}

/// Returns a fleet in which every process has version 1.
std::unique_ptr<SimulatedFleet> MakeConvergedFleet() {
  auto fleet = std::make_unique<SimulatedFleet>(LargeFleetOptions());
  fleet->Publish(1);
  fleet->StartAll();
  BOOST_REQUIRE(fleet->RunUntilAllHave(Version(1), seconds(60)));
  fleet->RunFor(seconds(20));
  return fleet;
}

double InSeconds(Duration value) {
  return std::chrono::duration_cast<duration<double>>(value).count();
}

std::uint64_t BytesOf(SimulatedFleet& fleet) {
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    bytes += fleet.node(i).bytes_sent + fleet.node(i).bytes_received;
  }
  return bytes;
}

}  // namespace

// Guards against platform overload when all hosts start at once.
BOOST_AUTO_TEST_CASE(start_of_all_hosts) {
  SimulatedFleet fleet(LargeFleetOptions());
  fleet.Publish(1);
  fleet.StartAll();
  const auto took = fleet.RunUntilAllHave(Version(1), seconds(60));
  BOOST_REQUIRE(took);
  fleet.RunFor(seconds(30));
  BOOST_TEST_MESSAGE(kHosts << " hosts start: all have version 1 after "
                            << InSeconds(*took) << " s, peak calls/s "
                            << fleet.PeakCalls());
  BOOST_TEST(fleet.PeakCalls() <= kMaxCallsPerSecond);
}

// Guards against platform overload when all hosts start while the platform is
// down, and when they all read once it is back.
BOOST_AUTO_TEST_CASE(start_without_platform) {
  SimulatedFleet fleet(LargeFleetOptions());
  fleet.Publish(1);
  fleet.platform_up = false;
  fleet.StartAll();
  fleet.RunFor(seconds(60));
  const int down = fleet.PeakCalls();
  fleet.platform_up = true;
  const auto took = fleet.RunUntilAllHave(Version(1), seconds(60));
  BOOST_REQUIRE(took);
  fleet.RunFor(seconds(30));
  BOOST_TEST_MESSAGE(kHosts << " hosts start while the platform is down: peak "
                            << down << " calls/s; back: all have version 1 in "
                            << InSeconds(*took) << " s, peak "
                            << fleet.PeakCalls(60) << " calls/s");
  BOOST_TEST(down <= kScaledCallsPerSecond);
  BOOST_TEST(fleet.PeakCalls() <= kMaxCallsPerSecond);
}

// Guards against slow distribution of a version, too many platform calls in
// normal operation, and too much control traffic.
BOOST_AUTO_TEST_CASE(changes_in_ordinary_operation) {
  auto fleet = MakeConvergedFleet();
  const std::size_t from = fleet->seconds();
  const std::uint64_t bytes_before = BytesOf(*fleet);
  fleet->RunFor(seconds(30));
  const double idle =
      static_cast<double>(BytesOf(*fleet) - bytes_before) / 30 / kHosts;
  BOOST_TEST_MESSAGE("idle: peak " << fleet->PeakCalls(from)
                                   << " calls/s, control traffic " << idle
                                   << " B/s per daemon (both ways)");

  constexpr std::uint64_t kChanges = 5;
  Duration longest{};
  const std::uint64_t before = BytesOf(*fleet);
  const Instant start = fleet->now();
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    const std::uint64_t version = 2 + i;
    fleet->Publish(version);
    const auto took = fleet->RunUntilAllHave(Version(version), seconds(20));
    BOOST_REQUIRE(took);
    longest = std::max(longest, *took);
    fleet->RunFor(seconds(2));
  }
  const double elapsed = InSeconds(fleet->now() - start);
  const double per_change =
      (static_cast<double>(BytesOf(*fleet) - before) / kHosts -
       idle * elapsed) /
      kChanges;
  const double total = idle + per_change * kChangesPerDay / kSecondsPerDay;
  BOOST_TEST_MESSAGE("change: longest distribution "
                     << InSeconds(longest) << " s, peak "
                     << fleet->PeakCalls(from) << " calls/s, " << per_change
                     << " B per daemon and change; " << kChangesPerDay
                     << " changes a day: " << total << " B/s per daemon");
  BOOST_TEST((longest <= kMaxDistributionTime));
  BOOST_TEST(fleet->PeakCalls(from) <= kMaxCallsPerSecond);
  BOOST_TEST(total <= 3072);
}

// Guards against a version that does not get past the one daemon that read it
// before the platform failed.
BOOST_AUTO_TEST_CASE(platform_fails_after_one_read) {
  auto fleet = MakeConvergedFleet();
  for (std::size_t i = 0; i < fleet->size(); ++i) {
    fleet->node(i).platform_reachable = false;
  }
  fleet->RunFor(seconds(3));
  const auto applied = ReadDocument(*fleet->node(7).distributor,
                                    fleet->Document(2), fleet->now());
  BOOST_REQUIRE(applied.value);
  const auto took = fleet->RunUntilAllHave(Version(2), seconds(20));
  BOOST_REQUIRE(took);
  BOOST_TEST_MESSAGE(
      "one daemon read version 2, then the platform failed: "
      "all have it after "
      << InSeconds(*took) << " s");
  BOOST_TEST((*took <= kMaxDistributionTime));
}

// Guards against simultaneous polls of all hosts while the platform is down,
// and against a new version delayed by their backoff when it is back.
BOOST_AUTO_TEST_CASE(platform_down_for_two_minutes) {
  auto fleet = MakeConvergedFleet();
  const std::size_t from = fleet->seconds();
  fleet->platform_up = false;
  fleet->RunFor(seconds(120));
  const int peak = fleet->PeakCalls(from);
  const int total = std::accumulate(
      fleet->calls().begin() + static_cast<std::ptrdiff_t>(from),
      fleet->calls().end(), 0);
  fleet->platform_up = true;
  fleet->Publish(2);
  const auto took = fleet->RunUntilAllHave(Version(2), seconds(60));
  BOOST_REQUIRE(took);
  BOOST_TEST_MESSAGE("platform down for 120 s: peak "
                     << peak << " calls/s, mean " << total / 120
                     << "; back with version 2: all have it after "
                     << InSeconds(*took) << " s, peak "
                     << fleet->PeakCalls(from) << " calls/s");
  BOOST_TEST(fleet->PeakCalls(from) <= kScaledCallsPerSecond);
}

}  // namespace lentilcross
