#include <algorithm>
#include <cmath>

#include "lentilcross/admission.h"

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

// A measurement window must be long enough for a stable mean of widely spread
// latencies and for the calls of the previous window to drain. Slow start needs
// less.
constexpr Seconds kMinSlowStartWindow{0.05};
constexpr Seconds kMinWindow{0.1};
constexpr int kMinSlowStartCalls = 16;
constexpr int kMinCalls = 40;
// A window is closed after this time even if it has too few calls.
constexpr Seconds kMaxWindow{1.0};
// The limit is `kMarginFactor` * estimate + `kMarginCalls`. A limit that is too
// low leaves slots idle; one that is slightly too high only adds queueing
// inside the target.
constexpr double kMarginFactor = 1.4;
constexpr double kMarginCalls = 1.0;
// Bounds of the change of the limit in one window, as factors.
constexpr double kMaxStep = 1.3;
constexpr double kMinStep = 0.7;
// Limit during a probe, as a fraction of the estimate. Above 0.9 an estimate
// that is too high hardly falls; a lower value leaves no room for lookups while
// calls of higher importance alone take 0.9 of the slots.
constexpr double kProbeLimitRatio = 0.9;
constexpr int kWindowsBetweenProbes = 32;
constexpr int kWindowsBeforeEarlyProbe = 3;
// If the throughput at the limit falls below this fraction of its average, the
// target has become slower.
constexpr double kSlowedThroughputRatio = 0.7;
// If a probe keeps more than this fraction of the throughput, the estimate is
// too high.
constexpr double kKeptThroughputRatio = 0.95;
// Slow start ends when the mean latency reaches this multiple of the base
// latency.
constexpr double kSlowStartLatencyRatio = 1.8;
// The base latency may be out of date if the mean latency, as a multiple of it,
// is outside this range.
constexpr double kHighLatencyRatio = 2.2;
constexpr double kLowLatencyRatio = 0.8;
// If fewer than this fraction of the calls ended at the limit, demand rather
// than the target bounded the throughput.
constexpr double kMinAtLimitShare = 0.5;
// Factor on the limit that leaves room for short peaks.
constexpr double kPeakFactor = 1.2;
// If the target refused more than this fraction of the calls of a window, the
// limit is multiplied by `kRefusedStep`.
constexpr double kMaxRefusedShare = 0.02;
constexpr double kRefusedStep = 0.9;
constexpr double kSmoothing = 0.4;
constexpr Seconds kBaseLatencyLifetime{1.0};

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Init& init)
    : init_(init), limit_(std::clamp(init.initial, init.min, init.max)) {}

int ConcurrencyLimit::limit() const {
  const bool probing =
      phase_ == Phase::kDraining || phase_ == Phase::kMeasuring;
  const double limit = probing ? kProbeLimitRatio * estimate() : limit_;
  return static_cast<int>(std::lround(std::clamp(limit, init_.min, init_.max)));
}

double ConcurrencyLimit::estimate() const {
  return (limit_ - kMarginCalls) / kMarginFactor;
}

Duration ConcurrencyLimit::base_latency(Instant now) const {
  if (now - last_success_ > kBaseLatencyLifetime) return Duration::zero();
  return std::chrono::duration_cast<Duration>(Seconds(base_latency_));
}

void ConcurrencyLimit::Record(Sample sample, Duration latency, int in_flight,
                              Instant now) {
  if (window_.finished + window_.refused == 0 && window_.at_limit == 0) {
    window_.start = std::max(window_.start, now - latency);
  }
  if (in_flight >= limit()) ++window_.at_limit;
  if (sample == Sample::kRefused) {
    ++window_.refused;
  } else {
    ++window_.finished;
  }
  if (sample == Sample::kOk || sample == Sample::kTimedOut) {
    ++window_.ok;
    window_.latency_sum += Seconds(latency).count();
  }
  if (sample == Sample::kOk) last_success_ = now;

  if (WindowIsComplete(now)) CloseWindow(now);
}

