#include "lentilcross/call_latency.h"

#include <algorithm>
#include <cmath>

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

// Kinds of calls that are told apart at one service; the one that was called
// longest ago gives way.
constexpr std::size_t kMaxKinds = 64;
// One call moves the estimate by this share, or by more if the last one is
// longer ago. The upper bound keeps one slow call from hiding a target.
constexpr double kSmoothing = 0.1;
constexpr double kMostSmoothing = 0.5;
constexpr Seconds kSmoothingTime{2.0};
// A queue that was seen fills or empties within about a second.
constexpr Seconds kMemory{1.5};
// The time of the fastest target rises slowly, in case all became slower.
constexpr double kFastestRise = 0.002;

}  // namespace

std::size_t CallLatency::IndexOf(const CallKind& kind) const {
  const auto found = std::find_if(
      observed_.begin(), observed_.end(), [&](const Observed& entry) {
        return entry.route == kind.route && entry.importance == kind.importance;
      });
  return static_cast<std::size_t>(found - observed_.begin());
}

CallLatency::Observed& CallLatency::FindOrAdd(const CallKind& kind) {
  if (const std::size_t index = IndexOf(kind); index < observed_.size()) {
    return observed_[index];
  }
  if (observed_.size() < kMaxKinds) {
    observed_.emplace_back();
  } else {
    const auto oldest = std::min_element(
        observed_.begin(), observed_.end(),
        [](const Observed& a, const Observed& b) { return a.at < b.at; });
    std::swap(*oldest, observed_.back());
    observed_.back() = Observed();
  }
  observed_.back().route = kind.route;
  observed_.back().importance = kind.importance;
  return observed_.back();
}

void CallLatency::Record(const CallKind& kind, TargetId target,
                         Duration latency, Instant now) {
  Observed& observed = FindOrAdd(kind);
  observed.at = now;
  const double seconds = Seconds(latency).count();
  auto& estimates = observed.estimates;
  auto known = std::find_if(
      estimates.begin(), estimates.end(),
      [&](const Estimate& estimate) { return estimate.target == target; });
  if (known == estimates.end()) {
    known = estimates.insert(estimates.end(), {target, seconds, now});
  } else {
    const double share = std::clamp(Seconds(now - known->at) / kSmoothingTime,
                                    kSmoothing, kMostSmoothing);
    known->seconds += share * (seconds - known->seconds);
    known->at = now;
  }
  const bool faster =
      observed.fastest == 0 || known->seconds < observed.fastest;
  const double rise = kFastestRise * (known->seconds - observed.fastest);
  observed.fastest = faster ? known->seconds : observed.fastest + rise;
}

Duration CallLatency::ExpectedLatency(const CallKind& kind, TargetId target,
                                      Instant now) const {
  const std::size_t index = IndexOf(kind);
  if (index == observed_.size()) return {};
  const Observed& observed = observed_[index];
  double seconds = observed.fastest;
  for (const Estimate& estimate : observed.estimates) {
    if (estimate.target != target) continue;
    const double recent = std::exp(-(Seconds(now - estimate.at) / kMemory));
    seconds += recent * (estimate.seconds - seconds);
  }
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

void CallLatency::Forget(TargetId target) {
  for (Observed& observed : observed_) {
    auto& estimates = observed.estimates;
    estimates.erase(std::remove_if(estimates.begin(), estimates.end(),
                                   [&](const Estimate& estimate) {
                                     return estimate.target == target;
                                   }),
                    estimates.end());
  }
}

}  // namespace lentilcross
