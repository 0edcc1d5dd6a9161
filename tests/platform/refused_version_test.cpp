// Versions that cannot be read: daemons stay on the version before and say so.

#include <algorithm>
#include <chrono>

#include "metrics.h"
#include "platform/path_setup.h"

namespace lentilcross::testing {
namespace {

using std::chrono::steady_clock;

/// Other tests that run at the same time use other ports.
constexpr std::uint16_t kPeerPort = 17549;

/// Contract of the platform: a version is in force everywhere by then.
constexpr Duration kApply = std::chrono::milliseconds(2000);

Json MakeUnreadable(int version) {
  Json configuration = MakeOperatorConfiguration(version);
  configuration["services"] = 5;
  return configuration;
}

bool Refuses(const DaemonStats& stats, Version version) {
  return stats.refused_version == version;
}

}  // namespace

// Guards against a daemon that takes a version which it cannot read for no
// change, and confirms the one before to its peers as the newest.
BOOST_AUTO_TEST_CASE(refused_version_is_shown_and_not_confirmed) {
  PathSetup setup(Signed(), kPeerPort);
  setup.store.Put("op/config", MakeUnreadable(4).dump());
  for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
    BOOST_REQUIRE(host->daemon->WaitStats([](const DaemonStats& stats) {
      return Refuses(stats, Version(4)) &&
             stats.confirmation_age > std::chrono::seconds(3);
    }));
    const DaemonStats stats = host->daemon->stats();
    BOOST_TEST((stats.version == Version(3)));
    BOOST_TEST(StatusDocument(stats)["refused_version"] == 4);
    BOOST_TEST(MetricsText(stats, {}).find(
                   "lentilcross_configuration_refused 1.0\n") !=
               std::string::npos);
    BOOST_TEST(host->daemon->WaitLog("configuration-refused"));
    BOOST_TEST(host->daemon->WaitLog("configuration-left-behind"));
    BOOST_TEST(Look(*host, kKey).status == 200);
  }
}

// Guards against a version that comes late because the one before could not be
// read.
BOOST_AUTO_TEST_CASE(version_after_a_refused_one_is_in_force_in_time) {
  PathSetup setup(Signed(), kPeerPort);
  for (int version = 4; version < 12; version += 2) {
    setup.store.Put("op/config", MakeUnreadable(version).dump());
    std::this_thread::sleep_for(std::chrono::milliseconds(100 * version));
    setup.store.Put("op/config", MakeOperatorConfiguration(version + 1).dump());
    const Instant published = steady_clock::now();
    const Version expected(static_cast<std::uint64_t>(version) + 1);
    for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
      BOOST_TEST(host->daemon->WaitLog("configuration-applied"));
      BOOST_TEST(host->daemon->WaitStats([expected](const DaemonStats& stats) {
        return stats.version == expected && !stats.refused_version;
      }));
    }
    // Snapshots of the state are up to a second old.
    BOOST_TEST(
        (steady_clock::now() - published < kApply + std::chrono::seconds(1)));
  }
}

// Guards against a daemon that waits in vain for the first version when the
// newest one cannot be read, although its peers have the one before.
BOOST_AUTO_TEST_CASE(start_beside_a_refused_version_takes_that_of_peers) {
  PathSetup setup(Signed(), kPeerPort);
  setup.store.Put("op/config", MakeUnreadable(4).dump());
  BOOST_REQUIRE(setup.stock->daemon->WaitStats(
      [](const DaemonStats& stats) { return Refuses(stats, Version(4)); }));
  setup.Register("i-late", "stock", "127.0.0.4");
  Host late("127.0.0.4", "stock", setup.store.endpoint(), kPeerPort, Signed());
  BOOST_TEST(late.daemon->WaitStats([](const DaemonStats& stats) {
    return stats.ready && stats.version == Version(3) &&
           Refuses(stats, Version(4));
  }));
  BOOST_TEST(Look(late, kKey).status == 200);
  setup.store.Put("op/config", MakeOperatorConfiguration(5).dump());
  BOOST_TEST(late.daemon->WaitStats([](const DaemonStats& stats) {
    return stats.version == Version(5) && !stats.refused_version;
  }));
}

}  // namespace lentilcross::testing
