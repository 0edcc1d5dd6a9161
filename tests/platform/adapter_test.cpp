// Settings of the daemon that follow from the platform's contract.

#include "adapter.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "lentilcross/findings.h"

namespace lentilcross::testing {
namespace {

using std::chrono::milliseconds;

DaemonInit InitFor(int config_apply_ms, int drain_ms) {
  DaemonInit init;
  Findings findings;
  platform::Configure(nlohmann::json{{"bounds",
                                      {{"config-apply-ms", config_apply_ms},
                                       {"drain-ms", drain_ms}}},
                                     {"failure_domains", {{"zone-a", "east"}}}},
                      "/adapter", init, findings);
  BOOST_REQUIRE(findings.empty());
  return init;
}

}  // namespace

// Guards against waits that outlast the time in which a new version, or the
// leaving of a target, has to be in force everywhere.
BOOST_AUTO_TEST_CASE(waits_leave_time_for_a_call_and_for_peers) {
  /// From a takeover until all peers have the change: a tick, a call, and
  /// pushes, each at most one tick late.
  constexpr Duration kRest = milliseconds(500);
  /// Longest pause of a reader between two watches.
  constexpr Duration kPause = milliseconds(350);
  const std::pair<int, int> kBounds[] = {
      {2000, 2000}, {3000, 3000}, {2000, 1500}, {1500, 4000}};
  for (const auto& [config_apply_ms, drain_ms] : kBounds) {
    const DaemonInit init = InitFor(config_apply_ms, drain_ms);
    const Duration bound = milliseconds(std::min(config_apply_ms, drain_ms));
    BOOST_REQUIRE(init.takeover_after.has_value());
    BOOST_TEST((*init.takeover_after + kRest < bound));
    BOOST_TEST((init.watch_wait + kPause < *init.takeover_after));
  }
}

}  // namespace lentilcross::testing
