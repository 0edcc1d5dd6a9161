#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lentilcross/fleet.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/reader_role.h"

namespace lentilcross {

/// A new or changed registration, or a removal if `target` is empty.
struct RegistryChange {
  std::string name;
  std::uint64_t revision = 0;
  std::optional<RegisteredTarget> target;
};

/// This host's copy of the platform's target registry. A few hosts, the
/// readers, read the platform and pass changes on; all others synchronise with
/// peers and read the platform only as a fallback. Revisions never decrease;
/// see `store_revision.h`.
class Registry {
 public:
  struct Init {
    /// Age of the state from which this host reads the platform as a fallback.
    /// Must be well above the wait of a watch and the interval of digests.
    Duration fallback_after = std::chrono::milliseconds(2500);
    /// The same for a standby. Readers confirm the state to standbys after each
    /// call, so that it only has to exceed the wait of a watch.
    Duration takeover_after = std::chrono::milliseconds(2500);
    /// Minimum time for which a fallback reader keeps reading.
    Duration min_fallback_time = std::chrono::seconds(5);
    /// Age of the state from which the registry counts as lost. Must be below
    /// the time after which registrations lapse.
    Duration lost_after = std::chrono::milliseconds(3500);
    /// Fraction of the hosts, 0 to 1, that become fallback readers before this
    /// one, so that hosts do not all read the platform at once.
    double stagger = 0;
    FleetTracker::Init tracker;
  };
  struct Stats {
    std::uint64_t applied = 0;  ///< Changes and snapshots, from any source.
    std::uint64_t deltas_sent = 0;
    std::uint64_t snapshots_sent = 0;
    std::uint64_t requests_sent = 0;
  };

  explicit Registry(const Init& init) : init_(init), tracker_(init.tracker) {}

  // Results of platform reads. Both functions return true if `fleet` changed.

  bool OnSnapshot(const Fleet& snapshot, Instant now);
  /// All changes up to `revision`. An empty list confirms that the state is
  /// current.
  bool OnChanges(std::uint64_t revision,
                 const std::vector<RegistryChange>& changes, Instant now);

  // Messages from and to peers. `OnDigest` and `OnRequest` return the answers.

  /// Sets the revision and the age of the registry in a digest, and whether
  /// this process wants to hear of lapsed hosts.
  void AddRegistryState(Digest& digest, Instant now) const;
  std::vector<PeerMessage> OnDigest(const Digest& digest, Instant now);
  std::vector<PeerMessage> OnRequest(const RegistryRequest& request,
                                     Instant now);
  /// True if `fleet` changed.
  bool OnDelta(const RegistryDelta& delta, Instant now);
  /// Takes over the lapsed hosts that a peer knows. Only a new process does:
  /// later it has seen all of them itself. True if `fleet` changed.
  bool OnLapsedHosts(const LapsedHostList& list, Instant now);
  /// Takes the changes that were not sent to any peer yet, to be pushed to some
  /// peers. Empty if there are none or if they do not fit one message.
  std::optional<RegistryDelta> TakeUnsentChanges(Instant now);

  /// Call every 100 ms. True if `fleet` changed.
  bool Tick(Instant now);
  /// Removes lapsed hosts whose daemon has stopped. True if `fleet` changed.
  bool RemoveEndedHosts(const std::function<bool(HostId)>& has_ended) {
    return tracker_.RemoveEndedHosts(has_ended);
  }
  /// Whether this host should read and watch the platform now, as one of the
  /// readers or as a fallback.
  bool ShouldReadPlatform(ReaderRole role, Instant now);
  /// Whether this host reads the platform because the state was not confirmed
  /// in time by anyone else.
  bool IsFallbackReader(Instant now) const;

  /// Usable targets, including those in a grace period.
  const Fleet& fleet() const { return tracker_.fleet(); }
  /// False until a first snapshot was applied.
  bool known() const { return state_.revision != 0; }
  std::uint64_t revision() const { return state_.revision; }
  /// Whether no host is known to have reached the registry lately.
  bool lost() const { return lost_; }
  const FleetTracker::Stats& fleet_stats() const { return tracker_.stats(); }
  const Stats& stats() const { return stats_; }

 private:
  bool Apply(const RegistryChange& change, Instant now);
  bool ApplySnapshot(const Fleet& snapshot, Instant now);
  /// Records that the state was current at `at`.
  void Confirm(Instant at, Instant now);
  /// Time since the state was last known to be current.
  Duration Age(Instant now) const;
  /// Whether the state is too old for this host to rely on other readers.
  bool NeedsOwnReads(ReaderRole role, Instant now);
  /// The changes after `revision`, or a snapshot if there are too many.
  std::vector<PeerMessage> ChangesSince(std::uint64_t revision, Instant now);
  std::vector<PeerMessage> MakeSnapshot(Instant now) const;
  /// The lapsed hosts in messages of limited size; none if there are none.
  std::vector<PeerMessage> MakeLapsedHostLists(Instant now) const;
  /// The answer to the registry state in a digest.
  std::vector<PeerMessage> OnRegistryState(const Digest& digest, Instant now);

  Init init_;
  Stats stats_;
  FleetTracker tracker_;
  Fleet state_;  ///< As in the registry, without targets in a grace period.
  std::deque<RegistryChange> history_;
  /// Revision before the first change in `history_`.
  std::uint64_t history_base_ = 0;
  std::uint64_t pushed_revision_ = 0;  ///< Last revision pushed to peers.
  bool has_unsent_changes_ = false;
  std::optional<Instant> confirmed_;
  std::optional<Instant> known_since_;  ///< First state of the registry.
  bool lost_ = false;
  std::optional<Instant> requested_;      ///< Set while a request is open.
  std::optional<Instant> last_fallback_;  ///< Last need for a fallback read.
  StandbyTimer standby_timer_;
  RegistryDelta partial_snapshot_;  ///< Pieces received so far.
};

}  // namespace lentilcross
