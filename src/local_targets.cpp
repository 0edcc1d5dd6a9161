#include "local_targets.h"

#include <algorithm>
#include <utility>

namespace lentilcross {

LocalTargets::LocalTargets(const std::vector<LocalTarget>& settings) {
  for (const LocalTarget& local : settings) {
    LocalTargetState target;
    target.settings = local;
    target.service = ServiceId::FromName(local.service);
    target.admission =
        std::make_unique<TargetAdmission>(TargetAdmission::Init{});
    targets_.push_back(std::move(target));
  }
}

std::size_t LocalTargets::LeastLoaded(ServiceId service) const {
  std::size_t best = targets_.size();
  double best_load = 0;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].service != service) continue;
    const TargetAdmission& admission = *targets_[i].admission;
    const double calls =
        admission.in_flight() + static_cast<double>(admission.queued());
    const double load = calls / std::max(admission.limit(), 1);
    if (best == targets_.size() || load < best_load) {
      best = i;
      best_load = load;
    }
  }
  return best;
}

bool LocalTargets::HasQueuedCalls() const {
  return std::any_of(targets_.begin(), targets_.end(),
                     [](const LocalTargetState& target) {
                       return target.admission->queued() > 0;
                     });
}

void LocalTargets::SetMaxQueueTime(Duration max_queue_time) {
  for (const LocalTargetState& target : targets_) {
    target.admission->SetMaxQueueTime(max_queue_time);
  }
}

void LocalTargets::SetEvacuated(LocalTargetState& target, bool evacuated,
                                Instant now) {
  // Targets may turn cold while they get no work.
  if (target.evacuated && !evacuated) target.cold.OnDoubt(now);
  target.evacuated = evacuated;
}

void LocalTargets::ApplyRegistrations(const Configuration& configuration,
                                      HostId self, FailureDomainId domain,
                                      Instant now) {
  const auto own_domain = configuration.failure_domains.find(domain);
  const bool evacuated = own_domain != configuration.failure_domains.end() &&
                         own_domain->second.evacuated;
  for (LocalTargetState& target : targets_) {
    SetEvacuated(target, evacuated, now);
    const auto service = configuration.services.find(target.service);
    if (service == configuration.services.end()) continue;
    target.cold.Configure(service->second.cold_rate, service->second.cold_time);
    target.health_path = service->second.health_path;
    const auto& entries = service->second.targets;
    const auto entry =
        std::find_if(entries.begin(), entries.end(),
                     [self](const TargetEntry& e) { return e.host == self; });
    if (entry == entries.end()) {
      // A registration that has disappeared means that the target was removed.
      target.draining_in_registry = !target.registered_name.empty();
      continue;
    }
    // A target that is new, or new to this process, may have just started.
    if (target.registered_name != entry->name) target.cold.OnDoubt(now);
    target.cold.OnRegistration(entry->cold_until - now, now);
    target.registered_name = entry->name;
    target.draining_in_registry = entry->draining;
    target.admission->SetSlots(entry->slots);
  }
}

std::vector<TargetStatus> LocalTargets::Status(Instant now) const {
  std::vector<TargetStatus> list;
  for (const LocalTargetState& target : targets_) {
    TargetStatus status;
    status.name = target.settings.name;
    status.service = target.settings.service;
    status.limit = target.admission->limit();
    status.in_flight = target.admission->in_flight();
    status.queued = target.admission->queued();
    status.level = target.admission->level(OrganisationId(), now);
    status.admission = target.admission->stats();
    status.cold = target.cold.IsLimited(now);
    status.evacuated = target.evacuated;
    status.cold_start = target.cold.stats();
    status.health_checks = target.health_checks;
    status.handed_back = target.handed_back;
    list.push_back(std::move(status));
  }
  return list;
}

}  // namespace lentilcross
