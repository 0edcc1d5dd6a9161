// Versions without tenants: requests carry no key.

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include "platform/path_setup.h"

namespace lentilcross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Other tests that run at the same time use other ports.
constexpr std::uint16_t kPeerPort = 17550;

/// Contract of the platform: a version is in force everywhere by then.
constexpr Duration kApply = milliseconds(2000);

Json MakeKeyless(int version) {
  Json configuration = MakeOperatorConfiguration(version);
  configuration.erase("tenants");
  return configuration;
}

/// Whether `fits` becomes true in time and then stays so for a second.
bool HoldsInTime(const std::function<bool()>& fits) {
  const Instant published = steady_clock::now();
  while (!fits()) {
    if (steady_clock::now() > published + kApply) return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  const Instant end = steady_clock::now() + std::chrono::seconds(1);
  while (steady_clock::now() < end) {
    if (!fits()) return false;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

/// Callers of both hosts that always send the key, which is valid or not asked
/// for.
class Traffic {
 public:
  explicit Traffic(PathSetup& setup) {
    for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
      callers_.emplace_back([this, host] {
        while (!stop_) {
          ++statuses_[Look(*host, kKey).status == 200 ? 0 : 1];
          std::this_thread::sleep_for(milliseconds(25));
        }
      });
    }
  }
  void Stop() {
    stop_ = true;
    for (std::thread& caller : callers_) caller.join();
  }
  int served() const { return statuses_[0]; }
  int failed() const { return statuses_[1]; }

 private:
  std::atomic<bool> stop_{false};
  std::array<std::atomic<int>, 2> statuses_{};
  std::vector<std::thread> callers_;
};

}  // namespace

// Guards against 401 for every request of a version without tenants, on any
// host, and against open routes once tenants are back.
BOOST_AUTO_TEST_CASE(version_without_tenants_requires_no_key) {
  PathSetup setup(Signed(), kPeerPort);
  Traffic traffic(setup);
  for (int version = 4; version < 8; version += 2) {
    setup.store.Put("op/config", MakeKeyless(version).dump());
    for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
      BOOST_TEST(HoldsInTime([host] { return Look(*host, "").status == 200; }));
    }
    setup.store.Put("op/config", MakeOperatorConfiguration(version + 1).dump());
    for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
      BOOST_TEST(HoldsInTime([host] { return Look(*host, "").status == 401; }));
    }
  }
  traffic.Stop();
  BOOST_TEST(traffic.served() > 100);
  BOOST_TEST(traffic.failed() == 0);
  for (const web::HttpRequest& request : setup.stock->target.received()) {
    BOOST_TEST(request.header("X-Lentilcross-Key").empty());
  }
}

// Guards against a daemon that refuses or opens routes at its start.
BOOST_AUTO_TEST_CASE(daemons_start_with_a_version_without_tenants) {
  PathSetup setup(Signed(), kPeerPort, MakeKeyless(3));
  for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
    BOOST_TEST(Look(*host, "").status == 200);
    BOOST_TEST(Look(*host, kKey).status == 200);
  }
  Json empty = MakeOperatorConfiguration(4);
  empty["tenants"] = Json::array();
  setup.store.Put("op/config", empty.dump());
  for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
    BOOST_TEST(HoldsInTime([host] { return Look(*host, "").status == 401; }));
  }
}

// Guards against a version with tenants that cannot be read and that opens a
// route or gives up the one before.
BOOST_AUTO_TEST_CASE(unreadable_tenants_leave_the_keys_in_force) {
  PathSetup setup(Signed(), kPeerPort);
  Json damaged = MakeOperatorConfiguration(4);
  damaged["tenants"] = nullptr;
  setup.store.Put("op/config", damaged.dump());
  for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
    BOOST_TEST(host->daemon->WaitStats([](const DaemonStats& stats) {
      return stats.refused_version == Version(4);
    }));
    BOOST_TEST(Look(*host, "").status == 401);
    BOOST_TEST(Look(*host, kKey).status == 200);
  }
}

}  // namespace lentilcross::testing
