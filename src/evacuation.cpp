#include "lentilcross/evacuation.h"

#include <algorithm>

#include "lentilcross/store_revision.h"

namespace lentilcross {

bool EvacuationTable::Record(const std::string& failure_domain, State state) {
  const auto known = states_.find(failure_domain);
  if (known == states_.end()) {
    if (states_.size() >= init_.max_domains) {
      ++stats_.table_full;
      return false;
    }
    states_.emplace(failure_domain, state);
    if (!state.active) return false;
    ++stats_.changes;
    return true;
  }
  if (state.revision <= known->second.revision) return false;
  const bool changed = known->second.active != state.active;
  known->second = state;
  missing_.erase(failure_domain);
  if (changed) ++stats_.changes;
  return changed;
}

bool EvacuationTable::EndMissing(const EvacuationNews& news, Instant now) {
  bool changed = false;
  for (const std::string& domain : active()) {
    const bool listed = std::any_of(
        news.evacuations.begin(), news.evacuations.end(),
        [&](const Evacuation& e) { return e.failure_domain == domain; });
    const std::uint64_t revision = states_[domain].revision;
    if (listed || news.revision <= revision) continue;
    if (EpochOf(news.revision) == EpochOf(revision)) {
      changed |= Record(domain, {news.revision, false});
      continue;
    }
    // The backup may be older than the evacuation. The operator writes it again
    // or, if it has ended, not.
    const Instant end = now + init_.restore_grace;
    if (missing_.emplace(domain, std::make_pair(news.revision, end)).second) {
      ++stats_.kept_after_restore;
    }
  }
  return changed;
}

bool EvacuationTable::OnPlatform(const EvacuationNews& news, Instant now) {
  bool changed = false;
  for (const Evacuation& evacuation : news.evacuations) {
    changed |= Record(evacuation.failure_domain,
                      {evacuation.revision, evacuation.active});
  }
  if (news.complete) changed |= EndMissing(news, now);
  return changed;
}

bool EvacuationTable::OnPeer(const std::vector<Evacuation>& evacuations) {
  bool changed = false;
  for (const Evacuation& evacuation : evacuations) {
    changed |= Record(evacuation.failure_domain,
                      {evacuation.revision, evacuation.active});
  }
  return changed;
}

bool EvacuationTable::Tick(Instant now) {
  bool changed = false;
  for (auto it = missing_.begin(); it != missing_.end();) {
    const auto& [domain, missing] = *it;
    const auto [revision, end] = missing;
    if (now < end) {
      ++it;
      continue;
    }
    const std::string ended = domain;
    it = missing_.erase(it);
    changed |= Record(ended, {revision, false});
  }
  return changed;
}

bool EvacuationTable::IsActive(const std::string& failure_domain) const {
  const auto known = states_.find(failure_domain);
  return known != states_.end() && known->second.active;
}

std::vector<Evacuation> EvacuationTable::entries() const {
  std::vector<Evacuation> all;
  for (const auto& [domain, state] : states_) {
    all.push_back({domain, state.revision, state.active});
  }
  return all;
}

std::vector<std::string> EvacuationTable::active() const {
  std::vector<std::string> domains;
  for (const auto& [domain, state] : states_) {
    if (state.active) domains.push_back(domain);
  }
  return domains;
}

}  // namespace lentilcross
