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
// Without events for this long the window says nothing about the target.
constexpr Seconds kStale{0.5};
constexpr double kHashes = static_cast<double>(1U << kRankHashBits);
// Gates let slightly more through than the measured capacity: an idle slot is
// lost goodput, a call that is shed here cost only the work before it.
constexpr double kSurplus = 1.05;
constexpr double kGrowth = 1.1;
constexpr double kFarAbove = 1.5;
constexpr double kSmoothing = 0.3;
constexpr double kFewestKept = 0.02;
// Demand is averaged over this many calls of the organisation, within bounds:
// fewer make the level of a small organisation noise, more are slow to follow.
constexpr double kSamples = 300;
constexpr double kShortestMemory = 0.15;
constexpr double kLongestMemory = 2;
constexpr int kFillSteps = 30;

std::uint32_t LevelAt(int importance, double refused_share) {
  const double hash = std::clamp(refused_share, 0.0, 1.0) * (kHashes - 1);
  return (static_cast<std::uint32_t>(importance) << kRankHashBits) |
         static_cast<std::uint32_t>(hash);
}

// Part of the requests of one importance that rank at or above a level.
double KeptShare(int importance, std::uint32_t level) {
  const int at = static_cast<int>(level >> kRankHashBits);
  if (at != importance) return at < importance ? 1 : 0;
  const std::uint32_t hash = level & ((1U << kRankHashBits) - 1);
  return 1 - static_cast<double>(hash) / kHashes;
}

}  // namespace

void LevelEstimator::CountArrival(OrganisationId id, double weight,
                                  Importance importance, std::uint32_t rank) {
  Organisation& organisation = organisations_[id];
  organisation.weight = std::max(weight, 1e-6);
  Demand& demand = organisation.demands[static_cast<std::size_t>(importance)];
  ++demand.seen;
  if (rank >= organisation.highest_recent) ++demand.unshed;
}

void LevelEstimator::CountStart(Importance importance) {
  ++starts_[static_cast<std::size_t>(importance)];
}

void LevelEstimator::Update(double ceiling, Instant now) {
  const Seconds elapsed = now - window_start_;
  if (elapsed < kWindow) return;
  if (elapsed > kStale) {
    organisations_.clear();
    capacity_ = 0;
    base_level_ = 0;
    StartWindow(now);
    return;
  }
  int lowest = 0;
  while (lowest < kImportanceCount &&
         starts_[static_cast<std::size_t>(lowest)] == 0) {
    ++lowest;
  }
  lowest_started_[next_started_] = lowest;
  next_started_ = (next_started_ + 1) % kRecentStarts;
  EstimateCapacity(elapsed.count(), ceiling);
  for (auto& [id, organisation] : organisations_) {
    EstimateDemand(organisation, elapsed.count());
  }
  ComputeLevels();
  Remember();
  StartWindow(now);
}

void LevelEstimator::EstimateCapacity(double seconds, double ceiling) {
  const int starts = std::accumulate(starts_.begin(), starts_.end(), 0);
  const double rate = starts / seconds;
  start_rate_ += kSmoothing * (rate - start_rate_);
  if (shed_ > 0 && !idle_) {
    const double sustained = kSurplus * rate;
    const double memory = std::clamp(kSamples / std::max(rate, 1.0),
                                     kShortestMemory, kLongestMemory);
    const double weight = capacity_ == 0 ? 1 : 1 - std::exp(-seconds / memory);
    capacity_ += weight * (sustained - capacity_);
  } else if (idle_ && capacity_ > 0) {
    capacity_ = std::max(capacity_ * kGrowth, ceiling);
  }
  // Far above the demand it limits nothing, and coming back down takes long.
  if (capacity_ > kFarAbove * TotalDemand()) capacity_ = 0;
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
  const double memory = std::clamp(kSamples / std::max(total, 1.0),
                                   kShortestMemory, kLongestMemory);
  const double decay = std::exp(-seconds / memory);
  const double aging = std::exp(-seconds / kLongestMemory);
  for (int i = 0; i < kImportanceCount; ++i) {
    Demand& demand = organisation.demands[static_cast<std::size_t>(i)];
    const double kept = KeptShare(i, organisation.highest_recent);
    // Where gates refuse most of it, what arrives is only a lower bound, and
    // the last estimate ages.
    const bool hidden = kept < kFewestKept;
    demand.calls =
        demand.calls * decay + (hidden ? demand.seen : demand.unshed);
    demand.exposure = demand.exposure * decay + seconds * (hidden ? 1 : kept);
    const double measured = demand.calls / demand.exposure;
    demand.rate = hidden ? std::max(measured, demand.rate * aging) : measured;
  }
}

