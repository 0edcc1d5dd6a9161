#include "lentilcross/shedding.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <set>

namespace lentilcross {
namespace {

using std::chrono::milliseconds;

const Instant kStart{std::chrono::hours(1)};
const RouteId kRoute(1);
const OrganisationId kOrganisation(2);
const ServiceId kService(3);
constexpr std::uint32_t kAllLookups = 2U << kRankHashBits;

struct Fixture {
  EntryGate gate{EntryGate::Init{}};
  Random random{1};

  int Admitted(Importance importance, Instant now, int count = 1000) {
    int admitted = 0;
    for (int i = 0; i < count; ++i) {
      admitted += gate.Admit(kRoute, kOrganisation, importance,
                             RequestId::Make(random), now, random)
                      .admitted;
    }
    return admitted;
  }
};

}  // namespace

// Guards against deposits and bookings that are shed before lookups (P2), and
// against hops that rank a request differently.
BOOST_AUTO_TEST_CASE(rank_orders_importance_first_and_is_stable) {
  BOOST_TEST(rc::check([](std::uint64_t a, std::uint64_t b) {
    const RequestId one{a, b};
    const RequestId two{b, a};
    RC_ASSERT(RankOf(Importance::kCritical, one) >
              RankOf(Importance::kStandard, two));
    RC_ASSERT(RankOf(Importance::kStandard, one) >
              RankOf(Importance::kLookup, two));
    RC_ASSERT(RankOf(Importance::kLookup, one) >
              RankOf(Importance::kBackground, two));
    RC_ASSERT(RankOf(Importance::kLookup, one) ==
              RankOf(Importance::kLookup, one));
  }));
}

// Guards against requests that pass six services only to be shed at the
// seventh.
BOOST_FIXTURE_TEST_CASE(refuses_below_the_highest_downstream_level, Fixture) {
  gate.OnReply(kRoute, kOrganisation,
               {{ServiceId(7), 0}, {kService, 3U << (kRankHashBits - 1)}},
               kStart);
  const int lookups = Admitted(Importance::kLookup, kStart);
  BOOST_TEST(lookups > 430);
  BOOST_TEST(lookups < 570);
  BOOST_TEST(Admitted(Importance::kCritical, kStart) == 1000);
  const auto other = gate.Admit(kRoute, OrganisationId(9),
                                Importance::kBackground, {}, kStart, random);
  BOOST_TEST(other.admitted);
}

// Guards against refusing a small organisation by the level of the last target
// alone: its replies arrive tens of milliseconds apart.
BOOST_FIXTURE_TEST_CASE(rare_replies_are_averaged, Fixture) {
  Instant now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(80);
    gate.OnReply(kRoute, kOrganisation, {{kService, 0}}, now);
  }
  now += milliseconds(80);
  gate.OnReply(kRoute, kOrganisation, {{kService, kAllLookups}}, now);
  BOOST_TEST(gate.level(kRoute, kOrganisation, now) < kAllLookups / 4);
}

// Guards against shedding that goes on because old levels stay in force.
BOOST_FIXTURE_TEST_CASE(levels_expire, Fixture) {
  gate.OnReply(kRoute, kOrganisation, {{kService, kAllLookups}}, kStart);
  BOOST_TEST(gate.level(kRoute, kOrganisation, kStart + milliseconds(400)) ==
             kAllLookups);
  const Instant fading = kStart + milliseconds(750);
  BOOST_TEST(gate.level(kRoute, kOrganisation, fading) < kAllLookups);
  const Instant later = kStart + milliseconds(1001);
  BOOST_TEST(gate.level(kRoute, kOrganisation, later) == 0U);
  BOOST_TEST(Admitted(Importance::kBackground, later) == 1000);
}

// Guards against a gate that never notices that a level fell, against probes of
// lower importance than the refused requests, and against too many probes.
BOOST_FIXTURE_TEST_CASE(probes_only_with_the_importance_of_the_level, Fixture) {
  gate.OnReply(kRoute, kOrganisation, {{kService, kAllLookups - 1}}, kStart);
  const int lookups = Admitted(Importance::kLookup, kStart, 10000);
  BOOST_TEST(lookups > 50);
  BOOST_TEST(lookups < 200);
  BOOST_TEST(Admitted(Importance::kBackground, kStart, 10000) == 0);
}

// Guards against a critical request that is refused by the level of its
// organisation while less important requests of another one are admitted.
BOOST_FIXTURE_TEST_CASE(nothing_above_an_admitted_importance_is_refused,
                        Fixture) {
  gate.OnReply(kRoute, kOrganisation, {{kService, ~0U}}, kStart);
  BOOST_TEST(Admitted(Importance::kCritical, kStart) < 100);
  gate.Admit(kRoute, OrganisationId(9), Importance::kLookup, {}, kStart,
             random);
  BOOST_TEST(Admitted(Importance::kCritical, kStart + milliseconds(10)) ==
             1000);
  BOOST_TEST(Admitted(Importance::kLookup, kStart + milliseconds(10)) == 0);
  BOOST_TEST(Admitted(Importance::kCritical, kStart + milliseconds(200)) < 100);
}

// Guards against a deposit that is refused by the level of a service while
// lookups on another route are admitted to the same service. Importance is set
// for each route, so that different kinds of requests use different routes.
BOOST_FIXTURE_TEST_CASE(routes_to_one_service_are_ordered_together, Fixture) {
  const RouteId lookups(5);
  const RouteId elsewhere(6);
  const OrganisationId other(9);
  gate.OnReply(kRoute, kOrganisation, {{kService, ~0U}}, kStart);
  gate.OnReply(lookups, other, {{kService, 0}}, kStart);
  gate.OnReply(elsewhere, other, {{ServiceId(8), 0}}, kStart);
  gate.Admit(elsewhere, other, Importance::kLookup, {}, kStart, random);
  BOOST_TEST(Admitted(Importance::kCritical, kStart) < 100);
  gate.Admit(lookups, other, Importance::kLookup, {}, kStart, random);
  BOOST_TEST(Admitted(Importance::kCritical, kStart + milliseconds(10)) ==
             1000);
  BOOST_TEST(Admitted(Importance::kCritical, kStart + milliseconds(200)) < 100);
}

// Guards against callers that all retry at the same time.
BOOST_FIXTURE_TEST_CASE(refusals_say_when_to_retry_with_jitter, Fixture) {
  gate.OnReply(kRoute, kOrganisation, {{kService, kAllLookups}}, kStart);
  std::set<Duration> retry_times;
  for (int i = 0; i < 10; ++i) {
    const auto decision =
        gate.Admit(kRoute, kOrganisation, Importance::kBackground,
                   RequestId::Make(random), kStart, random);
    BOOST_TEST(!decision.admitted);
    BOOST_TEST((decision.retry_after >= milliseconds(500)));
    retry_times.insert(decision.retry_after);
  }
  BOOST_TEST(retry_times.size() > 5U);
}

}  // namespace lentilcross
