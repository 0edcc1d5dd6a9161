#include "level_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

#include "lentilcross/shedding.h"

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds kWindow{0.05};
// A window that lasts longer, for lack of events, says nothing about the
// target.
constexpr Seconds kStaleAfter{0.5};
constexpr double kHashCount = static_cast<double>(1U << kRankHashBits);
// Levels admit slightly more than the measured capacity: an idle slot loses
// goodput, while a call that is shed here wastes only the work done before it.
constexpr double kCapacityMargin = 1.05;
// Growth of the capacity per window while the target is idle.
constexpr double kCapacityGrowth = 1.1;
// Fraction of the starts of a window from which an importance counts as
// started: single calls start in short gaps.
constexpr double kMinStartShare = 0.1;
// Fraction of the events of a window from which the target counts as idle:
// short gaps are normal at full load.
constexpr double kMinIdleShare = 0.5;
// A capacity above this multiple of the demand is discarded.
constexpr double kMaxCapacityRatio = 1.5;
constexpr double kSmoothing = 0.3;
// Levels admit at least this fraction of the lowest importance that starts
// here. Demand cannot be measured if a smaller fraction of it is admitted.
constexpr double kMinAdmittedShare = 0.02;
// Capacity is averaged over this many calls of the target, and demand over this
// many calls of the organisation, within bounds. With fewer, the level of a
// small organisation is too noisy; with more, it follows too slowly.
constexpr double kAveragedCalls = 300;
constexpr double kMinAveragingSeconds = 0.15;
constexpr double kMaxAveragingSeconds = 2;
// Time constant with which demand decays that cannot be measured because almost
// all of it is refused at entry. With a shorter time, the estimate and the
// level fall during a long overload until a burst raises them again.
constexpr double kHiddenDemandSeconds = 30;
constexpr int kBisectionSteps = 30;

std::uint32_t LevelAt(int importance, double refused_share) {
  const double hash = std::clamp(refused_share, 0.0, 1.0) * (kHashCount - 1);
  return (static_cast<std::uint32_t>(importance) << kRankHashBits) |
         static_cast<std::uint32_t>(hash);
}

// Fraction of the requests of one importance that rank at or above a level.
double AdmittedShare(int importance, std::uint32_t level) {
  const int at = static_cast<int>(level >> kRankHashBits);
  if (at != importance) return at < importance ? 1 : 0;
  const std::uint32_t hash = level & ((1U << kRankHashBits) - 1);
  return 1 - static_cast<double>(hash) / kHashCount;
}

}  // namespace

void LevelEstimator::CountArrival(OrganisationId id, double weight,
                                  Importance importance, std::uint32_t rank) {
  Organisation& organisation = organisations_[id];
  organisation.weight = std::max(weight, 1e-6);
  Demand& demand = organisation.demands[static_cast<std::size_t>(importance)];
  ++demand.arrivals;
  if (rank >= organisation.highest_recent_level) ++demand.above_levels;
}

void LevelEstimator::CountStart(Importance importance) {
  ++starts_[static_cast<std::size_t>(importance)];
}

void LevelEstimator::Update(double sustained_rate, Instant now) {
  const Seconds elapsed = now - window_start_;
  if (elapsed < kWindow) return;
  if (elapsed > kStaleAfter) {
    organisations_.clear();
    capacity_ = 0;
    default_level_ = 0;
    StartWindow(now);
    return;
  }
  lowest_started_[next_started_] = LowestStartedInWindow();
  next_started_ = (next_started_ + 1) % kRecentStarts;
  EstimateCapacity(elapsed.count(), sustained_rate);
  for (auto& [id, organisation] : organisations_) {
    EstimateDemand(organisation, elapsed.count());
  }
  ComputeLevels();
  RecordLevels();
  StartWindow(now);
}

void LevelEstimator::EstimateCapacity(double seconds, double sustained_rate) {
  const int starts = std::accumulate(starts_.begin(), starts_.end(), 0);
  const double rate = starts / seconds;
  start_rate_ += kSmoothing * (rate - start_rate_);
  const bool idle = idle_events_ > kMinIdleShare * events_;
  if (shed_ > 0 && !idle) {
    const double estimate = kCapacityMargin * rate;
    const double averaging_time =
        std::clamp(kAveragedCalls / std::max(rate, 1.0), kMinAveragingSeconds,
                   kMaxAveragingSeconds);
    const double weight =
        capacity_ == 0 ? 1 : 1 - std::exp(-seconds / averaging_time);
    capacity_ += weight * (estimate - capacity_);
  } else if (idle && capacity_ > 0) {
    capacity_ = std::max(capacity_ * kCapacityGrowth, sustained_rate);
  }
  // A capacity far above the demand limits nothing and would take long to come
  // down again.
  if (capacity_ > kMaxCapacityRatio * TotalDemand()) capacity_ = 0;
}

double LevelEstimator::TotalDemand() const {
  double total = 0;
  for (const auto& [id, organisation] : organisations_) {
    for (const Demand& demand : organisation.demands) total += demand.rate;
  }
  return total;
}

