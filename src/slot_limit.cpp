#include "slot_limit.h"

#include <algorithm>
#include <cmath>

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

// Upper ends of the bands, in parts of all slots.
constexpr std::array<double, 4> kTops = {1.0, 0.96, 0.92, 0.88};
// Below this share a target may be faster for lack of work, which says nothing
// about the slots near the top.
constexpr double kReferenceFrom = 0.3;
// Latencies spread by a factor of about two; the mean of so many is known to a
// tenth.
constexpr double kFewestCalls = 80;
constexpr double kFewestTypical = 20;
// Older calls count less, so that a target that changes is followed.
constexpr double kMostCalls = 400;
// Slowdown that is told apart from noise: so many standard errors, and at least
// so much (logarithm).
constexpr double kStandardErrors = 3.5;
constexpr double kSmallestSlowdown = 0.04;
// The slots above the limit are tried again after this time.
constexpr Duration kRetest = std::chrono::seconds(20);
// A target that has been full from the start is run below the top for so many
// calls, to have something to compare with.
constexpr int kCallsWithoutReference = 60;
constexpr int kReferenceCalls = 120;
// With fewer slots, one that is left free costs more than a slowdown.
constexpr int kFewestSlots = 8;
// Routes with latencies of their own.
constexpr std::size_t kMaxRoutes = 256;

}  // namespace

SlotLimit::SlotLimit(int slots)
    : slots_(std::max(slots, 1)), limit_(std::max(slots, 1)) {}

int SlotLimit::TopOf(std::size_t band) const {
  const auto top = static_cast<int>(kTops[band] * slots_ + 1e-9);
  return std::max(top, 1);
}

std::size_t SlotLimit::BandOf(int taken) const {
  std::size_t band = 0;
  while (band + 1 < kBands && taken <= TopOf(band + 1)) ++band;
  return band;
}

void SlotLimit::Record(RouteId route, int taken, Duration latency,
                       Instant now) {
  if (slots_ < kFewestSlots || taken < kReferenceFrom * slots_) return;
  if (latency <= Duration::zero()) return;
  if (typical_.size() >= kMaxRoutes && typical_.count(route) == 0) return;
  const double value = std::log(Seconds(latency).count());
  const std::size_t index = BandOf(taken);
  Typical& typical = typical_[route];
  if (index == kBands - 1) {
    typical.count = std::min(typical.count + 1, kMostCalls);
    typical.mean += (value - typical.mean) / typical.count;
  }
  if (typical.count < kFewestTypical) {
    ++awaiting_reference_;
  } else {
    Band& band = bands_[index];
    const double difference = value - typical.mean;
    band.count += 1;
    band.sum += difference;
    band.squares += difference * difference;
    band.last = now;
    if (band.count > kMostCalls) {
      band.count /= 2;
      band.sum /= 2;
      band.squares /= 2;
    }
  }
  TakeReference(now);
  Decide(now);
}

void SlotLimit::TakeReference(Instant now) {
  reference_calls_ = std::max(0, reference_calls_ - 1);
  if (awaiting_reference_ < kCallsWithoutReference) return;
  awaiting_reference_ = 0;
  if (reference_taken_ && now - *reference_taken_ < kRetest) return;
  reference_taken_ = now;
  reference_calls_ = kReferenceCalls;
}

double SlotLimit::SlowdownOf(const Band& band) {
  if (band.count < kFewestCalls) return 1;
  const double mean = band.sum / band.count;
  const double variance =
      std::max(0.0, band.squares / band.count - mean * mean);
  const double error = std::sqrt(variance / band.count);
  const bool known = mean > kSmallestSlowdown && mean > kStandardErrors * error;
  return known ? std::exp(mean) : 1;
}

void SlotLimit::Decide(Instant now) {
  if (reference_calls_ > 0) {
    limit_ = TopOf(kBands - 1);
    return;
  }
  double best = 0;
  for (std::size_t i = 0; i < kBands; ++i) {
    Band& band = bands_[i];
    if (band.count > 0 && now - band.last > kRetest) band = Band();
    const int top = TopOf(i);
    const double served = top / SlowdownOf(band);
    if (served <= best) continue;
    best = served;
    limit_ = top;
  }
}

}  // namespace lentilcross
