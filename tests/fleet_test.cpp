#include "lentilcross/fleet.h"

#include <boost/test/unit_test.hpp>

#include "result.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart = Instant{} + seconds(100);

RegisteredTarget MakeTarget(const std::string& name,
                            const std::string& host = "host-1") {
  RegisteredTarget target;
  target.name = name;
  target.service = "stock";
  target.host = host;
  target.failure_domain = "mb-1";
  target.peer = "127.0.0.1:7101";
  target.slots = 8;
  return target;
}

Fleet MakeFleet(std::uint64_t revision,
                const std::vector<RegisteredTarget>& targets) {
  Fleet fleet;
  fleet.revision = revision;
  for (const auto& target : targets) fleet.targets[target.name] = target;
  return fleet;
}

struct Setup {
  Setup() {
    tracker.OnSnapshot(
        MakeFleet(10, {MakeTarget("a"), MakeTarget("b", "host-2")}), kStart);
  }
  bool Knows(const std::string& name) const {
    return tracker.fleet().targets.count(name) != 0;
  }

  FleetTracker tracker{FleetTracker::Init{}};
};

// Guards against a stale read that brings a removed target back.
BOOST_AUTO_TEST_CASE(older_snapshot_is_ignored) {
  Setup setup;
  BOOST_TEST(setup.tracker.OnRemoved("a", 12, kStart));
  const bool changed = setup.tracker.OnSnapshot(
      MakeFleet(11, {MakeTarget("a"), MakeTarget("b", "host-2")}), kStart);
  BOOST_TEST(!changed);
  BOOST_TEST(!setup.Knows("a"));
}

BOOST_AUTO_TEST_CASE(removal_without_an_outage_holds_at_once) {
  Setup setup;
  BOOST_TEST(setup.tracker.OnRemoved("a", 11, kStart));
  BOOST_TEST(!setup.Knows("a"));
  BOOST_TEST(setup.Knows("b"));
}

// Guards against a fleet that loses all targets because their registrations
// lapsed while the registry was away.
BOOST_AUTO_TEST_CASE(targets_that_lapsed_in_an_outage_stay_until_they_return) {
  Setup setup;
  setup.tracker.OnContactLost(kStart);
  Instant now = kStart + seconds(6);
  setup.tracker.OnContact(now);
  BOOST_TEST(!setup.tracker.OnSnapshot(MakeFleet(20, {}), now));
  BOOST_TEST(setup.Knows("a"));
  BOOST_TEST(setup.Knows("b"));

  now += milliseconds(1500);
  setup.tracker.OnRegistered(MakeTarget("a"), 21, now);
  BOOST_TEST(!setup.tracker.Tick(now));
  now += milliseconds(1500);
  BOOST_TEST(setup.tracker.Tick(now));
  BOOST_TEST(setup.Knows("a"));
  BOOST_TEST(!setup.Knows("b"));
}

// Guards against new work for a target that left without a word while this host
// was cut off: the registry was there for the others, so that the target counts
// as gone. Found by hunt 9027bcc6 on brierley-mesh, seed 392227058068.
BOOST_AUTO_TEST_CASE(target_that_left_behind_a_cut_is_dropped_in_time) {
  constexpr auto kLongestUse = milliseconds(2000);
  Setup setup;
  setup.tracker.OnContactLost(kStart);
  const Instant contact = kStart + seconds(7);
  setup.tracker.OnContact(contact);
  setup.tracker.OnRemoved("a", 12, contact + milliseconds(1));
  BOOST_TEST(setup.tracker.Tick(contact + kLongestUse));
  BOOST_TEST(!setup.Knows("a"));
}

// Guards against new work for a target that announced its end before the
// outage.
BOOST_AUTO_TEST_CASE(draining_target_does_not_lapse) {
  Setup setup;
  RegisteredTarget leaving = MakeTarget("a");
  leaving.draining = true;
  BOOST_TEST(setup.tracker.OnRegistered(leaving, 11, kStart));
  setup.tracker.OnContactLost(kStart);
  setup.tracker.OnContact(kStart + seconds(5));
  BOOST_TEST(setup.tracker.OnRemoved("a", 12, kStart + seconds(5)));
  BOOST_TEST(!setup.Knows("a"));
}

// A registration that only repeats itself changes nothing.
BOOST_AUTO_TEST_CASE(repeated_registration_is_no_change) {
  Setup setup;
  BOOST_TEST(!setup.tracker.OnRegistered(MakeTarget("a"), 11, kStart));
  RegisteredTarget draining = MakeTarget("a");
  draining.draining = true;
  BOOST_TEST(setup.tracker.OnRegistered(draining, 12, kStart));
}

constexpr const char* kDocument = R"({
  "version": 3, "preset": "ordinary",
  "failure_domains": {"mb-1": {"region": "manitoba"}},
  "hosts": {}, "services": {"stock": {"targets": []}}, "routes": {},
  "organisations": {}, "keys": {}, "presets": {"ordinary": {"queue_ms": 50}}
})";

// Guards against routing to an earlier target whose address was reused, and
// against entries that name nothing known.
BOOST_AUTO_TEST_CASE(configuration_gets_the_newest_target_of_each_host) {
  const auto parsed = Capture<std::shared_ptr<const Configuration>>(
      [] { return Configuration::Parse(kDocument); });
  BOOST_REQUIRE(parsed.value);
  RegisteredTarget old = MakeTarget("old");
  old.started_ms = 100;
  RegisteredTarget current = MakeTarget("current");
  current.started_ms = 200;
  RegisteredTarget unknown_service = MakeTarget("x", "host-3");
  unknown_service.service = "elsewhere";
  RegisteredTarget unknown_domain = MakeTarget("y", "host-4");
  unknown_domain.failure_domain = "nowhere";
  const auto merged =
      WithFleet(**parsed.value,
                MakeFleet(9, {old, current, unknown_service, unknown_domain}));
  BOOST_TEST(merged->hosts.size() == 1U);
  const auto& targets =
      merged->services.at(ServiceId::FromName("stock")).targets;
  BOOST_REQUIRE(targets.size() == 1U);
  BOOST_TEST(targets[0].name == "current");
  BOOST_TEST(targets[0].slots == 8);
  BOOST_TEST((merged->version == (*parsed.value)->version));
}

}  // namespace
}  // namespace lentilcross
