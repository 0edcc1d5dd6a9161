#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lentilcross/fleet.h"
#include "lentilcross/peer_message.h"

namespace lentilcross {

/// One registration, or its removal if `target` is empty.
struct RegistryChange {
  std::string name;
  std::uint64_t revision = 0;
  std::optional<RegisteredTarget> target;
};

/// The registry of targets as this host knows it. A few hosts read it at the
/// platform and pass it on; all others ask peers, and read it themselves only
/// while nobody else can. Revisions never go back.
class Registry {
 public:
  struct Init {
    /// A state that nobody has confirmed for longer is read at the platform by
    /// this host, too. Well above the wait of a watch and the time between two
    /// digests.
    Duration patience = std::chrono::milliseconds(2500);
    /// A host that began to read for that reason goes on for so long.
    Duration shortest_reading = std::chrono::seconds(5);
    /// The registry counts as lost if nobody reached it for so long. Below the
    /// time after which registrations lapse.
    Duration lost_after = std::chrono::milliseconds(3500);
    /// Part of the fleet, 0 to 1, before which this host loses patience: hosts
    /// do not turn to the platform in step.
    double stagger = 0;
    FleetTracker::Init tracker;
  };
  struct Stats {
    std::uint64_t applied = 0;  ///< Changes, from the platform or a peer.
    std::uint64_t deltas_sent = 0;
    std::uint64_t snapshots_sent = 0;
    std::uint64_t requests_sent = 0;
  };

  explicit Registry(const Init& init) : init_(init), tracker_(init.tracker) {}

  // From the platform. All functions return true if `fleet` changed.

  bool OnSnapshot(const Fleet& whole, Instant now);
  /// All changes up to the revision `to`; none if it is only confirmed.
  bool OnChanges(std::uint64_t to, const std::vector<RegistryChange>& changes,
                 Instant now);

  // From peers.

  /// Adds the own state to a digest.
  void AddRegistryState(Digest& digest, Instant now) const;
  /// Returns the answers.
  std::vector<PeerMessage> OnDigest(const Digest& digest, Instant now);
  std::vector<PeerMessage> OnRequest(const RegistryRequest& request,
                                     Instant now);
  /// True if `fleet` changed.
  bool OnDelta(const RegistryDelta& delta, Instant now);
  /// Changes of the fleet that no peer was told of yet, to be sent to some.
  std::optional<RegistryDelta> TakeUnsentChanges(Instant now);

  /// Call every 100 ms. True if `fleet` changed.
  bool Tick(Instant now);
  /// Drops lapsed hosts whose daemon has ended. True if `fleet` changed.
  bool RemoveEndedHosts(const std::function<bool(HostId)>& has_ended) {
    return tracker_.RemoveEndedHosts(has_ended);
  }
  /// Whether this host should read and watch at the platform now.
  bool ShouldReadPlatform(bool is_reader, Instant now);
  /// Reads because nobody else could lately.
  bool IsFallbackReader(Instant now) const;

  /// Registered targets that may be used.
  const Fleet& fleet() const { return tracker_.fleet(); }
  bool known() const { return state_.revision != 0; }
  /// Revision of the last state known, to continue from.
  std::uint64_t revision() const { return state_.revision; }
  bool lost() const { return lost_; }
  const Stats& stats() const { return stats_; }

 private:
  bool Apply(const RegistryChange& change, Instant now);
  bool ApplyWhole(const Fleet& whole, Instant now);
  /// The state was the newest one at `at`.
  void Confirm(Instant at, Instant now);
  Duration Age(Instant now) const;
  std::vector<PeerMessage> ChangesSince(std::uint64_t revision, Instant now);
  std::vector<PeerMessage> Whole(Instant now) const;

  Init init_;
  Stats stats_;
  FleetTracker tracker_;
  Fleet state_;  ///< As published, without the grace of the tracker.
  std::deque<RegistryChange> history_;
  std::uint64_t history_from_ = 0;  ///< Changes after it are in `history_`.
  std::uint64_t told_ = 0;          ///< Revision up to which peers were told.
  bool has_news_ = false;
  std::optional<Instant> confirmed_;
  bool lost_ = false;
  std::optional<Instant> requested_;    ///< While a request is open.
  std::optional<Instant> last_resort_;  ///< Nobody else confirmed the state.
  RegistryDelta partial_;               ///< Pieces of a whole registry so far.
};

}  // namespace lentilcross
