#include <boost/test/unit_test.hpp>
#include <thread>

#include "daemon/fleet.h"
#include "daemon/relay.h"

namespace lentilcross::testing {

namespace {

void ExpectReplacedLink(const std::function<void(Relay&)>& break_links) {
  // The platform's contract excuses a version that is late for so long after
  // connections went silent.
  constexpr Duration kStable = std::chrono::seconds(3);
  Fleet fleet;
  std::vector<std::unique_ptr<Relay>> relays;
  for (const std::string host : {"one", "two"}) {
    fleet.AddHost(host, "domain-" + host, {});
    relays.push_back(std::make_unique<Relay>(fleet.at(host).daemon().peer()));
    fleet.SetPeerAddress(host, relays.back()->endpoint());
  }
  fleet.Start();
  for (const std::string host : {"one", "two"}) {
    BOOST_REQUIRE(fleet.at(host).WaitStats([](const DaemonStats& stats) {
      return stats.peers.authenticated > 0;
    }));
  }
  const auto silenced = std::chrono::steady_clock::now();
  for (const auto& relay : relays) break_links(*relay);
  const int before = relays[0]->accepted() + relays[1]->accepted();
  const auto replaced = [&] {
    return relays[0]->accepted() + relays[1]->accepted() > before;
  };
  while (!replaced() &&
         std::chrono::steady_clock::now() - silenced < kPatience) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const Duration took = std::chrono::steady_clock::now() - silenced;
  BOOST_TEST((took < kStable));
  for (const std::string host : {"one", "two"}) {
    BOOST_TEST(fleet.at(host).WaitStats([](const DaemonStats& stats) {
      return stats.peers.silent > 0 && stats.peers.authenticated > 1;
    }));
  }
}

}  // namespace

// Guards against versions that are lost on a link without requests that went
// silent, until it is given up long after they have to be in force.
BOOST_AUTO_TEST_CASE(idle_link_that_goes_silent) {
  ExpectReplacedLink([](Relay& relay) { relay.Silence(); });
}

// Guards against a link that counts as alive for ever because of bytes that are
// no message.
BOOST_AUTO_TEST_CASE(idle_link_that_brings_no_whole_message) {
  ExpectReplacedLink([](Relay& relay) { relay.Dribble(); });
}

}  // namespace lentilcross::testing
