#include "lentilcross/membership.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "lentilcross/config.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart = Instant{} + std::chrono::hours(1);
const HostId kSelf(1);
const HostId kPeer(2);
const Incarnation kFirst(11);
const Incarnation kSecond(12);
const Incarnation kThird(13);

Membership MakeMembership() {
  Membership::Init init;
  init.self = kSelf;
  init.incarnation = Incarnation(10);
  return Membership(init);
}

bool HasDeparted(MemberState state) {
  return state == MemberState::kLeaving || state == MemberState::kLeft;
}

}  // namespace

// Guards against calls to a leaving or left host after delayed gossip reports
// the same process as alive, with any sequence.
BOOST_AUTO_TEST_CASE(a_leaving_process_does_not_come_back) {
  auto membership = MakeMembership();
  membership.OnHello(kPeer, kFirst, kStart);
  BOOST_TEST(membership.IsUsable(kPeer));
  membership.OnLeave(kPeer, kFirst, kStart);
  BOOST_TEST(!membership.IsUsable(kPeer));
  membership.OnUpdates({{kPeer, kFirst, MemberState::kAlive, 1000}}, kStart);
  membership.OnHostContact(kPeer, kStart);
  membership.OnHello(kPeer, kFirst, kStart);
  BOOST_TEST(!membership.IsUsable(kPeer));
  membership.OnLinkDead(kPeer, kStart);
  BOOST_TEST((membership.Find(kPeer)->state == MemberState::kLeft));
}

// Guards against a left host that becomes usable through stale gossip about an
// older process, and a restarted host that is never detected.
BOOST_AUTO_TEST_CASE(only_a_hello_replaces_an_incarnation) {
  auto membership = MakeMembership();
  membership.OnHello(kPeer, kFirst, kStart);
  BOOST_TEST(membership.OnHello(kPeer, kSecond, kStart));
  membership.OnLeave(kPeer, kSecond, kStart);
  membership.OnUpdates({{kPeer, kFirst, MemberState::kAlive, 99}}, kStart);
  BOOST_TEST(!membership.IsUsable(kPeer));
  BOOST_TEST(!membership.ShouldProbe(kPeer, kStart));

  // Gossip about an unknown incarnation only triggers a probe.
  membership.OnUpdates({{kPeer, kThird, MemberState::kAlive, 0}}, kStart);
  BOOST_TEST(!membership.IsUsable(kPeer));
  BOOST_TEST(membership.ShouldProbe(kPeer, kStart));
  BOOST_TEST(!membership.ShouldProbe(kPeer, kStart + seconds(1)));
  BOOST_TEST(membership.ShouldProbe(kPeer, kStart + seconds(4)));
  BOOST_TEST(membership.OnHello(kPeer, kThird, kStart));
  BOOST_TEST(membership.IsUsable(kPeer));
  BOOST_TEST(!membership.ShouldProbe(kPeer, kStart + seconds(9)));
}

// Guards against a paused process that resumes and takes over the name from its
// replacement.
BOOST_AUTO_TEST_CASE(a_replaced_process_is_refused) {
  auto membership = MakeMembership();
  membership.OnHello(kPeer, kFirst, kStart);
  membership.OnHello(kPeer, kSecond, kStart);
  BOOST_TEST(!membership.OnHello(kPeer, kFirst, kStart));
  BOOST_TEST((membership.Find(kPeer)->incarnation == kSecond));
  BOOST_TEST(!membership.OnHello(kSelf, kFirst, kStart));
}

// Guards against a host that all consider unusable because one partitioned
// observer suspects it, and a dead host that stays usable.
BOOST_AUTO_TEST_CASE(direct_contact_takes_precedence_over_gossip) {
  auto membership = MakeMembership();
  membership.OnHello(kPeer, kFirst, kStart);
  const MemberUpdate suspicion = {kPeer, kFirst, MemberState::kSuspected, 0};
  membership.OnUpdates({suspicion}, kStart + seconds(1));
  BOOST_TEST(membership.IsUsable(kPeer));
  // The refutation has a higher sequence, so that peers accept it.
  BOOST_TEST(membership.NextUpdates().front().sequence == 1);

  auto silent = MakeMembership();
  silent.OnHello(kPeer, kFirst, kStart);
  silent.OnUpdates({suspicion}, kStart + seconds(4));
  BOOST_TEST(!silent.IsUsable(kPeer));
  BOOST_TEST(silent.ShouldProbe(kPeer, kStart + seconds(4)));
  silent.OnHostContact(kPeer, kStart + seconds(5));
  BOOST_TEST(silent.IsUsable(kPeer));
  silent.OnLinkDead(kPeer, kStart + seconds(5));
  BOOST_TEST(!silent.IsUsable(kPeer));
}

// Guards against a new process made unusable by an outdated platform list.
BOOST_AUTO_TEST_CASE(recent_contact_overrides_platform_list) {
  auto membership = MakeMembership();
  membership.OnHello(kPeer, kFirst, kStart);
  membership.OnPlatformLeaving(kPeer, kStart + seconds(1));
  BOOST_TEST(membership.IsUsable(kPeer));
  membership.OnPlatformLeaving(kPeer, kStart + seconds(4));
  BOOST_TEST(!membership.IsUsable(kPeer));
}

