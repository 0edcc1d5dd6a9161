#include "call_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "lentilcross/shedding.h"

namespace lentilcross {
namespace {

// Time constant over which the shares of organisations are balanced. With a
// longer time, an organisation that was idle could take more than its share at
// once; a shorter one is too noisy at few calls per second.
constexpr double kUsageDecaySeconds = 4.0;
// An organisation below this usage and without queued calls is forgotten.
constexpr double kIdleUsage = 0.01;
// A call of an organisation below its share may wait for the time that it had
// left on arrival, divided by this. The rest is for the target and its onward
// calls.
constexpr int kMaxWaitDivisor = 4;
// Keeps usage far inside the range of a double.
constexpr double kMaxUsageScale = 1e6;

Duration MaxWaitBelowShare(const CallQueue::QueuedCall& call) {
  return (call.entry.deadline - call.arrived) / kMaxWaitDivisor;
}

}  // namespace

double CallQueue::UsageScale(Instant now) const {
  const std::chrono::duration<double> elapsed = now - scale_start_;
  return std::exp(elapsed.count() / kUsageDecaySeconds);
}

void CallQueue::ResetScale(Instant now) {
  const double scale = UsageScale(now);
  for (auto& [id, organisation] : organisations_) organisation.usage /= scale;
  scale_start_ = now;
}

void CallQueue::LimitScale(Instant now) {
  if (UsageScale(now) > kMaxUsageScale) ResetScale(now);
}

void CallQueue::Push(const TargetAdmission::Entry& entry, Instant now) {
  LimitScale(now);
  Organisation& organisation = organisations_[entry.organisation];
  organisation.weight = std::max(entry.weight, 1e-6);
  const auto importance = static_cast<std::size_t>(entry.importance);
  organisation.classes[importance].push_back(
      {entry, RankOf(entry.importance, entry.request), now});
  ++class_sizes_[importance];
  ++size_;
}

std::optional<CallQueue::QueuedCall> CallQueue::PopNext(bool newest_first) {
  std::size_t importance = kImportanceCount;
  while (importance > 0 && class_sizes_[importance - 1] == 0) --importance;
  if (importance == 0) return std::nullopt;
  --importance;
  Organisation* least = nullptr;
  double min_usage = 0;
  for (auto& [id, organisation] : organisations_) {
    if (organisation.classes[importance].empty()) continue;
    const double usage = organisation.usage / organisation.weight;
    if (least != nullptr && usage >= min_usage) continue;
    least = &organisation;
    min_usage = usage;
  }
  Class& calls = least->classes[importance];
  const QueuedCall next = newest_first ? calls.back() : calls.front();
  if (newest_first) {
    calls.pop_back();
  } else {
    calls.pop_front();
  }
  --class_sizes_[importance];
  --size_;
  return next;
}

std::optional<CallQueue::QueuedCall> CallQueue::PopLowest(Instant now) {
  std::size_t importance = 0;
  while (importance < kImportanceCount && class_sizes_[importance] == 0) {
    ++importance;
  }
  if (importance == kImportanceCount) return std::nullopt;
  const double scale = UsageScale(now);
  Organisation* most = nullptr;
  double max_usage = 0;
  for (auto& [id, organisation] : organisations_) {
    const Class& calls = organisation.classes[importance];
    if (calls.empty()) continue;
    // Count the queued calls as usage, too: they are about to become it.
    const double usage =
        (organisation.usage + scale * static_cast<double>(calls.size())) /
        organisation.weight;
    if (most != nullptr && usage <= max_usage) continue;
    most = &organisation;
    max_usage = usage;
  }
  Class& calls = most->classes[importance];
  const auto lowest = std::min_element(
      calls.begin(), calls.end(), [](const QueuedCall& a, const QueuedCall& b) {
        return std::make_pair(a.entry.pinned, a.rank) <
               std::make_pair(b.entry.pinned, b.rank);
      });
  const QueuedCall shed = *lowest;
  calls.erase(lowest);
  --class_sizes_[importance];
  --size_;
  return shed;
}

double CallQueue::MaxUsage() const {
  double most = 0;
  for (const auto& [id, organisation] : organisations_) {
    most = std::max(most, organisation.usage / organisation.weight);
  }
  return most;
}

template <typename Expired>
void CallQueue::Extract(std::size_t importance, Expired expired,
                        std::vector<QueuedCall>& out) {
  if (class_sizes_[importance] == 0) return;
  for (auto& [id, organisation] : organisations_) {
    const Organisation& owner = organisation;
    Class& calls = organisation.classes[importance];
    const auto removed = std::stable_partition(
        calls.begin(), calls.end(),
        [&](const QueuedCall& call) { return !expired(owner, call); });
    const auto count = static_cast<std::size_t>(calls.end() - removed);
    out.insert(out.end(), removed, calls.end());
    calls.erase(removed, calls.end());
    class_sizes_[importance] -= count;
    size_ -= count;
  }
}

std::vector<CallQueue::QueuedCall> CallQueue::PopExpired(Instant now,
                                                         Duration service_time,
                                                         Instant oldest) {
  std::vector<QueuedCall> expired;
  if (size_ == 0) return expired;
  // Calls that arrived before `oldest` stay while less important calls are
  // queued, which would start in their place. They also stay longer if their
  // organisation is below its share: more important calls leave only short
  // gaps, which the few calls of a small organisation would miss and the many
  // of a large one would fill.
  bool lower_queued = false;
  const double max_usage = MaxUsage();
  for (std::size_t importance = 0; importance < kImportanceCount;
       ++importance) {
    Extract(
        importance,
        [&](const Organisation& organisation, const QueuedCall& call) {
          if (call.entry.deadline < now + service_time) return true;
          if (lower_queued || call.arrived >= oldest) return false;
          const bool below_share =
              organisation.usage / organisation.weight < max_usage;
          return !below_share || now - call.arrived > MaxWaitBelowShare(call);
        },
        expired);
    lower_queued = lower_queued || class_sizes_[importance] > 0;
  }
  return expired;
}

bool CallQueue::Remove(std::uint64_t number) {
  for (auto& [id, organisation] : organisations_) {
    for (std::size_t importance = 0; importance < kImportanceCount;
         ++importance) {
      Class& calls = organisation.classes[importance];
      const auto found = std::find_if(
          calls.begin(), calls.end(),
          [&](const QueuedCall& call) { return call.entry.number == number; });
      if (found == calls.end()) continue;
      calls.erase(found);
      --class_sizes_[importance];
      --size_;
      return true;
    }
  }
  return false;
}

void CallQueue::CountStart(OrganisationId id, double weight, Instant now) {
  LimitScale(now);
  const double scale = UsageScale(now);
  Organisation& organisation = organisations_[id];
  organisation.weight = std::max(weight, 1e-6);
  organisation.usage += scale;
}

void CallQueue::Prune(Instant now) {
  ResetScale(now);
  for (auto it = organisations_.begin(); it != organisations_.end();) {
    const auto& classes = it->second.classes;
    const bool empty =
        std::all_of(classes.begin(), classes.end(),
                    [](const Class& calls) { return calls.empty(); });
    const bool idle = empty && it->second.usage < kIdleUsage;
    it = idle ? organisations_.erase(it) : std::next(it);
  }
}

}  // namespace lentilcross