bool ConcurrencyLimit::WindowIsComplete(Instant now) const {
  const Seconds elapsed = now - window_.start;
  const bool slow_start = phase_ == Phase::kSlowStart;
  const int min_calls = slow_start ? kMinSlowStartCalls : kMinCalls;
  const Seconds min_time = slow_start ? kMinSlowStartWindow : kMinWindow;
  const bool enough = window_.ok >= min_calls &&
                      elapsed >= std::max(min_time, Seconds(mean_latency_));
  return enough || elapsed >= kMaxWindow;
}

void ConcurrencyLimit::CloseWindow(Instant now) {
  const Window closed = window_;
  const double seconds = Seconds(now - closed.start).count();
  window_ = Window();
  window_.start = now;
  if (closed.refused > kMaxRefusedShare * (closed.finished + closed.refused)) {
    limit_ = std::max(init_.min, limit_ * kRefusedStep);
    phase_ = Phase::kRunning;
    return;
  }
  if (closed.ok == 0 || seconds <= 0) return;
  mean_latency_ = closed.latency_sum / closed.ok;
  if (base_latency_ == 0 || mean_latency_ < kLowLatencyRatio * base_latency_) {
    base_latency_ = mean_latency_;
  }
  const double at_limit_share =
      static_cast<double>(closed.at_limit) / (closed.finished + closed.refused);
  ProcessWindow(mean_latency_, closed.finished / seconds, at_limit_share);
}

void ConcurrencyLimit::ProcessWindow(double latency, double throughput,
                                     double at_limit_share) {
  switch (phase_) {
    case Phase::kSlowStart:
      if (at_limit_share == 0) return;
      throughput_ = throughput;
      if (latency < kSlowStartLatencyRatio * base_latency_) {
        limit_ = std::min(init_.max, limit_ * 2);
        return;
      }
      phase_ = Phase::kRunning;
      windows_until_probe_ = kWindowsBetweenProbes;
      break;
    case Phase::kRunning:
      if (at_limit_share == 0) return;
      if (latency > kHighLatencyRatio * base_latency_) {
        windows_until_probe_ =
            std::min(windows_until_probe_, kWindowsBeforeEarlyProbe);
      }
      if (at_limit_share >= kMinAtLimitShare &&
          throughput < kSlowedThroughputRatio * throughput_) {
        // The target became slower, so that the base latency and the estimate
        // are out of date. Keep the limit until a probe has measured again:
        // lowering it now would lower the throughput further.
        throughput_ = throughput;
        phase_ = Phase::kDraining;
        return;
      }
      throughput_ += kSmoothing * (throughput - throughput_);
      if (--windows_until_probe_ <= 0) phase_ = Phase::kDraining;
      break;
    case Phase::kDraining:
      phase_ = Phase::kMeasuring;
      return;
    case Phase::kMeasuring:
      FinishProbe(latency, throughput);
      break;
  }
  UpdateLimit(at_limit_share);
}

void ConcurrencyLimit::FinishProbe(double latency, double throughput) {
  phase_ = Phase::kRunning;
  const bool too_high = throughput > kKeptThroughputRatio * throughput_ &&
                        latency < base_latency_;
  windows_until_probe_ =
      too_high ? kWindowsBeforeEarlyProbe : kWindowsBetweenProbes;
  const bool outdated = latency > kHighLatencyRatio * base_latency_;
  base_latency_ += (outdated ? 1 : kSmoothing) * (latency - base_latency_);
}

void ConcurrencyLimit::UpdateLimit(double at_limit_share) {
  double new_limit = kMarginFactor * throughput_ * base_latency_ + kMarginCalls;
  // If the limit is reached only in short peaks, demand bounds the throughput,
  // which says nothing about the slots. Leave room for the peaks.
  if (at_limit_share < kMinAtLimitShare) {
    new_limit = std::max(limit_, kPeakFactor * new_limit);
  }
  limit_ = std::clamp(new_limit, limit_ * kMinStep, limit_ * kMaxStep);
  limit_ = std::clamp(limit_, init_.min, init_.max);
}

void ConcurrencyLimit::Reset(Instant now) {
  *this = ConcurrencyLimit(init_);
  window_.start = now;
}

}  // namespace lentilcross
