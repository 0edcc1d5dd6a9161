#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lentilcross/call_latency.h"
#include "lentilcross/configuration.h"
#include "lentilcross/membership.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Chooses the target for a call from the results of earlier calls of this
/// process. Targets that keep failing are ejected for a while; a probe call
/// brings them back.
class Router {
 public:
  struct Init {
    HostId self;
    FailureDomainId failure_domain;
    double max_ejected = 0.5;  ///< Fraction of a service's targets.
    /// Time in which a new, restarted or recovered target reaches full load.
    Duration slow_start = std::chrono::seconds(5);
  };
  struct Stats {
    std::uint64_t picks = 0;
    std::uint64_t remote_picks = 0;  ///< Outside this host's failure domain.
    std::uint64_t ejections = 0;
    std::uint64_t probes = 0;
    std::uint64_t no_target = 0;
    std::uint64_t cold_picks = 0;
  };
  enum class CallResult : std::uint8_t {
    kOk,
    kShed,     ///< Refused as overloaded.
    kRefused,  ///< Draining or not ready.
    kFailed,   ///< Connection or target failure, timeout.
    /// Handed back before the target was asked; says nothing about its health
    /// or latency.
    kDeferred,
  };
  struct Pick {
    TargetId target;
    HostId host;
  };

  static Result<Router> Create(const Init& init);

  void Apply(const std::shared_ptr<const Configuration>& configuration,
             Instant now);
  /// Avoids the targets in `tried` unless no other is left. Never chooses a
  /// host that is suspected, leaving or has left, or a target outside `homes`.
  /// Prefers near targets, unless a farther one saves a large part of the
  /// target latency. Empty if there is no usable target.
  std::optional<Pick> Choose(const CallKind& kind, const Membership& membership,
                             const std::vector<TargetId>& tried, Instant now,
                             Random& random, const HomeRegions& homes = {});
  /// Call before calling a chosen target. Needs one `OnEnd` after the call.
  void OnStart(TargetId target);
  void OnEnd(TargetId target, const CallKind& kind, CallResult result,
             Duration latency, Instant now);
  /// The target had no room for a call and handed it back.
  void OnBusy(TargetId target);
  /// The daemon beside a target says that it stays cold for `left`.
  void OnCold(TargetId target, Duration left, Instant now);
  const Stats& stats() const { return stats_; }

 private:
  struct Target {
    TargetEntry entry;
    RegionId region;
    int distance = 0;  ///< 0: same failure domain, 1: same region, 2: other.
    int outstanding = 0;
    int consecutive_failures = 0;
    double failure_ratio = 0;  ///< Moving average.
    double shed_ratio = 0;     ///< Moving average.
    double busy_ratio = 0;     ///< Moving average of calls handed back.
    bool ejected = false;
    int ejection_count = 0;  ///< Since the failure ratio was last low.
    int outstanding_probes = 0;
    Instant ejected_until{};
    Instant slow_start_begin{};  ///< Epoch: no slow start.
    bool evacuated = false;      ///< With its failure domain.
    Instant cold_until{};
    Instant next_cold_pick{};  ///< Not chosen before while it is cold.
    Incarnation incarnation;
  };
  struct Service {
    std::vector<Target> targets;
    std::array<double, 3> shed_ratio{};  ///< Moving average, by distance.
    CallLatency latency;
    double cold_rate = 0;  ///< Of `ServiceEntry`.
  };
  struct TargetLocation {
    ServiceId service;
    std::size_t index = 0;  ///< In `Service::targets`.
  };

  explicit Router(const Init& init) : init_(init) {}
  /// Builds the state of a service, with the history that `services_` holds,
  /// which is moved out.
  Service Merge(const ServiceEntry& entry, const Configuration& configuration,
                Instant now);
  int DistanceTo(HostId host, const Configuration& configuration) const;
  Target* Find(TargetId target);
  Target* PickProbe(Service& service, const Membership& membership,
                    const std::vector<TargetId>& tried,
                    const HomeRegions& homes, Instant now);
  /// Least loaded of two random targets at this distance; null if none is
  /// usable.
  Target* PickAt(Service& service, const std::vector<std::size_t>& usable,
                 int distance, Instant now, Random& random) const;
  Target* PickNear(Service& service, Instant now, Random& random);
  /// Returns `near`, or a farther target that saves enough time.
  Target* PickFaster(Service& service, Target* near, const CallKind& kind,
                     Instant now, Random& random) const;
  struct Filter {
    const std::vector<TargetId>& tried;
    const HomeRegions& homes;
    bool allow_cold = false;  ///< Before their next pick, too.
    bool allow_ejected = false;
  };
  void CollectUsable(Service& service, const Membership& membership,
                     const Filter& filter, Instant now);
  /// Collects the usable targets, under weaker conditions while there are none.
  void CollectCandidates(Service& service, const Membership& membership,
                         const std::vector<TargetId>& tried,
                         const HomeRegions& homes, Instant now);
  double Load(const Target& target, Instant now) const;
  static bool IsCold(const Service& service, const Target& target, Instant now);
  /// Mean time between two choices of the same cold target by this host.
  Duration ColdInterval(const Service& service) const;
  void SetCold(const Service& service, Target& target, Instant until,
               Instant now) const;
  void Eject(Service& service, Target& target, Instant now);
  void EndProbe(Target& target, bool ok, Instant now);
  void UpdateHealth(Service& service, Target& target, bool ok, Instant now);

  Init init_;
  Stats stats_;
  std::unordered_map<ServiceId, Service> services_;
  std::unordered_map<TargetId, TargetLocation> locations_;
  std::vector<std::size_t> usable_;  ///< Kept to reuse its allocation.
  std::size_t hosts_ = 1;            ///< In the configuration.
};

}  // namespace lentilcross
