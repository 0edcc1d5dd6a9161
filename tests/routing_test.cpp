#include "lentilcross/routing.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using CallResult = Router::CallResult;

const Instant kStart{std::chrono::hours(1)};
const ServiceId kService = ServiceId::FromName("stock");
const CallKind kKind{kService};
const Incarnation kLife(1);

// Targets named by their number; the domain of target N is `domains[N]`:
// "near" and "beside" are in one region, "far" in another.
std::shared_ptr<const Configuration> Make(
    const std::vector<std::string>& domains) {
  auto configuration = std::make_shared<Configuration>();
  for (const std::string name : {"near", "beside", "far"}) {
    const auto id = FailureDomainId::FromName(name);
    configuration->failure_domains[id] = {id, name,
                                          name == "far" ? "west" : "east", 0.3};
  }
  ServiceEntry service{kService, "stock", {}};
  for (std::size_t i = 0; i < domains.size(); ++i) {
    const std::string name = std::to_string(i);
    const auto host = HostId::FromName(name);
    configuration->hosts[host] = {host, name,
                                  FailureDomainId::FromName(domains[i]), ""};
    service.targets.push_back({TargetId::FromName(name), name, host});
  }
  configuration->services[kService] = service;
  return configuration;
}

struct Fixture {
  Router router = *Router::Create(
      {HostId::FromName("self"), FailureDomainId::FromName("near")});
  Membership membership{{HostId::FromName("self"), kLife}};
  Random random{1};
  Instant now = kStart;

  void Use(const std::vector<std::string>& domains) {
    router.Apply(Make(domains), now);
  }
  std::optional<Router::Pick> Choose(const std::vector<TargetId>& tried = {}) {
    return router.Choose(kKind, membership, tried, now, random);
  }
  void Call(CallResult observation) {
    const auto pick = Choose();
    router.OnStart(pick->target);
    router.OnEnd(pick->target, kKind, observation, milliseconds(1), now);
  }
  void Fail(const std::string& name, int times) {
    const auto target = TargetId::FromName(name);
    for (int i = 0; i < times; ++i) {
      router.OnStart(target);
      router.OnEnd(target, kKind, CallResult::kFailed, milliseconds(1), now);
    }
  }
  // How often each target is chosen; the calls stay outstanding if `hold`.
  std::map<TargetId, int> Count(int calls, bool hold = false) {
    std::map<TargetId, int> counts;
    for (int i = 0; i < calls; ++i) {
      const auto pick = Choose();
      if (!pick) continue;
      ++counts[pick->target];
      if (hold) router.OnStart(pick->target);
    }
    return counts;
  }
};

const TargetId kFirst = TargetId::FromName("0");
const TargetId kSecond = TargetId::FromName("1");

}  // namespace

// Guards against a settings mistake that would make routing arbitrary.
BOOST_AUTO_TEST_CASE(create_checks_its_settings) {
  Router::Init init;
  init.max_ejected = 2;
  BOOST_TEST(!Router::Create(init));
}

// Guards against work that goes to a busy target while others are free.
BOOST_FIXTURE_TEST_CASE(outstanding_work_is_spread, Fixture) {
  Use({"near", "near", "near", "near"});
  for (const auto& [target, count] : Count(400, true)) {
    BOOST_TEST(count > 90);
    BOOST_TEST(count < 110);
  }
}

// Guards against traffic between regions without need, and against refusals
// while another domain has room.
BOOST_FIXTURE_TEST_CASE(nearest_domain_first_with_spill_over, Fixture) {
  Use({"near", "beside", "far"});
  BOOST_TEST(Count(100)[kFirst] == 100);
  for (int i = 0; i < 400; ++i) Call(CallResult::kShed);
  const auto spilled = Count(100);
  BOOST_TEST(spilled.size() > 1U);
  for (int i = 0; i < 2000; ++i) Call(CallResult::kOk);
  BOOST_TEST(Count(100)[kFirst] > 90);
}

// Guards against new work at hosts that leave or are suspected (P8).
BOOST_FIXTURE_TEST_CASE(unusable_hosts_get_nothing, Fixture) {
  Use({"near", "near"});
  const auto host = HostId::FromName("0");
  membership.OnHello(host, kLife, now);
  membership.OnLeave(host, kLife, now);
  BOOST_TEST(Count(100)[kFirst] == 0);
  BOOST_TEST((Choose({kSecond})->target == kSecond));
}

// Guards against calls to a failing target, and against the ejection of so many
// that the rest cannot carry the load.
BOOST_FIXTURE_TEST_CASE(ejection_is_bounded, Fixture) {
  Use({"near", "near", "near", "near"});
  for (const auto* name : {"0", "1", "2", "3"}) Fail(name, 10);
  BOOST_TEST(router.stats().ejections == 2U);
  const auto counts = Count(100);
  BOOST_TEST(counts.size() == 2U);
  BOOST_TEST(counts.count(kFirst) == 0U);
}

