#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Hosts as this process sees them. Within one incarnation a higher sequence
/// wins, at equal sequence the later state; `kLeaving` and `kLeft` are never
/// taken back. Only an authenticated Hello makes a new incarnation replace the
/// known one, because incarnations have no order. Own links count more than
/// gossip.
class Membership {
 public:
  struct Init {
    HostId self;
    Incarnation incarnation;
    /// A host heard on an own link within this time is not suspected on the
    /// word of another host or of the platform.
    Duration suspicion = std::chrono::seconds(3);
  };
  struct Stats {
    std::uint64_t updates_applied = 0;
    std::uint64_t updates_ignored = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t table_full = 0;
  };
  struct Member {
    Incarnation incarnation;
    MemberState state = MemberState::kAlive;
    std::uint32_t sequence = 0;
    Instant heard{};  ///< Last contact on an own link; 0 if none.
    /// Incarnation that this one replaced.
    Incarnation replaced;
    /// Incarnation that gossip reports in place of this one; see
    /// `ShouldProbe`.
    Incarnation reported;
    Instant probed{};
  };

  /// Announces this process: others may know an earlier one of its name as
  /// left.
  explicit Membership(const Init& init);
  Membership(Membership&&) = default;
  Membership& operator=(Membership&&) = default;

  /// A link to the host was authenticated. False if a later incarnation of the
  /// host is known; the link is to be closed.
  bool OnHello(HostId host, Incarnation incarnation, Instant now);
  void OnHostContact(HostId host, Instant now);
  /// The last link to the host is dead.
  void OnLinkDead(HostId host, Instant now);
  void OnLeave(HostId host, Incarnation incarnation, Instant now);
  void OnUpdates(const std::vector<MemberUpdate>& updates, Instant now);
  /// The platform's list, a hint: it lags.
  void OnPlatformLeaving(HostId host, Instant now);
  /// This process leaves.
  void Leave(Instant now);

  /// At most `LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES`, newest first. Each
  /// update is returned `LENTILCROSS_CONFIG_MEMBER_UPDATE_SENDS` times.
  std::vector<MemberUpdate> NextUpdates();

  /// True unless the host is suspected, leaving or left.
  bool IsUsable(HostId host) const;
  /// True, at most once per `Init::suspicion`, if a link should be opened to
  /// find out whether the host is back: it is suspected, or gossip reports an
  /// incarnation that only a Hello can confirm.
  bool ShouldProbe(HostId host, Instant now);
  const Member* Find(HostId host) const;
  const std::unordered_map<HostId, Member>& members() const { return members_; }
  const Stats& stats() const { return stats_; }

 private:
  struct Pending {
    MemberUpdate update;
    int sends_left = 0;
  };

  void OnUpdate(const MemberUpdate& update, Instant now);
  void OnUpdateOfSelf(const MemberUpdate& update);
  void OnOtherIncarnation(Member& member, const MemberUpdate& update);
  void Suspect(HostId host, Member& member);
  void Revive(HostId host, Member& member, Instant now);
  Member* FindMutable(HostId host);
  Member* Insert(HostId host, Incarnation incarnation);
  void EvictOne();
  void Announce(HostId host, const Member& member);
  void AnnounceSelf();
  bool HeardLately(const Member& member, Instant now) const;

  Init init_;
  Stats stats_;
  MemberState self_state_ = MemberState::kAlive;
  std::uint32_t self_sequence_ = 0;
  std::unordered_map<HostId, Member> members_;
  std::list<Pending> pending_;  ///< Newest first, one for each host.
  std::unordered_map<HostId, std::list<Pending>::iterator> pending_index_;
};

}  // namespace lentilcross