void LevelEstimator::EstimateDemand(Organisation& organisation,
                                    double seconds) {
  double total = 0;
  for (const Demand& demand : organisation.demands) total += demand.rate;
  const double averaging_time =
      std::clamp(kAveragedCalls / std::max(total, 1.0), kMinAveragingSeconds,
                 kMaxAveragingSeconds);
  const double decay = std::exp(-seconds / averaging_time);
  const double hidden_decay = std::exp(-seconds / kHiddenDemandSeconds);
  for (int i = 0; i < kImportanceCount; ++i) {
    Demand& demand = organisation.demands[static_cast<std::size_t>(i)];
    const double admitted = AdmittedShare(i, organisation.highest_recent_level);
    // If gates refuse almost all of the demand, the arrivals are only a lower
    // bound. Use the last estimate, which decays slowly.
    const bool hidden = admitted < kMinAdmittedShare;
    demand.calls =
        demand.calls * decay + (hidden ? demand.arrivals : demand.above_levels);
    demand.exposed_seconds =
        demand.exposed_seconds * decay + seconds * (hidden ? 1 : admitted);
    const double measured = demand.calls / demand.exposed_seconds;
    demand.rate =
        hidden ? std::max(measured, demand.rate * hidden_decay) : measured;
  }
}

int LevelEstimator::FindMarginalImportance(double& remaining) const {
  remaining = capacity_;
  for (int i = kImportanceCount - 1; i >= 0; --i) {
    double demand = 0;
    for (const auto& [id, organisation] : organisations_) {
      demand += organisation.demands[static_cast<std::size_t>(i)].rate;
    }
    if (demand > remaining) return i;
    remaining -= demand;
  }
  return -1;
}

double LevelEstimator::AssignShares(int marginal, double fill) {
  double sum = 0;
  for (auto& [id, organisation] : organisations_) {
    double higher = 0;
    for (int i = marginal + 1; i < kImportanceCount; ++i) {
      higher += organisation.demands[static_cast<std::size_t>(i)].rate;
    }
    const double demand =
        organisation.demands[static_cast<std::size_t>(marginal)].rate;
    organisation.share =
        std::clamp(fill * organisation.weight - higher, 0.0, demand);
    sum += organisation.share;
  }
  return sum;
}

void LevelEstimator::ComputeLevels() {
  double remaining = 0;
  const int marginal = capacity_ > 0 ? FindMarginalImportance(remaining) : -1;
  // Never refuse an importance above the lowest one that currently starts here,
  // even if a wrong estimate demands it.
  const int lowest = LowestStarted();
  const std::uint32_t highest = LevelAt(lowest, 1 - kMinAdmittedShare);
  default_level_ = marginal < 0 ? 0 : std::min(LevelAt(marginal, 0), highest);
  if (marginal < 0) {
    for (auto& [id, organisation] : organisations_) organisation.level = 0;
    return;
  }
  // Bisects for the fill level at which the shares use the remaining capacity.
  double low = 0;
  double high = 1;
  while (AssignShares(marginal, high) < remaining && high < 1e12) high *= 2;
  for (int step = 0; step < kBisectionSteps; ++step) {
    const double fill = (low + high) / 2;
    (AssignShares(marginal, fill) < remaining ? low : high) = fill;
  }
  AssignShares(marginal, high);
  for (auto& [id, organisation] : organisations_) {
    const double demand =
        organisation.demands[static_cast<std::size_t>(marginal)].rate;
    const double refused = demand > 0 ? 1 - organisation.share / demand : 0;
    organisation.level = std::min(LevelAt(marginal, refused), highest);
  }
}

int LevelEstimator::LowestStartedInWindow() const {
  const int total = std::accumulate(starts_.begin(), starts_.end(), 0);
  int sum = 0;
  for (int i = 0; i < kImportanceCount; ++i) {
    sum += starts_[static_cast<std::size_t>(i)];
    if (sum > kMinStartShare * total) return i;
  }
  return kImportanceCount;
}

int LevelEstimator::LowestStarted() const {
  const int lowest =
      *std::min_element(lowest_started_.begin(), lowest_started_.end());
  return std::min(lowest, kImportanceCount - 1);
}

void LevelEstimator::RecordLevels() {
  for (auto& [id, organisation] : organisations_) {
    organisation.recent_levels[next_recent_] = organisation.level;
    organisation.highest_recent_level = *std::max_element(
        organisation.recent_levels.begin(), organisation.recent_levels.end());
  }
  next_recent_ = (next_recent_ + 1) % kRecentLevels;
}

void LevelEstimator::StartWindow(Instant now) {
  window_start_ = now;
  starts_.fill(0);
  shed_ = 0;
  events_ = 0;
  idle_events_ = 0;
  for (auto& [id, organisation] : organisations_) {
    for (Demand& demand : organisation.demands)
      demand.arrivals = demand.above_levels = 0;
  }
}

std::uint32_t LevelEstimator::level(OrganisationId id, Instant now) const {
  if (now - window_start_ > kStaleAfter) return 0;
  const auto found = organisations_.find(id);
  return found == organisations_.end() ? default_level_ : found->second.level;
}

}  // namespace lentilcross
