#include "slot_limit.h"

#include <algorithm>
#include <cmath>

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

// Upper ends of the bands, as fractions of all slots.
constexpr std::array<double, 4> kBandTops = {1.0, 0.96, 0.92, 0.88};
// Calls at a lower load are ignored: the target may be faster for lack of work,
// which says nothing about the last slots.
constexpr double kMinUsedShare = 0.3;
// Latencies spread by a factor of about two, so that this many give the mean to
// within about 10%.
constexpr double kMinCalls = 80;
constexpr double kMinBaselineCalls = 20;
// From this number of calls on, older ones count less, so that the limit
// follows changes of the target.
constexpr double kMaxCalls = 400;
// A slowdown is significant if it exceeds this many standard errors and this
// minimum (logarithm of the ratio).
constexpr double kStandardErrors = 3.5;
constexpr double kMinSlowdown = 0.04;
// Bands without calls for this time, because they are above the limit, are
// tried again.
constexpr Duration kRetestInterval = std::chrono::seconds(20);
// A target that has been full from the start has no baseline. After this many
// calls, the limit is lowered for the next `kBaselineCalls`.
constexpr int kMaxCallsWithoutBaseline = 60;
constexpr int kBaselineCalls = 120;
// With fewer slots, a free slot costs more than the slowdown.
constexpr int kMinSlots = 8;
// Routes with baselines of their own; calls of further routes are ignored.
constexpr std::size_t kMaxRoutes = 256;

}  // namespace

SlotLimit::SlotLimit(int slots)
    : slots_(std::max(slots, 1)), limit_(std::max(slots, 1)) {}

int SlotLimit::TopOf(std::size_t band) const {
  const auto top = static_cast<int>(kBandTops[band] * slots_ + 1e-9);
  return std::max(top, 1);
}

std::size_t SlotLimit::BandOf(int slots_taken) const {
  std::size_t band = 0;
  while (band + 1 < kBands && slots_taken <= TopOf(band + 1)) ++band;
  return band;
}

void SlotLimit::Record(RouteId route, int slots_taken, Duration latency,
                       Instant now) {
  if (slots_ < kMinSlots || slots_taken < kMinUsedShare * slots_) return;
  if (latency <= Duration::zero()) return;
  if (baselines_.size() >= kMaxRoutes && baselines_.count(route) == 0) return;
  const double value = std::log(Seconds(latency).count());
  const std::size_t index = BandOf(slots_taken);
  Baseline& baseline = baselines_[route];
  if (index == kBands - 1) {
    baseline.count = std::min(baseline.count + 1, kMaxCalls);
    baseline.mean += (value - baseline.mean) / baseline.count;
  }
  if (baseline.count < kMinBaselineCalls) {
    ++calls_without_baseline_;
  } else {
    Band& band = bands_[index];
    const double deviation = value - baseline.mean;
    band.count += 1;
    band.sum += deviation;
    band.squares += deviation * deviation;
    band.last = now;
    if (band.count > kMaxCalls) {
      band.count /= 2;
      band.sum /= 2;
      band.squares /= 2;
    }
  }
  UpdateBaselinePeriod(now);
  UpdateLimit(now);
}

void SlotLimit::UpdateBaselinePeriod(Instant now) {
  baseline_calls_left_ = std::max(0, baseline_calls_left_ - 1);
  if (calls_without_baseline_ < kMaxCallsWithoutBaseline) return;
  calls_without_baseline_ = 0;
  if (last_baseline_ && now - *last_baseline_ < kRetestInterval) return;
  last_baseline_ = now;
  baseline_calls_left_ = kBaselineCalls;
}

double SlotLimit::SlowdownOf(const Band& band) {
  if (band.count < kMinCalls) return 1;
  const double mean = band.sum / band.count;
  const double variance =
      std::max(0.0, band.squares / band.count - mean * mean);
  const double error = std::sqrt(variance / band.count);
  const bool significant =
      mean > kMinSlowdown && mean > kStandardErrors * error;
  return significant ? std::exp(mean) : 1;
}

void SlotLimit::UpdateLimit(Instant now) {
  if (baseline_calls_left_ > 0) {
    limit_ = TopOf(kBands - 1);
    return;
  }
  double max_throughput = 0;
  for (std::size_t i = 0; i < kBands; ++i) {
    Band& band = bands_[i];
    if (band.count > 0 && now - band.last > kRetestInterval) band = Band();
    const int top = TopOf(i);
    const double throughput = top / SlowdownOf(band);
    if (throughput <= max_throughput) continue;
    max_throughput = throughput;
    limit_ = top;
  }
}

}  // namespace lentilcross
