#include <boost/test/unit_test.hpp>
#include <thread>

#include "daemon/fleet.h"

namespace lentilcross::testing {
namespace {

// Guards against own quotas that are suspended between two digests although the
// peer is there all the time: callers within rate are then refused. The
// platform gives no contact: an unchanged watch began longer ago than half of
// the handover.
void CheckQuotasStayInForce(const std::string& second_domain) {
  Fleet fleet;
  // The shortest that the settings allow.
  const auto shortest = [](DaemonInit& init) {
    init.loan_term = std::chrono::milliseconds(500);
    init.rate_handover = std::chrono::seconds(2);
  };
  fleet.AddHost("one", "domain-1", {}, shortest);
  fleet.AddHost("two", second_domain, {}, shortest);
  fleet.Start();
  // Contact is scarce while the daemons find each other.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto suspensions = [&fleet](const std::string& host) {
    return fleet.at(host).stats().rate.suspensions;
  };
  const auto one = suspensions("one");
  const auto two = suspensions("two");
  std::this_thread::sleep_for(std::chrono::seconds(6));
  // A machine that stalls for half a second may suspend once; the fault did so
  // once a second.
  BOOST_TEST(suspensions("one") <= one + 1);
  BOOST_TEST(suspensions("two") <= two + 1);
}

BOOST_AUTO_TEST_CASE(quotas_stay_in_force_while_a_peer_is_there) {
  CheckQuotasStayInForce("domain-1");
}

// The same for a host that is alone in its failure domain.
BOOST_AUTO_TEST_CASE(quotas_stay_in_force_with_peers_in_other_domains) {
  CheckQuotasStayInForce("domain-2");
}

}  // namespace
}  // namespace lentilcross::testing
