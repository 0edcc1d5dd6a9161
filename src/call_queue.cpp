#include "call_queue.h"

#include <algorithm>
#include <cmath>

#include "lentilcross/shedding.h"

namespace lentilcross {
namespace {

// Shares are equal over this time. Longer lets an organisation that was idle
// take more than its share at once; shorter is noise at few calls per second.
constexpr double kShareSeconds = 4.0;
constexpr double kIdleUse = 0.01;
// Part of the time that a call had left on arrival for which it may wait while
// its organisation is below its share; the rest is for the services behind.
constexpr int kLongWaitDivisor = 4;

// Well below the range of a double.
constexpr double kLargestGrowth = 1e6;

Duration LongWait(const CallQueue::Waiting& call) {
  return (call.entry.deadline - call.arrived) / kLongWaitDivisor;
}

}  // namespace

double CallQueue::Growth(Instant now) const {
  const std::chrono::duration<double> elapsed = now - growth_start_;
  return std::exp(elapsed.count() / kShareSeconds);
}

void CallQueue::Rebase(Instant now) {
  const double growth = Growth(now);
  for (auto& [id, organisation] : organisations_) organisation.used /= growth;
  growth_start_ = now;
}

void CallQueue::BoundGrowth(Instant now) {
  if (Growth(now) > kLargestGrowth) Rebase(now);
}

void CallQueue::Push(const TargetAdmission::Entry& entry, Instant now) {
  BoundGrowth(now);
  Organisation& organisation = organisations_[entry.organisation];
  organisation.weight = std::max(entry.weight, 1e-6);
  const auto level = static_cast<std::size_t>(entry.importance);
  organisation.classes[level].push_back(
      {entry, RankOf(entry.importance, entry.request), now});
  ++class_sizes_[level];
  ++size_;
}

std::optional<CallQueue::Waiting> CallQueue::PopNext(bool newest_first) {
  std::size_t level = kImportanceCount;
  while (level > 0 && class_sizes_[level - 1] == 0) --level;
  if (level == 0) return std::nullopt;
  --level;
  Organisation* least = nullptr;
  double least_used = 0;
  for (auto& [id, organisation] : organisations_) {
    if (organisation.classes[level].empty()) continue;
    const double used = organisation.used / organisation.weight;
    if (least != nullptr && used >= least_used) continue;
    least = &organisation;
    least_used = used;
  }
  Class& calls = least->classes[level];
  const Waiting next = newest_first ? calls.back() : calls.front();
  if (newest_first) {
    calls.pop_back();
  } else {
    calls.pop_front();
  }
  --class_sizes_[level];
  --size_;
  return next;
}

std::optional<CallQueue::Waiting> CallQueue::PopLowest(Instant now) {
  std::size_t level = 0;
  while (level < kImportanceCount && class_sizes_[level] == 0) ++level;
  if (level == kImportanceCount) return std::nullopt;
  const double growth = Growth(now);
  Organisation* most = nullptr;
  double most_used = 0;
  for (auto& [id, organisation] : organisations_) {
    const Class& calls = organisation.classes[level];
    if (calls.empty()) continue;
    // Queued calls count too: they are the part that is not used yet.
    const double used =
        (organisation.used + growth * static_cast<double>(calls.size())) /
        organisation.weight;
    if (most != nullptr && used <= most_used) continue;
    most = &organisation;
    most_used = used;
  }
  Class& calls = most->classes[level];
  const auto lowest = std::min_element(
      calls.begin(), calls.end(),
      [](const Waiting& a, const Waiting& b) { return a.rank < b.rank; });
  const Waiting shed = *lowest;
  calls.erase(lowest);
  --class_sizes_[level];
  --size_;
  return shed;
}

// Highest use for its weight of an organisation.
double CallQueue::MostUsed() const {
  double most = 0;
  for (const auto& [id, organisation] : organisations_) {
    most = std::max(most, organisation.used / organisation.weight);
  }
  return most;
}

template <typename Expired>
void CallQueue::Extract(std::size_t level, Expired expired,
                        std::vector<Waiting>& out) {
  if (class_sizes_[level] == 0) return;
  for (auto& [id, organisation] : organisations_) {
    const Organisation& owner = organisation;
    Class& calls = organisation.classes[level];
    const auto removed = std::stable_partition(
        calls.begin(), calls.end(),
        [&](const Waiting& call) { return !expired(owner, call); });
    const auto count = static_cast<std::size_t>(calls.end() - removed);
    out.insert(out.end(), removed, calls.end());
    calls.erase(removed, calls.end());
    class_sizes_[level] -= count;
    size_ -= count;
  }
}

std::vector<CallQueue::Waiting> CallQueue::PopExpired(Instant now,
                                                      Duration needed,
                                                      Instant oldest) {
  std::vector<Waiting> expired;
  if (size_ == 0) return expired;
  bool lower_waits = false;
  const double most_used = MostUsed();
  for (std::size_t level = 0; level < kImportanceCount; ++level) {
    Extract(
        level,
        [&](const Organisation& organisation, const Waiting& call) {
          if (call.entry.deadline < now + needed) return true;
          if (lower_waits || call.arrived >= oldest) return false;
          const bool below_share =
              organisation.used / organisation.weight < most_used;
          return !below_share || now - call.arrived > LongWait(call);
        },
        expired);
    lower_waits = lower_waits || class_sizes_[level] > 0;
  }
  return expired;
}

bool CallQueue::Remove(std::uint64_t number) {
  for (auto& [id, organisation] : organisations_) {
    for (std::size_t level = 0; level < kImportanceCount; ++level) {
      Class& calls = organisation.classes[level];
      const auto found = std::find_if(
          calls.begin(), calls.end(),
          [&](const Waiting& call) { return call.entry.number == number; });
      if (found == calls.end()) continue;
      calls.erase(found);
      --class_sizes_[level];
      --size_;
      return true;
    }
  }
  return false;
}

void CallQueue::CountStart(OrganisationId id, double weight, Instant now) {
  BoundGrowth(now);
  const double growth = Growth(now);
  Organisation& organisation = organisations_[id];
  organisation.weight = std::max(weight, 1e-6);
  organisation.used += growth;
}

void CallQueue::Prune(Instant now) {
  Rebase(now);
  for (auto it = organisations_.begin(); it != organisations_.end();) {
    const auto& classes = it->second.classes;
    const bool empty =
        std::all_of(classes.begin(), classes.end(),
                    [](const Class& calls) { return calls.empty(); });
    const bool idle = empty && it->second.used < kIdleUse;
    it = idle ? organisations_.erase(it) : std::next(it);
  }
}

}  // namespace lentilcross
