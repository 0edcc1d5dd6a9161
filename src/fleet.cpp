#include "lentilcross/fleet.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lentilcross {
namespace {

/// Lapsed hosts from which on those that peers tell of are left out.
constexpr std::size_t kMaxToldHosts = 4096;
/// Targets that left and are remembered for a restore of the registry.
constexpr std::size_t kMaxDeparted = 4096;

bool IsConfigured(const RegisteredTarget& target, const Configuration& config) {
  return config.services.count(ServiceId::FromName(target.service)) != 0 &&
         config.failure_domains.count(
             FailureDomainId::FromName(target.failure_domain)) != 0;
}

/// The target that was started last, by host. An earlier one may stay in the
/// registry for a while after its address was reused.
std::map<std::string, const RegisteredTarget*> NewestTargetByHost(
    const Fleet& fleet, const Configuration& configuration) {
  std::map<std::string, const RegisteredTarget*> newest;
  for (const auto& [name, target] : fleet.targets) {
    // A target of an unknown service or domain must not hide a valid one.
    if (!IsConfigured(target, configuration)) continue;
    const RegisteredTarget*& kept = newest[target.host];
    if (kept == nullptr || kept->started_ms <= target.started_ms) {
      kept = &target;
    }
  }
  return newest;
}

/// Returns true if any host was erased.
template <typename Predicate>
bool EraseHosts(std::map<std::string, LapsedHost>& hosts,
                Predicate should_erase) {
  const std::size_t before = hosts.size();
  for (auto it = hosts.begin(); it != hosts.end();) {
    it = should_erase(it->first, it->second) ? hosts.erase(it) : std::next(it);
  }
  return hosts.size() != before;
}

void AddLapsedHosts(const Fleet& fleet, Configuration& merged) {
  for (const auto& [name, lapsed] : fleet.lapsed_hosts) {
    const auto domain = FailureDomainId::FromName(lapsed.failure_domain);
    if (merged.failure_domains.count(domain) == 0) continue;
    const HostId host = HostId::FromName(name);
    HostEntry entry{host, name, domain, lapsed.peer, /*lapsed=*/true};
    merged.hosts.emplace(host, std::move(entry));
  }
}

}  // namespace

std::shared_ptr<const Configuration> MergeFleet(
    const Configuration& configuration, const Fleet& fleet,
    const std::vector<std::string>& evacuated) {
  auto merged = std::make_shared<Configuration>(configuration);
  for (const std::string& name : evacuated) {
    const auto domain =
        merged->failure_domains.find(FailureDomainId::FromName(name));
    if (domain != merged->failure_domains.end()) {
      domain->second.evacuated = true;
    }
  }
  for (const auto& [host_name, newest] :
       NewestTargetByHost(fleet, configuration)) {
    const RegisteredTarget& target = *newest;
    const std::string& name = target.name;
    const auto service =
        merged->services.find(ServiceId::FromName(target.service));
    const auto domain = FailureDomainId::FromName(target.failure_domain);
    const HostId host = HostId::FromName(target.host);
    merged->hosts.emplace(host,
                          HostEntry{host, target.host, domain, target.peer});
    TargetEntry entry;
    entry.id = TargetId::FromName(name);
    entry.name = name;
    entry.host = host;
    entry.slots = target.slots;
    entry.draining = target.draining;
    entry.cold_until = target.cold_until;
    service->second.targets.push_back(std::move(entry));
  }
  AddLapsedHosts(fleet, *merged);
  return merged;
}

bool FleetTracker::InGrace(Instant now) const {
  return lost_ || now < grace_until_;
}

bool FleetTracker::OnSnapshot(const Fleet& fleet, Instant now) {
  if (known_ && fleet.revision < fleet_.revision) return false;
  std::vector<std::string> removed;
  for (const auto& [name, target] : fleet_.targets) {
    if (fleet.targets.count(name) == 0) removed.push_back(name);
  }
  bool changed = !known_;
  for (auto it = withheld_.begin(); it != withheld_.end();) {
    const bool listed = fleet.targets.count(it->first) != 0;
    it = listed ? std::next(it) : withheld_.erase(it);
  }
  for (const auto& [name, target] : fleet.targets) {
    if (IsOutdated(target, now)) {
      if (withheld_.insert_or_assign(name, target).second) ++stats_.withheld;
    } else {
      withheld_.erase(name);
      changed |= Add(target, now);
    }
  }
  for (const std::string& name : removed) changed |= Remove(name, now);
  fleet_.revision = fleet.revision;
  known_ = true;
  return changed;
}

bool FleetTracker::OnRegistered(RegisteredTarget target, std::uint64_t revision,
                                Instant now) {
  fleet_.revision = std::max(fleet_.revision, revision);
  withheld_.erase(target.name);
  return Add(std::move(target), now);
}

