#pragma once

#include <memory>
#include <vector>

#include "daemon_init.h"
#include "daemon_stats.h"
#include "lentilcross/admission.h"

namespace lentilcross {

/// One target on this host and the admission in front of it.
struct AdmittedTarget {
  LocalTarget settings;
  ServiceId service;
  std::unique_ptr<TargetAdmission> admission;
  /// The target said that it drains; it is not asked again before.
  Instant drains_until{};
  /// Registration of the target; see `Follow`.
  std::string registered_name;
  bool leaving = false;
};

/// The targets on this host. Runs on the thread `data`.
class LocalTargets {
 public:
  explicit LocalTargets(const std::vector<LocalTarget>& settings);

  std::size_t size() const { return targets_.size(); }
  AdmittedTarget& operator[](std::size_t index) { return targets_[index]; }
  /// Index of the target of the service with the least work for its limit;
  /// `size()` if the service has none here.
  std::size_t LeastLoaded(ServiceId service) const;
  bool HasQueue() const;
  void SetMaxQueueTime(Duration max_queue_time);
  /// Takes over what the targets of this host say of themselves in a registry.
  void Follow(const Configuration& configuration, HostId self);
  std::vector<TargetStatus> Status(Instant now) const;

 private:
  std::vector<AdmittedTarget> targets_;
};

}  // namespace lentilcross