// Guards against a burst on a target that has just come back, and against a
// target that never does.
BOOST_FIXTURE_TEST_CASE(one_probe_then_slow_start, Fixture) {
  Use({"near", "near"});
  Fail("0", 10);
  now += std::chrono::seconds(1);
  BOOST_TEST((Choose()->target == kFirst));
  router.OnStart(kFirst);
  BOOST_TEST(Count(20)[kFirst] == 0);
  router.OnEnd(kFirst, kKind, CallResult::kOk, milliseconds(1), now);
  auto counts = Count(100, true);
  BOOST_TEST(counts[kFirst] > 0);
  BOOST_TEST(counts[kFirst] < 25);
  now += std::chrono::seconds(10);
  BOOST_TEST(Count(100, true)[kFirst] > 50);
}

// Guards against an ejected target that is probed without a pause.
BOOST_FIXTURE_TEST_CASE(failed_probes_wait_longer, Fixture) {
  Use({"near", "near"});
  Fail("0", 10);
  now += milliseconds(600);
  BOOST_TEST((Choose()->target == kFirst));
  Fail("0", 1);
  now += milliseconds(600);
  BOOST_TEST((Choose()->target == kSecond));
  now += milliseconds(600);
  BOOST_TEST((Choose()->target == kFirst));
}

// Guards against a target that refuses fast and so looks idle.
BOOST_FIXTURE_TEST_CASE(shedding_targets_attract_less, Fixture) {
  Use({"near", "near"});
  for (int i = 0; i < 200; ++i) {
    router.OnStart(kFirst);
    router.OnEnd(kFirst, kKind, CallResult::kShed, milliseconds(0), now);
  }
  router.OnStart(kSecond);
  BOOST_TEST(Count(100)[kFirst] < 60);
}

const CallKind kAimed{kService, RouteId(1), Importance::kLookup,
                      milliseconds(1000)};

/// Calls from one host to a near target and one in another region. The latency
/// of each is set by the test.
struct Latencies : Fixture {
  Latencies() { Use({"near", "far"}); }

  /// Part of the calls that go to the other region.
  double FarShare(Duration near, Duration far, int calls = 400) {
    int to_far = 0;
    for (int i = 0; i < calls; ++i) {
      now += milliseconds(10);
      const auto pick = router.Choose(kAimed, membership, {}, now, random);
      const bool is_far = pick->target == kSecond;
      to_far += is_far ? 1 : 0;
      router.OnStart(pick->target);
      router.OnEnd(pick->target, kAimed, CallResult::kOk, is_far ? far : near,
                   now);
    }
    return static_cast<double>(to_far) / calls;
  }
};

// Replays a region whose targets are fast enough for the target latency, beside
// a region with faster ones: bytes between regions bring its callers nothing.
BOOST_FIXTURE_TEST_CASE(slower_region_keeps_its_calls, Latencies) {
  BOOST_TEST(FarShare(milliseconds(350), milliseconds(120)) == 0);
}

// Replays a region whose targets queue for longer than answers may take, while
// those of another region have room, and the end of that queue.
BOOST_FIXTURE_TEST_CASE(overloaded_region_gives_calls_away, Latencies) {
  FarShare(milliseconds(200), milliseconds(120));
  FarShare(milliseconds(1100), milliseconds(120), 100);
  BOOST_TEST(FarShare(milliseconds(1100), milliseconds(120)) > 0.5);
  FarShare(milliseconds(200), milliseconds(120), 200);
  BOOST_TEST(FarShare(milliseconds(200), milliseconds(120)) == 0);
}

// Guards against calls that leave their region for another that queues too.
BOOST_FIXTURE_TEST_CASE(overload_everywhere_keeps_calls_near, Latencies) {
  FarShare(milliseconds(1100), milliseconds(1100), 100);
  BOOST_TEST(FarShare(milliseconds(1100), milliseconds(1100)) < 0.1);
}

// Guards against spill-over of one kind of calls because another one is slow.
BOOST_FIXTURE_TEST_CASE(kinds_of_calls_are_told_apart, Latencies) {
  FarShare(milliseconds(1100), milliseconds(120));
  CallKind important = kAimed;
  important.importance = Importance::kCritical;
  for (int i = 0; i < 100; ++i) {
    const auto pick = router.Choose(important, membership, {}, now, random);
    BOOST_TEST((pick->target == kFirst));
    router.OnStart(pick->target);
    router.OnEnd(pick->target, important, CallResult::kOk, milliseconds(50),
                 now);
  }
}

// Guards against counts that are lost with each new configuration version.
BOOST_FIXTURE_TEST_CASE(apply_keeps_what_is_known, Fixture) {
  Use({"near", "near"});
  Fail("0", 10);
  Use({"near", "near", "near"});
  BOOST_TEST(Count(100).count(kFirst) == 0U);
  BOOST_TEST(!router.Choose({ServiceId::FromName("none")}, membership, {}, now,
                            random));
}

}  // namespace lentilcross
