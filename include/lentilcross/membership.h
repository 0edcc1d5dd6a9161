#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Gossip-based membership table. Among updates for one incarnation, the
/// higher sequence wins, then the higher `MemberState`; `kLeaving` and `kLeft`
/// are never reverted. Incarnations are unordered, so only an authenticated
/// Hello replaces a known one. Contact on a direct link takes precedence over
/// gossip.
class Membership {
 public:
  struct Init {
    HostId self;
    Incarnation incarnation;
    /// After contact on a direct link, gossip and the platform cannot make a
    /// host suspected for this time. Also the interval between probes.
    Duration suspicion_delay = std::chrono::seconds(3);
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
    Instant last_contact{};  ///< On a direct link; 0 if none.
    /// Previous incarnation, which `incarnation` replaced.
    Incarnation replaced_incarnation;
    /// Different incarnation seen in gossip, not yet confirmed by a Hello.
    Incarnation reported_incarnation;
    Instant last_probe{};
  };

  /// Queues an update about this process, because peers may have recorded an
  /// earlier process with the same name as left.
  explicit Membership(const Init& init);
  Membership(Membership&&) = default;
  Membership& operator=(Membership&&) = default;

  /// Call when a link to `host` was authenticated. Returns false if the link
  /// must be closed, because `incarnation` was replaced by the current one or
  /// `host` is this host.
  bool OnHello(HostId host, Incarnation incarnation, Instant now);
  void OnHostContact(HostId host, Instant now);
  /// Call when the last link to `host` failed.
  void OnLinkDead(HostId host, Instant now);
  void OnLeave(HostId host, Incarnation incarnation, Instant now);
  void OnUpdates(const std::vector<MemberUpdate>& updates, Instant now);
  /// Call when the platform lists `host` as leaving. Ignored after recent
  /// contact, because the list lags behind.
  void OnPlatformLeaving(HostId host, Instant now);
  /// Marks this process as leaving.
  void Leave(Instant now);

  /// Returns the updates to send in the next digest: at most
  /// `LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES`, newest first. Each update is
  /// returned `LENTILCROSS_CONFIG_MEMBER_UPDATE_SENDS` times.
  std::vector<MemberUpdate> NextUpdates();

  /// False if the host is suspected, leaving or left.
  bool IsUsable(HostId host) const;
  /// True if a link should be opened to check whether the host is back: it is
  /// suspected, or gossip reported an incarnation that only a Hello can
  /// confirm. Returns true at most once per `Init::suspicion_delay` for each
  /// host.
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
  bool HasRecentContact(const Member& member, Instant now) const;

  Init init_;
  Stats stats_;
  MemberState self_state_ = MemberState::kAlive;
  std::uint32_t self_sequence_ = 0;
  std::unordered_map<HostId, Member> members_;
  std::list<Pending> pending_;  ///< Newest first, at most one per host.
  std::unordered_map<HostId, std::list<Pending>::iterator> pending_index_;
};

}  // namespace lentilcross
