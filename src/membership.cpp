#include "lentilcross/membership.h"

#include <algorithm>
#include <limits>

#include "lentilcross/config.h"

namespace lentilcross {
namespace {

/// True if the process left or is about to.
bool HasDeparted(MemberState state) {
  return state == MemberState::kLeaving || state == MemberState::kLeft;
}

/// True if `update` supersedes `member`, which has the same incarnation.
bool Supersedes(const MemberUpdate& update, const Membership::Member& member) {
  if (HasDeparted(member.state)) return member.state < update.state;
  if (HasDeparted(update.state)) return true;
  if (update.sequence != member.sequence) {
    return update.sequence > member.sequence;
  }
  return update.state > member.state;
}

std::uint32_t NextSequence(std::uint32_t sequence) {
  constexpr auto kLast = std::numeric_limits<std::uint32_t>::max();
  return sequence == kLast ? kLast : sequence + 1;
}

}  // namespace

Membership::Membership(const Init& init) : init_(init) { AnnounceSelf(); }

bool Membership::OnHello(HostId host, Incarnation incarnation, Instant now) {
  if (host == init_.self) return false;
  Member* member = FindMutable(host);
  if (member == nullptr) {
    member = Insert(host, incarnation);
    if (member == nullptr) return true;
    member->last_contact = now;
    return true;
  }
  // A process that was paused while another one replaced it.
  if (member->replaced_incarnation == incarnation) return false;
  if (member->incarnation != incarnation) {
    const Incarnation previous = member->incarnation;
    *member = Member{};
    member->incarnation = incarnation;
    member->replaced_incarnation = previous;
    member->last_contact = now;
    Announce(host, *member);
    return true;
  }
  Revive(host, *member, now);
  return true;
}

void Membership::OnHostContact(HostId host, Instant now) {
  if (Member* member = FindMutable(host)) Revive(host, *member, now);
}

void Membership::OnLinkDead(HostId host, Instant /*now*/) {
  Member* member = FindMutable(host);
  if (member == nullptr) return;
  if (member->state == MemberState::kLeaving) {
    member->state = MemberState::kLeft;
    Announce(host, *member);
    return;
  }
  Suspect(host, *member);
}

void Membership::OnLeave(HostId host, Incarnation incarnation, Instant now) {
  if (host == init_.self) return;
  Member* member = FindMutable(host);
  if (member == nullptr) member = Insert(host, incarnation);
  if (member == nullptr || member->incarnation != incarnation) return;
  member->last_contact = now;
  if (HasDeparted(member->state)) return;
  member->state = MemberState::kLeaving;
  member->sequence = NextSequence(member->sequence);
  Announce(host, *member);
}

void Membership::OnUpdates(const std::vector<MemberUpdate>& updates,
                           Instant now) {
  for (const MemberUpdate& update : updates) OnUpdate(update, now);
}

void Membership::OnUpdate(const MemberUpdate& update, Instant now) {
  if (update.host == init_.self) return OnUpdateOfSelf(update);
  Member* member = FindMutable(update.host);
  if (member == nullptr) {
    member = Insert(update.host, update.incarnation);
    if (member == nullptr) return;
  } else if (member->incarnation != update.incarnation) {
    return OnOtherIncarnation(*member, update);
  } else if (!Supersedes(update, *member)) {
    ++stats_.updates_ignored;
    return;
  } else if (update.state == MemberState::kSuspected &&
             HasRecentContact(*member, now)) {
    // Refute with a higher sequence, so that peers stop suspecting it as well.
    ++stats_.updates_ignored;
    member->sequence = NextSequence(update.sequence);
    member->state = MemberState::kAlive;
    return Announce(update.host, *member);
  }
  member->state = update.state;
  member->sequence = update.sequence;
  ++stats_.updates_applied;
  Announce(update.host, *member);
}

void Membership::OnUpdateOfSelf(const MemberUpdate& update) {
  const bool same = update.incarnation == init_.incarnation;
  if (same && update.state != MemberState::kSuspected) return;
  // Refute the suspicion, or an update about an earlier process with this name.
  if (same) {
    self_sequence_ = std::max(self_sequence_, NextSequence(update.sequence));
  }
  AnnounceSelf();
}

void Membership::OnOtherIncarnation(Member& member,
                                    const MemberUpdate& update) {
  ++stats_.updates_ignored;
  const bool outdated = update.incarnation == member.replaced_incarnation;
  if (outdated || HasDeparted(update.state)) return;
  member.reported_incarnation = update.incarnation;
}

void Membership::OnPlatformLeaving(HostId host, Instant now) {
  Member* member = FindMutable(host);
  if (member == nullptr || HasRecentContact(*member, now)) return;
  Suspect(host, *member);
}

void Membership::Leave(Instant /*now*/) {
  if (HasDeparted(self_state_)) return;
  self_state_ = MemberState::kLeaving;
  self_sequence_ = NextSequence(self_sequence_);
  AnnounceSelf();
}

std::vector<MemberUpdate> Membership::NextUpdates() {
  std::vector<MemberUpdate> updates;
  auto pending = pending_.begin();
  while (pending != pending_.end() &&
         updates.size() < LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES) {
    updates.push_back(pending->update);
    if (--pending->sends_left > 0) {
      ++pending;
      continue;
    }
    pending_index_.erase(pending->update.host);
    pending = pending_.erase(pending);
  }
  return updates;
}

bool Membership::IsUsable(HostId host) const {
  const Member* member = Find(host);
  return member == nullptr || member->state == MemberState::kAlive;
}

bool Membership::ShouldProbe(HostId host, Instant now) {
  Member* member = FindMutable(host);
  if (member == nullptr) return false;
  const bool unconfirmed = member->state == MemberState::kSuspected ||
                           member->reported_incarnation.valid();
  if (!unconfirmed) return false;
  if (member->last_probe != Instant{} &&
      now - member->last_probe < init_.suspicion_delay) {
    return false;
  }
  member->last_probe = now;
  return true;
}

const Membership::Member* Membership::Find(HostId host) const {
  const auto found = members_.find(host);
  return found == members_.end() ? nullptr : &found->second;
}

Membership::Member* Membership::FindMutable(HostId host) {
  const auto found = members_.find(host);
  return found == members_.end() ? nullptr : &found->second;
}

Membership::Member* Membership::Insert(HostId host, Incarnation incarnation) {
  if (members_.size() >= LENTILCROSS_CONFIG_MAX_MEMBERS) {
    ++stats_.table_full;
    EvictOne();
  }
  if (members_.size() >= LENTILCROSS_CONFIG_MAX_MEMBERS) return nullptr;
  Member& member = members_[host];
  member.incarnation = incarnation;
  return &member;
}

/// Makes room by removing a host known only from gossip. Hosts that had a
/// direct link are kept, and so are those that left.
void Membership::EvictOne() {
  const auto victim =
      std::find_if(members_.begin(), members_.end(), [](const auto& entry) {
        const Member& member = entry.second;
        return member.last_contact == Instant{} && !HasDeparted(member.state);
      });
  if (victim != members_.end()) members_.erase(victim);
}

void Membership::Suspect(HostId host, Member& member) {
  if (member.state != MemberState::kAlive) return;
  member.state = MemberState::kSuspected;
  ++stats_.suspicions;
  Announce(host, member);
}

/// Records contact on a direct link, which ends a suspicion.
void Membership::Revive(HostId host, Member& member, Instant now) {
  member.last_contact = now;
  member.reported_incarnation = Incarnation();
  if (member.state != MemberState::kSuspected) return;
  member.state = MemberState::kAlive;
  member.sequence = NextSequence(member.sequence);
  Announce(host, member);
}

void Membership::Announce(HostId host, const Member& member) {
  if (const auto previous = pending_index_.find(host);
      previous != pending_index_.end()) {
    pending_.erase(previous->second);
    pending_index_.erase(previous);
  }
  if (pending_.size() >= LENTILCROSS_CONFIG_MAX_MEMBERS) {
    pending_index_.erase(pending_.back().update.host);
    pending_.pop_back();
  }
  pending_.push_front(
      {{host, member.incarnation, member.state, member.sequence},
       LENTILCROSS_CONFIG_MEMBER_UPDATE_SENDS});
  pending_index_[host] = pending_.begin();
}

void Membership::AnnounceSelf() {
  Member self;
  self.incarnation = init_.incarnation;
  self.state = self_state_;
  self.sequence = self_sequence_;
  Announce(init_.self, self);
}

bool Membership::HasRecentContact(const Member& member, Instant now) const {
  return member.last_contact != Instant{} &&
         now - member.last_contact < init_.suspicion_delay;
}

}  // namespace lentilcross
