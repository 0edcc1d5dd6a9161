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
const Incarnation kIncarnation(1);

// One target for each domain in `domains`, named by its index. "near" and
// "beside" are in the same region, "far" is in another.
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
  Membership membership{{HostId::FromName("self"), kIncarnation}};
  Random random{1};
  Instant now = kStart;

  void Apply(const std::vector<std::string>& domains) {
    router.Apply(Make(domains), now);
  }
  std::optional<Router::Pick> Choose(const std::vector<TargetId>& tried = {}) {
    return router.Choose(kKind, membership, tried, now, random);
  }
  void Call(CallResult result) {
    const auto pick = Choose();
    router.OnStart(pick->target);
    router.OnEnd(pick->target, kKind, result, milliseconds(1), now);
  }
  void Fail(const std::string& name, int times) {
    const auto target = TargetId::FromName(name);
    for (int i = 0; i < times; ++i) {
      router.OnStart(target);
      router.OnEnd(target, kKind, CallResult::kFailed, milliseconds(1), now);
    }
  }
  // Number of times that each target is chosen. With `keep_outstanding`, the
  // calls start and do not end.
  std::map<TargetId, int> Count(int calls, bool keep_outstanding = false) {
    std::map<TargetId, int> counts;
    for (int i = 0; i < calls; ++i) {
      const auto pick = Choose();
      if (!pick) continue;
      ++counts[pick->target];
      if (keep_outstanding) router.OnStart(pick->target);
    }
    return counts;
  }
};

const TargetId kFirst = TargetId::FromName("0");
const TargetId kSecond = TargetId::FromName("1");

}  // namespace

// Guards against invalid settings that would make routing arbitrary.
BOOST_AUTO_TEST_CASE(create_checks_its_settings) {
  Router::Init init;
  init.max_ejected = 2;
  BOOST_TEST(!Router::Create(init));
}

// Guards against calls to a busy target while others are idle.
BOOST_FIXTURE_TEST_CASE(outstanding_calls_are_balanced, Fixture) {
  Apply({"near", "near", "near", "near"});
  for (const auto& [target, count] : Count(400, true)) {
    BOOST_TEST(count > 90);
    BOOST_TEST(count < 110);
  }
}

// Guards against unnecessary traffic between regions, and against refusals
// while another failure domain has room.
BOOST_FIXTURE_TEST_CASE(nearest_domain_first_with_spill_over, Fixture) {
  Apply({"near", "beside", "far"});
  BOOST_TEST(Count(100)[kFirst] == 100);
  for (int i = 0; i < 400; ++i) Call(CallResult::kShed);
  const auto spilled = Count(100);
  BOOST_TEST(spilled.size() > 1U);
  for (int i = 0; i < 2000; ++i) Call(CallResult::kOk);
  BOOST_TEST(Count(100)[kFirst] > 90);
}

// Guards against new calls to hosts that leave or are suspected (P8).
BOOST_FIXTURE_TEST_CASE(unusable_hosts_get_no_calls, Fixture) {
  Apply({"near", "near"});
  const auto host = HostId::FromName("0");
  membership.OnHello(host, kIncarnation, now);
  membership.OnLeave(host, kIncarnation, now);
  BOOST_TEST(Count(100)[kFirst] == 0);
  BOOST_TEST((Choose({kSecond})->target == kSecond));
}

// Guards against calls to a failing target, and against ejecting so many
// targets that the rest cannot serve the load.
BOOST_FIXTURE_TEST_CASE(ejection_is_bounded, Fixture) {
  Apply({"near", "near", "near", "near"});
  for (const auto* name : {"0", "1", "2", "3"}) Fail(name, 10);
  BOOST_TEST(router.stats().ejections == 2U);
  const auto counts = Count(100);
  BOOST_TEST(counts.size() == 2U);
  BOOST_TEST(counts.count(kFirst) == 0U);
}