bool FleetTracker::Add(RegisteredTarget target, Instant now) {
  lapsed_.erase(target.name);
  departed_.erase(target.name);
  fleet_.lapsed_hosts.erase(target.host);
  const auto [it, added] = fleet_.targets.try_emplace(target.name);
  stats_.added += added ? 1 : 0;
  const RegisteredTarget& old = it->second;
  const bool turned_cold = target.cold_until > now && old.cold_until <= now;
  const bool same = !added && !turned_cold && old.service == target.service &&
                    old.host == target.host && old.slots == target.slots &&
                    old.failure_domain == target.failure_domain &&
                    old.peer == target.peer && old.draining == target.draining;
  it->second = std::move(target);
  return !same;
}

bool FleetTracker::OnRemoved(const std::string& name, std::uint64_t revision,
                             Instant now) {
  fleet_.revision = std::max(fleet_.revision, revision);
  withheld_.erase(name);
  return Remove(name, now);
}

bool FleetTracker::Remove(const std::string& name, Instant now) {
  const auto it = fleet_.targets.find(name);
  if (it == fleet_.targets.end()) return false;
  // A draining target announced its shutdown, so it gets no grace period.
  if (InGrace(now) && !it->second.draining) {
    if (lapsed_.emplace(name, grace_until_).second) ++stats_.lapsed;
    return false;
  }
  if (!it->second.draining) RetainHost(it->second, now);
  if (departed_.size() < kMaxDeparted) {
    departed_[name] = {it->second.started_ms, now + init_.departed_memory};
  }
  fleet_.targets.erase(it);
  lapsed_.erase(name);
  ++stats_.removed;
  return true;
}

// A host that cannot reach the registry still serves callers and lends quota.
// Removing it would move quotas between hosts, and quotas are unused during
// such a handover.
void FleetTracker::RetainHost(const RegisteredTarget& lapsed, Instant now) {
  const bool has_other = std::any_of(
      fleet_.targets.begin(), fleet_.targets.end(), [&](const auto& entry) {
        return entry.second.host == lapsed.host && entry.first != lapsed.name;
      });
  if (has_other) return;
  fleet_.lapsed_hosts[lapsed.host] = {lapsed.failure_domain, lapsed.peer,
                                      now + init_.host_grace};
}

bool FleetTracker::AddLapsedHost(const std::string& host, LapsedHost lapsed,
                                 Instant now) {
  if (fleet_.lapsed_hosts.size() >= kMaxToldHosts) return false;
  const bool is_registered =
      std::any_of(fleet_.targets.begin(), fleet_.targets.end(),
                  [&](const auto& entry) { return entry.second.host == host; });
  if (is_registered) return false;
  lapsed.until = std::min(lapsed.until, now + init_.host_grace);
  return fleet_.lapsed_hosts.emplace(host, std::move(lapsed)).second;
}

bool FleetTracker::RemoveEndedHosts(
    const std::function<bool(HostId)>& has_ended) {
  return EraseHosts(fleet_.lapsed_hosts,
                    [&](const std::string& name, const LapsedHost& /*host*/) {
                      return has_ended(HostId::FromName(name));
                    });
}

void FleetTracker::OnRegistryLost(Instant /*now*/) {
  if (!lost_) ++stats_.outages;
  lost_ = true;
}

void FleetTracker::OnRegistryReachable(Instant now) {
  if (!lost_) return;
  lost_ = false;
  grace_until_ = now + init_.lapse_grace;
  for (auto& [name, until] : lapsed_) until = grace_until_;
}

void FleetTracker::OnRegistryRestored(Instant now) {
  ++stats_.restores;
  restored_until_ = now + init_.restore_grace;
  grace_until_ = std::max(grace_until_, now + init_.lapse_grace);
}

bool FleetTracker::IsOutdated(const RegisteredTarget& restored,
                              Instant now) const {
  if (now >= restored_until_) return false;
  const auto known = fleet_.targets.find(restored.name);
  if (known != fleet_.targets.end()) {
    return known->second.draining && !restored.draining &&
           known->second.started_ms == restored.started_ms;
  }
  const auto departed = departed_.find(restored.name);
  return departed != departed_.end() &&
         departed->second.started_ms == restored.started_ms;
}

bool FleetTracker::EndRestore(Instant now) {
  bool changed = false;
  for (auto& [name, target] : std::exchange(withheld_, {})) {
    changed |= Add(std::move(target), now);
  }
  return changed;
}

bool FleetTracker::Tick(Instant now) {
  for (auto it = departed_.begin(); it != departed_.end();) {
    it = it->second.until <= now ? departed_.erase(it) : std::next(it);
  }
  const bool removed_hosts =
      EraseHosts(fleet_.lapsed_hosts,
                 [now](const std::string& /*name*/, const LapsedHost& host) {
                   return host.until <= now;
                 });
  const bool restored =
      now >= restored_until_ && !withheld_.empty() && EndRestore(now);
  const bool changed = removed_hosts || restored;
  if (InGrace(now) || lapsed_.empty()) return changed;
  const auto lapsed = std::exchange(lapsed_, {});
  for (const auto& [name, until] : lapsed) Remove(name, now);
  return true;
}

}  // namespace lentilcross