int LevelEstimator::FindMarginal(double& remaining) const {
  remaining = capacity_;
  for (int i = kImportanceCount - 1; i >= 0; --i) {
    double wanted = 0;
    for (const auto& [id, organisation] : organisations_) {
      wanted += organisation.demands[static_cast<std::size_t>(i)].rate;
    }
    if (wanted > remaining) return i;
    remaining -= wanted;
  }
  return -1;
}

// Gives each organisation its share when `fill` calls per second and weight are
// allowed, counting its calls of higher importance; returns the sum.
double LevelEstimator::Shares(int marginal, double fill) {
  double sum = 0;
  for (auto& [id, organisation] : organisations_) {
    double higher = 0;
    for (int i = marginal + 1; i < kImportanceCount; ++i) {
      higher += organisation.demands[static_cast<std::size_t>(i)].rate;
    }
    const double wanted =
        organisation.demands[static_cast<std::size_t>(marginal)].rate;
    organisation.share =
        std::clamp(fill * organisation.weight - higher, 0.0, wanted);
    sum += organisation.share;
  }
  return sum;
}

void LevelEstimator::ComputeLevels() {
  double remaining = 0;
  const int marginal = capacity_ > 0 ? FindMarginal(remaining) : -1;
  // While calls of some importance start here, none above it is refused, even
  // if a wrong estimate asks for it.
  const int lowest = LowestStarted();
  const std::uint32_t highest = LevelAt(lowest, 1 - kFewestKept);
  base_level_ = marginal < 0 ? 0 : std::min(LevelAt(marginal, 0), highest);
  if (marginal < 0) {
    for (auto& [id, organisation] : organisations_) organisation.level = 0;
    return;
  }
  double low = 0;
  double high = 1;
  while (Shares(marginal, high) < remaining && high < 1e12) high *= 2;
  for (int step = 0; step < kFillSteps; ++step) {
    const double fill = (low + high) / 2;
    (Shares(marginal, fill) < remaining ? low : high) = fill;
  }
  Shares(marginal, high);
  for (auto& [id, organisation] : organisations_) {
    const double wanted =
        organisation.demands[static_cast<std::size_t>(marginal)].rate;
    const double refused = wanted > 0 ? 1 - organisation.share / wanted : 0;
    organisation.level = std::min(LevelAt(marginal, refused), highest);
  }
}

int LevelEstimator::LowestStarted() const {
  const int lowest =
      *std::min_element(lowest_started_.begin(), lowest_started_.end());
  return std::min(lowest, kImportanceCount - 1);
}

void LevelEstimator::Remember() {
  for (auto& [id, organisation] : organisations_) {
    organisation.recent[next_recent_] = organisation.level;
    organisation.highest_recent = *std::max_element(organisation.recent.begin(),
                                                    organisation.recent.end());
  }
  next_recent_ = (next_recent_ + 1) % kRecentLevels;
}

void LevelEstimator::StartWindow(Instant now) {
  window_start_ = now;
  starts_.fill(0);
  shed_ = 0;
  idle_ = false;
  for (auto& [id, organisation] : organisations_) {
    for (Demand& demand : organisation.demands) demand.seen = demand.unshed = 0;
  }
}

std::uint32_t LevelEstimator::level(OrganisationId id, Instant now) const {
  if (now - window_start_ > kStale) return 0;
  const auto found = organisations_.find(id);
  return found == organisations_.end() ? base_level_ : found->second.level;
}

}  // namespace lentilcross