// Guards against a burst to a target that has just recovered, and against an
// ejected target that never gets calls again.
BOOST_FIXTURE_TEST_CASE(one_probe_then_slow_start, Fixture) {
  Apply({"near", "near"});
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

// Guards against probing an ejected target without a pause.
BOOST_FIXTURE_TEST_CASE(failed_probe_prolongs_the_ejection, Fixture) {
  Apply({"near", "near"});
  Fail("0", 10);
  now += milliseconds(600);
  BOOST_TEST((Choose()->target == kFirst));
  Fail("0", 1);
  now += milliseconds(600);
  BOOST_TEST((Choose()->target == kSecond));
  now += milliseconds(600);
  BOOST_TEST((Choose()->target == kFirst));
}

// Guards against preferring a target that looks idle because it refuses fast.
BOOST_FIXTURE_TEST_CASE(shedding_targets_get_fewer_calls, Fixture) {
  Apply({"near", "near"});
  for (int i = 0; i < 200; ++i) {
    router.OnStart(kFirst);
    router.OnEnd(kFirst, kKind, CallResult::kShed, milliseconds(0), now);
  }
  router.OnStart(kSecond);
  BOOST_TEST(Count(100)[kFirst] < 60);
}

const CallKind kLatencyKind{kService, RouteId(1), Importance::kLookup,
                            milliseconds(1000)};

/// Calls to a near target and to one in another region. The test sets the
/// latency of each.
struct Latencies : Fixture {
  Latencies() { Apply({"near", "far"}); }

  /// Fraction of the calls that go to the other region.
  double RemoteShare(Duration near, Duration far, int calls = 400) {
    int remote_calls = 0;
    for (int i = 0; i < calls; ++i) {
      now += milliseconds(10);
      const auto pick =
          router.Choose(kLatencyKind, membership, {}, now, random);
      const bool is_remote = pick->target == kSecond;
      remote_calls += is_remote ? 1 : 0;
      router.OnStart(pick->target);
      router.OnEnd(pick->target, kLatencyKind, CallResult::kOk,
                   is_remote ? far : near, now);
    }
    return static_cast<double>(remote_calls) / calls;
  }
};

// A region meets the target latency while another region is faster. Traffic
// between the regions would bring the callers no benefit.
BOOST_FIXTURE_TEST_CASE(slower_region_keeps_its_calls, Latencies) {
  BOOST_TEST(RemoteShare(milliseconds(350), milliseconds(120)) == 0);
}

// The queues of a region exceed the target latency for a while, and another
// region has room.
BOOST_FIXTURE_TEST_CASE(overloaded_region_spills_over, Latencies) {
  RemoteShare(milliseconds(200), milliseconds(120));
  RemoteShare(milliseconds(1100), milliseconds(120), 100);
  BOOST_TEST(RemoteShare(milliseconds(1100), milliseconds(120)) > 0.5);
  RemoteShare(milliseconds(200), milliseconds(120), 200);
  BOOST_TEST(RemoteShare(milliseconds(200), milliseconds(120)) == 0);
}

// Guards against spill-over to a region that is overloaded, too.
BOOST_FIXTURE_TEST_CASE(overload_of_all_regions_keeps_calls_near, Latencies) {
  RemoteShare(milliseconds(1100), milliseconds(1100), 100);
  BOOST_TEST(RemoteShare(milliseconds(1100), milliseconds(1100)) < 0.1);
}

// Guards against spill-over of one kind of calls because another kind is slow.
BOOST_FIXTURE_TEST_CASE(latency_is_estimated_for_each_kind, Latencies) {
  RemoteShare(milliseconds(1100), milliseconds(120));
  CallKind important = kLatencyKind;
  important.importance = Importance::kCritical;
  for (int i = 0; i < 100; ++i) {
    const auto pick = router.Choose(important, membership, {}, now, random);
    BOOST_TEST((pick->target == kFirst));
    router.OnStart(pick->target);
    router.OnEnd(pick->target, important, CallResult::kOk, milliseconds(50),
                 now);
  }
}

// Guards against losing the state of targets with each configuration version.
BOOST_FIXTURE_TEST_CASE(apply_keeps_the_state_of_targets, Fixture) {
  Apply({"near", "near"});
  Fail("0", 10);
  Apply({"near", "near", "near"});
  BOOST_TEST(Count(100).count(kFirst) == 0U);
  BOOST_TEST(!router.Choose({ServiceId::FromName("none")}, membership, {}, now,
                            random));
}

}  // namespace lentilcross
