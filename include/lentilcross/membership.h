#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Hosts as this process sees them. Within one incarnation states only advance
/// by sequence; a new incarnation starts over.
class Membership {
 public:
  struct Init {
    HostId self;
    Incarnation incarnation;
    Duration suspicion = std::chrono::seconds(3);
  };
  struct Stats {
    std::uint64_t updates_applied = 0;
    std::uint64_t updates_ignored = 0;
    std::uint64_t suspicions = 0;
  };
  struct Member {
    Incarnation incarnation;
    MemberState state = MemberState::kAlive;
    std::uint32_t sequence = 0;
    Instant heard{};
  };

  explicit Membership(const Init& init) : init_(init) {}

  /// A link to the host was authenticated.
  void OnHello(HostId host, Incarnation incarnation, Instant now);
  void OnHeard(HostId host, Instant now);
  void OnLinkDead(HostId host, Instant now);
  void OnLeave(HostId host, Incarnation incarnation, Instant now);
  void OnUpdates(const std::vector<MemberUpdate>& updates, Instant now);
  /// The platform's list, a hint: it lags.
  void OnPlatformLeaving(HostId host, Instant now);
  /// This process leaves.
  void Leave(Instant now);

  /// At most `LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES`, newest first.
  std::vector<MemberUpdate> NextUpdates();

  /// True unless the host is suspected, leaving or left.
  bool IsUsable(HostId host) const;
  const Member* Find(HostId host) const;
  const Stats& stats() const { return stats_; }

 private:
  Init init_;
  Stats stats_;
  std::unordered_map<HostId, Member> members_;
};

}  // namespace lentilcross