// Guards against a live process that stays suspected, and a leaving one that
// its own refutation marks as alive.
BOOST_AUTO_TEST_CASE(a_process_refutes_its_suspicion) {
  auto membership = MakeMembership();
  const Incarnation own(10);
  membership.OnUpdates({{kSelf, own, MemberState::kSuspected, 7}}, kStart);
  auto updates = membership.NextUpdates();
  BOOST_REQUIRE(updates.size() == 1);
  BOOST_TEST((updates.front().state == MemberState::kAlive));
  BOOST_TEST(updates.front().sequence == 8);
  membership.Leave(kStart);
  membership.OnUpdates({{kSelf, own, MemberState::kSuspected, 20}}, kStart);
  updates = membership.NextUpdates();
  BOOST_REQUIRE(updates.size() == 1);
  BOOST_TEST((updates.front().state == MemberState::kLeaving));
  BOOST_TEST(updates.front().sequence == 21);
}

// Guards against unbounded digests, and updates that are sent too few times or
// forever.
BOOST_AUTO_TEST_CASE(updates_are_bounded_and_newest_first) {
  auto membership = MakeMembership();
  constexpr std::uint64_t kHosts = 100;
  for (std::uint64_t i = 0; i < kHosts; ++i) {
    membership.OnUpdates({{HostId(100 + i), kFirst, MemberState::kAlive, 0}},
                         kStart);
  }
  BOOST_TEST((membership.NextUpdates().front().host == HostId(199)));
  std::map<HostId, int> sent;
  for (int i = 0; i < 1000; ++i) {
    const auto updates = membership.NextUpdates();
    BOOST_TEST(updates.size() <= LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES);
    for (const auto& update : updates) ++sent[update.host];
  }
  // Includes the update about this process.
  BOOST_TEST(sent.size() == kHosts + 1);
  BOOST_TEST(sent[HostId(100)] == LENTILCROSS_CONFIG_MEMBER_UPDATE_SENDS);
  BOOST_TEST(membership.NextUpdates().empty());
}

// Guards against gossip about nonexistent hosts that grows the table without
// limit or evicts a host with a direct link.
BOOST_AUTO_TEST_CASE(the_table_is_bounded) {
  auto membership = MakeMembership();
  membership.OnHello(kPeer, kFirst, kStart);
  for (std::uint64_t i = 0; i < LENTILCROSS_CONFIG_MAX_MEMBERS + 100; ++i) {
    membership.OnUpdates({{HostId(1000 + i), kFirst, MemberState::kAlive, 0}},
                         kStart);
    if (i % 1000 == 0) membership.NextUpdates();
  }
  BOOST_TEST(membership.members().size() == LENTILCROSS_CONFIG_MAX_MEMBERS);
  BOOST_TEST(membership.stats().table_full == 101);
  BOOST_TEST(membership.Find(kPeer) != nullptr);
}

// Guards against tables that stay different after the same gossip arrived in
// another order or twice.
BOOST_AUTO_TEST_CASE(gossip_order_does_not_matter) {
  BOOST_TEST(rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& inputs,
         std::uint64_t seed) {
        std::vector<MemberUpdate> updates;
        updates.reserve(inputs.size());
        for (const auto& [state, sequence] : inputs) {
          updates.push_back({kPeer, kFirst, static_cast<MemberState>(state % 4),
                             sequence % 8U});
        }
        auto ordered = MakeMembership();
        ordered.OnUpdates(updates, kStart);
        Random random(seed);
        std::shuffle(updates.begin(), updates.end(), random);
        auto shuffled = MakeMembership();
        shuffled.OnUpdates(updates, kStart);
        shuffled.OnUpdates(updates, kStart);
        if (updates.empty()) return;
        const auto* a = ordered.Find(kPeer);
        const auto* b = shuffled.Find(kPeer);
        RC_ASSERT(a->state == b->state);
        RC_ASSERT(HasDeparted(a->state) || a->sequence == b->sequence);
      }));
}

// Guards against a sequence of events that makes a left process usable,
// restores a replaced incarnation, or changes the incarnation without a Hello.
BOOST_AUTO_TEST_CASE(random_events_preserve_invariants) {
  using Event =
      std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, std::uint8_t>;
  BOOST_TEST(rc::check([](const std::vector<Event>& events) {
    auto membership = MakeMembership();
    Instant now = kStart;
    std::map<Incarnation, bool> departed;
    for (const auto& [kind, which, state, sequence] : events) {
      const Incarnation incarnation(11U + which % 3);
      const auto* before = membership.Find(kPeer);
      const Incarnation known = before ? before->incarnation : Incarnation();
      const std::uint32_t old_sequence = before ? before->sequence : 0;
      const bool hello = kind % 6 == 0;
      now += milliseconds(sequence * 20);
      switch (kind % 6) {
        case 0:
          membership.OnHello(kPeer, incarnation, now);
          break;
        case 1:
          membership.OnHostContact(kPeer, now);
          break;
        case 2:
          membership.OnLinkDead(kPeer, now);
          break;
        case 3:
          membership.OnLeave(kPeer, incarnation, now);
          break;
        case 4:
          membership.OnPlatformLeaving(kPeer, now);
          break;
        default:
          membership.OnUpdates(
              {{kPeer, incarnation, static_cast<MemberState>(state % 4),
                sequence}},
              now);
      }
      const auto* member = membership.Find(kPeer);
      if (member == nullptr) continue;
      const bool changed = known.valid() && member->incarnation != known;
      RC_ASSERT(hello || !changed);
      if (changed) {
        // The previous incarnation is rejected.
        RC_ASSERT(!membership.OnHello(kPeer, known, now));
        departed.clear();
      } else if (!HasDeparted(member->state)) {
        RC_ASSERT(member->sequence >= old_sequence);
      }
      if (departed[member->incarnation]) {
        RC_ASSERT(HasDeparted(member->state));
        RC_ASSERT(!membership.IsUsable(kPeer));
      }
      departed[member->incarnation] = HasDeparted(member->state);
    }
  }));
}

}  // namespace lentilcross
