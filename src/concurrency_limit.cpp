#include <algorithm>
#include <cmath>

#include "lentilcross/admission.h"

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

// A window is long enough for a mean of calls with widely spread latency and
// for the calls of the previous window to drain. Slow start needs less.
constexpr Seconds kShortestStartWindow{0.05};
constexpr Seconds kShortestWindow{0.1};
constexpr int kFewestStartSamples = 16;
constexpr int kFewestSamples = 40;
// After this long without enough calls a window is closed all the same.
constexpr Seconds kLongestWindow{1.0};
// Margin above the estimate: a limit that is too low leaves slots idle, one
// that is a little too high only queues inside the target.
constexpr double kMargin = 1.4;
constexpr double kMarginCalls = 1.0;
constexpr double kLargestStep = 1.3;
constexpr double kSmallestStep = 0.7;
// Share of the estimate that is in flight while the base latency is refreshed.
// Above 0.9 an estimate that is too high hardly comes down; lower leaves no
// room for lookups while higher importance alone takes 0.9 of the slots.
constexpr double kProbeShare = 0.9;
constexpr int kWindowsBetweenProbes = 32;
constexpr int kWindowsBeforeEarlyProbe = 3;
// Share of the throughput, at the same limit, below which the target slowed.
constexpr double kFallenThroughput = 0.7;
// Throughput that a probe keeps if the estimate is too high.
constexpr double kKeptThroughput = 0.95;
// Mean latency over base latency that ends slow start.
constexpr double kSlowStartLatencyRatio = 1.8;
// Mean latency over base latency outside which the base may be out of date.
constexpr double kHighLatencyRatio = 2.2;
constexpr double kLowLatencyRatio = 0.8;
constexpr double kMostlyBound = 0.5;
constexpr double kPeakRoom = 1.2;
constexpr double kRefusedShare = 0.02;
constexpr double kRefusedStep = 0.9;
constexpr double kSmoothing = 0.4;
constexpr Seconds kBaseLifetime{1.0};

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Init& init)
    : init_(init), limit_(std::clamp(init.initial, init.min, init.max)) {}

int ConcurrencyLimit::limit() const {
  const bool probing =
      phase_ == Phase::kDraining || phase_ == Phase::kMeasuring;
  const double limit = probing ? kProbeShare * estimate() : limit_;
  return static_cast<int>(std::lround(std::clamp(limit, init_.min, init_.max)));
}

double ConcurrencyLimit::estimate() const {
  return (limit_ - kMarginCalls) / kMargin;
}

Duration ConcurrencyLimit::base_latency(Instant now) const {
  if (now - last_sample_ > kBaseLifetime) return Duration::zero();
  return std::chrono::duration_cast<Duration>(Seconds(base_));
}

void ConcurrencyLimit::Record(Sample sample, Duration latency, int in_flight,
                              Instant now) {
  if (window_.finished + window_.refused == 0 && window_.bound == 0) {
    window_.start = std::max(window_.start, now - latency);
  }
  if (in_flight >= limit()) ++window_.bound;
  if (sample == Sample::kRefused) {
    ++window_.refused;
  } else {
    ++window_.finished;
  }
  if (sample == Sample::kOk || sample == Sample::kTimedOut) {
    ++window_.ok;
    window_.latency_sum += Seconds(latency).count();
  }
  if (sample == Sample::kOk) last_sample_ = now;

  if (WindowIsComplete(now)) CloseWindow(now);
}

bool ConcurrencyLimit::WindowIsComplete(Instant now) const {
  const Seconds elapsed = now - window_.start;
  const bool starting = phase_ == Phase::kStarting;
  const int fewest = starting ? kFewestStartSamples : kFewestSamples;
  const Seconds shortest = starting ? kShortestStartWindow : kShortestWindow;
  const bool enough =
      window_.ok >= fewest && elapsed >= std::max(shortest, Seconds(latency_));
  return enough || elapsed >= kLongestWindow;
}

void ConcurrencyLimit::CloseWindow(Instant now) {
  const Window closed = window_;
  const double seconds = Seconds(now - closed.start).count();
  window_ = Window();
  window_.start = now;
  if (closed.refused > kRefusedShare * (closed.finished + closed.refused)) {
    limit_ = std::max(init_.min, limit_ * kRefusedStep);
    phase_ = Phase::kRunning;
    return;
  }
  if (closed.ok == 0 || seconds <= 0) return;
  latency_ = closed.latency_sum / closed.ok;
  if (base_ == 0 || latency_ < kLowLatencyRatio * base_) base_ = latency_;
  const double bound_share =
      static_cast<double>(closed.bound) / (closed.finished + closed.refused);
  Adjust(latency_, closed.finished / seconds, bound_share);
}

void ConcurrencyLimit::Adjust(double latency, double throughput,
                              double bound_share) {
  switch (phase_) {
    case Phase::kStarting:
      if (bound_share == 0) return;
      throughput_ = throughput;
      if (latency < kSlowStartLatencyRatio * base_) {
        limit_ = std::min(init_.max, limit_ * 2);
        return;
      }
      phase_ = Phase::kRunning;
      until_probe_ = kWindowsBetweenProbes;
      break;
    case Phase::kRunning:
      if (bound_share == 0) return;
      if (latency > kHighLatencyRatio * base_) {
        until_probe_ = std::min(until_probe_, kWindowsBeforeEarlyProbe);
      }
      if (bound_share >= kMostlyBound &&
          throughput < kFallenThroughput * throughput_) {
        // The target became slower: the base is out of date, and the estimate
        // with it. The limit stays until a probe has measured.
        throughput_ = throughput;
        phase_ = Phase::kDraining;
        return;
      }
      throughput_ += kSmoothing * (throughput - throughput_);
      if (--until_probe_ <= 0) phase_ = Phase::kDraining;
      break;
    case Phase::kDraining:
      phase_ = Phase::kMeasuring;
      return;
    case Phase::kMeasuring:
      FinishProbe(latency, throughput);
      break;
  }
  MoveLimit(bound_share);
}

void ConcurrencyLimit::FinishProbe(double latency, double throughput) {
  phase_ = Phase::kRunning;
  const bool too_high =
      throughput > kKeptThroughput * throughput_ && latency < base_;
  until_probe_ = too_high ? kWindowsBeforeEarlyProbe : kWindowsBetweenProbes;
  const bool moved = latency > kHighLatencyRatio * base_;
  base_ += (moved ? 1 : kSmoothing) * (latency - base_);
}

void ConcurrencyLimit::MoveLimit(double bound_share) {
  double wanted = kMargin * throughput_ * base_ + kMarginCalls;
  // A limit that is reached in short peaks only says nothing about the slots:
  // throughput was bounded by demand. It gets room for the peaks.
  if (bound_share < kMostlyBound) wanted = std::max(limit_, kPeakRoom * wanted);
  limit_ = std::clamp(wanted, limit_ * kSmallestStep, limit_ * kLargestStep);
  limit_ = std::clamp(limit_, init_.min, init_.max);
}

void ConcurrencyLimit::Reset(Instant now) {
  *this = ConcurrencyLimit(init_);
  window_.start = now;
}

}  // namespace lentilcross
