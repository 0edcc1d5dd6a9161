#include "lentilcross/call_latency.h"

#include <algorithm>
#include <cmath>

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

// Kinds of calls per service; the least recently called one is replaced.
constexpr std::size_t kMaxKinds = 64;
// Smoothing factor of the estimate. It grows with the time since the last call,
// up to the maximum, so that one slow call does not keep calls away from a
// target.
constexpr double kMinSmoothing = 0.1;
constexpr double kMaxSmoothing = 0.5;
constexpr Seconds kSmoothingTime{2.0};
// Time constant with which an estimate that is not updated loses its weight: a
// queue at a target fills or empties within about a second.
constexpr Seconds kEstimateDecayTime{1.5};
// The latency of the fastest target rises slowly in case all targets become
// slower.
constexpr double kFastestSmoothing = 0.002;

}  // namespace

std::size_t CallLatency::IndexOf(const CallKind& kind) const {
  const auto found = std::find_if(
      kinds_.begin(), kinds_.end(), [&](const KindLatencies& entry) {
        return entry.route == kind.route && entry.importance == kind.importance;
      });
  return static_cast<std::size_t>(found - kinds_.begin());
}

CallLatency::KindLatencies& CallLatency::FindOrAdd(const CallKind& kind) {
  if (const std::size_t index = IndexOf(kind); index < kinds_.size()) {
    return kinds_[index];
  }
  if (kinds_.size() < kMaxKinds) {
    kinds_.emplace_back();
  } else {
    const auto oldest =
        std::min_element(kinds_.begin(), kinds_.end(),
                         [](const KindLatencies& a, const KindLatencies& b) {
                           return a.updated_at < b.updated_at;
                         });
    std::swap(*oldest, kinds_.back());
    kinds_.back() = KindLatencies();
  }
  kinds_.back().route = kind.route;
  kinds_.back().importance = kind.importance;
  return kinds_.back();
}

void CallLatency::Record(const CallKind& kind, TargetId target,
                         Duration latency, Instant now) {
  KindLatencies& latencies = FindOrAdd(kind);
  latencies.updated_at = now;
  const double seconds = Seconds(latency).count();
  auto& estimates = latencies.estimates;
  auto known = std::find_if(
      estimates.begin(), estimates.end(),
      [&](const Estimate& estimate) { return estimate.target == target; });
  if (known == estimates.end()) {
    known = estimates.insert(estimates.end(), {target, seconds, now});
  } else {
    const double smoothing =
        std::clamp(Seconds(now - known->updated_at) / kSmoothingTime,
                   kMinSmoothing, kMaxSmoothing);
    known->seconds += smoothing * (seconds - known->seconds);
    known->updated_at = now;
  }
  const bool faster =
      latencies.fastest == 0 || known->seconds < latencies.fastest;
  const double increase =
      kFastestSmoothing * (known->seconds - latencies.fastest);
  latencies.fastest = faster ? known->seconds : latencies.fastest + increase;
}

Duration CallLatency::ExpectedLatency(const CallKind& kind, TargetId target,
                                      Instant now) const {
  const std::size_t index = IndexOf(kind);
  if (index == kinds_.size()) return {};
  const KindLatencies& latencies = kinds_[index];
  // An estimate without recent calls moves towards the latency of the fastest
  // target, so that its target gets calls again.
  double seconds = latencies.fastest;
  for (const Estimate& estimate : latencies.estimates) {
    if (estimate.target != target) continue;
    const double weight =
        std::exp(-(Seconds(now - estimate.updated_at) / kEstimateDecayTime));
    seconds += weight * (estimate.seconds - seconds);
  }
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

void CallLatency::Forget(TargetId target) {
  for (KindLatencies& latencies : kinds_) {
    auto& estimates = latencies.estimates;
    estimates.erase(std::remove_if(estimates.begin(), estimates.end(),
                                   [&](const Estimate& estimate) {
                                     return estimate.target == target;
                                   }),
                    estimates.end());
  }
}

}  // namespace lentilcross
