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

/// Chooses the target for a call from own observations.
class Router {
 public:
  struct Init {
    HostId self;
    FailureDomainId failure_domain;
    double max_ejected = 0.5;  ///< Fraction of a service's targets.
    Duration slow_start = std::chrono::seconds(5);
  };
  struct Stats {
    std::uint64_t picks = 0;
    std::uint64_t remote_picks = 0;  ///< Outside the own failure domain.
    std::uint64_t ejections = 0;
    std::uint64_t probes = 0;
    std::uint64_t no_target = 0;
  };
  enum class CallResult : std::uint8_t {
    kOk,
    kShed,     ///< Refused as overloaded.
    kRefused,  ///< Draining or not ready.
    kFailed,   ///< Connection or target failure, timeout.
  };
  struct Pick {
    TargetId target;
    HostId host;
  };

  static Result<Router> Create(const Init& init);

  void Apply(const std::shared_ptr<const Configuration>& configuration,
             Instant now);
  /// Avoids the targets in `tried` unless nothing else is left. Never chooses a
  /// host that is suspected, leaving or left. Prefers near targets, unless the
  /// time that a farther one saves is a good part of the target latency.
  std::optional<Pick> Choose(const CallKind& kind, const Membership& membership,
                             const std::vector<TargetId>& tried, Instant now,
                             Random& random);
  /// A chosen target is about to be called. Each start is followed by one
  /// `OnEnd`.
  void OnStart(TargetId target);
  void OnEnd(TargetId target, const CallKind& kind, CallResult observation,
             Duration latency, Instant now);
  const Stats& stats() const { return stats_; }

 private:
  struct Target {
    TargetEntry entry;
    int distance = 0;  ///< 0 own failure domain, 1 own region, 2 elsewhere.
    int outstanding = 0;
    int consecutive_failures = 0;
    double failure_ratio = 0;  ///< Moving average.
    double shed_ratio = 0;     ///< Moving average.
    bool ejected = false;
    int ejection_count = 0;  ///< Ejections without a lasting success between.
    int probes_out = 0;
    Instant ejected_until{};
    Instant ramp_start{};  ///< Slow start begins here; epoch: fully warm.
    Incarnation incarnation;
  };
  struct Service {
    std::vector<Target> targets;
    std::array<double, 3> shed_ratio{};  ///< Moving average, by distance.
    CallLatency latency;
  };
  struct Place {
    ServiceId service;
    std::size_t index = 0;
  };

  explicit Router(const Init& init) : init_(init) {}
  /// Takes what is known of the service out of `services_`.
  Service Merge(const ServiceEntry& entry, const Configuration& configuration,
                Instant now);
  int DistanceTo(HostId host, const Configuration& configuration) const;
  Target* Find(TargetId target);
  Target* PickProbe(Service& service, const Membership& membership,
                    const std::vector<TargetId>& tried, Instant now);
  Target* PickAt(Service& service, const std::vector<std::size_t>& usable,
                 int distance, Instant now, Random& random) const;
  Target* PickNear(Service& service, Instant now, Random& random);
  /// Leaves `near` for a farther target if that saves enough time.
  Target* PickFaster(Service& service, Target* near, const CallKind& kind,
                     Instant now, Random& random) const;
  void CollectUsable(Service& service, const Membership& membership,
                     const std::vector<TargetId>& tried, Instant now);
  double Load(const Target& target, Instant now) const;
  void Eject(Service& service, Target& target, Instant now);
  void EndProbe(Target& target, bool ok, Instant now);
  void Judge(Service& service, Target& target, bool ok, Instant now);

  Init init_;
  Stats stats_;
  std::unordered_map<ServiceId, Service> services_;
  std::unordered_map<TargetId, Place> places_;
  std::vector<std::size_t> usable_;  ///< Reused by each choice.
};

}  // namespace lentilcross
