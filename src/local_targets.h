#pragma once

#include <memory>
#include <vector>

#include "daemon_init.h"
#include "daemon_stats.h"
#include "lentilcross/admission.h"
#include "lentilcross/cold_start.h"

namespace lentilcross {

/// A target on this host, with its admission control and registration.
struct LocalTargetState {
  LocalTarget settings;
  ServiceId service;
  std::unique_ptr<TargetAdmission> admission;
  /// A target whose response reported draining gets no call before this time.
  Instant drain_probe_at{};
  /// Name of the target in the registry; empty until it was registered.
  std::string registered_name;
  /// The registry marks the target as draining or no longer lists it.
  bool draining_in_registry = false;
  bool evacuated = false;  ///< With the failure domain of this host.
  /// The target says how long its work takes, so that its speed varies.
  bool states_pace = false;
  std::uint64_t handed_back = 0;  ///< Calls, for want of room.
  ColdStartLimit cold;
  std::string health_path;  ///< Empty: the target cannot be asked.
  /// Handle of a health check in progress, or 0.
  std::uint64_t health_check = 0;
  Instant next_health_check{};
  std::uint64_t health_checks = 0;
};

/// The targets on this host. Runs on the thread `data`.
class LocalTargets {
 public:
  explicit LocalTargets(const std::vector<LocalTarget>& settings);

  std::size_t size() const { return targets_.size(); }
  LocalTargetState& operator[](std::size_t index) { return targets_[index]; }
  /// Returns the index of the service's target with the lowest ratio of calls
  /// in flight and queued to its concurrency limit, or `size()` if the service
  /// has no target here.
  std::size_t LeastLoaded(ServiceId service) const;
  bool HasQueuedCalls() const;
  void SetMaxQueueTime(Duration max_queue_time);
  /// Updates names, slots, draining and cold starts of the targets from their
  /// registrations in the configuration. `self` is this host, in `domain`.
  void ApplyRegistrations(const Configuration& configuration, HostId self,
                          FailureDomainId domain, Instant now);
  std::vector<TargetStatus> Status(Instant now) const;

 private:
  static void SetEvacuated(LocalTargetState& target, bool evacuated,
                           Instant now);

  std::vector<LocalTargetState> targets_;
};

}  // namespace lentilcross
