#include <algorithm>
#include <cmath>

#include "lentilcross/admission.h"

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

// A window is long enough for a mean of calls with widely spread latency and
// for the calls of the previous window to drain.
constexpr Seconds kShortestWindow{0.05};
constexpr int kFewestSamples = 16;
// After this long without enough calls a window is closed all the same.
constexpr Seconds kLongestWindow{1.0};
// Margin above the estimate: a limit that is too low leaves slots idle, one
// that is a little too high only queues inside the target.
constexpr double kMargin = 1.25;
constexpr double kMarginCalls = 1.0;
constexpr double kLargestStep = 1.3;
constexpr double kSmallestStep = 0.7;
// Share of the estimate that is in flight while the base latency is refreshed.
constexpr double kProbeShare = 0.95;
constexpr int kWindowsBetweenProbes = 12;
// Mean latency over base latency that ends slow start.
constexpr double kSlowStartLatencyRatio = 1.5;
// Mean latency over base latency that asks for an early probe: the target may
// have become slower, in which case the base is out of date.
constexpr double kSuspectLatencyRatio = 2.0;
constexpr double kRefusedShare = 0.02;
constexpr double kRefusedStep = 0.9;
constexpr double kSmoothing = 0.4;
constexpr Seconds kBaseLifetime{1.0};

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Init& init)
    : init_(init), limit_(std::clamp(init.initial, init.min, init.max)) {}

int ConcurrencyLimit::limit() const {
  double limit = limit_;
  if (probing_) limit = kProbeShare * throughput_ * base_;
  return static_cast<int>(std::lround(std::clamp(limit, init_.min, init_.max)));
}

Duration ConcurrencyLimit::base_latency(Instant now) const {
  if (now - last_sample_ > kBaseLifetime) return Duration::zero();
  return std::chrono::duration_cast<Duration>(Seconds(base_));
}

void ConcurrencyLimit::Record(Sample sample, Duration latency, int in_flight,
                              Instant now) {
  if (window_.finished + window_.refused == 0 && !window_.bound) {
    window_.start = std::max(window_.start, now - latency);
  }
  if (in_flight >= limit()) window_.bound = true;
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

  const Seconds elapsed = now - window_.start;
  const bool enough = window_.ok >= kFewestSamples &&
                      elapsed >= std::max(kShortestWindow, Seconds(latency_));
  if (enough || elapsed >= kLongestWindow) CloseWindow(elapsed.count(), now);
}

void ConcurrencyLimit::CloseWindow(double seconds, Instant now) {
  const Window closed = window_;
  window_ = Window();
  window_.start = now;
  if (closed.refused > kRefusedShare * (closed.finished + closed.refused)) {
    limit_ = std::max(init_.min, limit_ * kRefusedStep);
    starting_ = false;
    return;
  }
  if (closed.ok == 0 || seconds <= 0) return;
  latency_ = closed.latency_sum / closed.ok;
  LearnBase(latency_);
  if (closed.bound) Adjust(latency_, closed.finished / seconds);
}

void ConcurrencyLimit::LearnBase(double latency) {
  if (base_ == 0) {
    base_ = latency;
  } else if (latency < base_) {
    base_ += kSmoothing * (latency - base_);
  } else if (probing_) {
    base_ = latency > kSlowStartLatencyRatio * base_
                ? latency
                : base_ + kSmoothing * (latency - base_);
  }
}

void ConcurrencyLimit::Adjust(double latency, double throughput) {
  if (starting_) {
    throughput_ = throughput;
    if (latency < kSlowStartLatencyRatio * base_) {
      limit_ = std::min(init_.max, limit_ * 2);
      return;
    }
    starting_ = false;
  }
  throughput_ += kSmoothing * (throughput - throughput_);
  const double wanted = kMargin * throughput_ * base_ + kMarginCalls;
  limit_ = std::clamp(wanted, limit_ * kSmallestStep, limit_ * kLargestStep);
  limit_ = std::clamp(limit_, init_.min, init_.max);
  const bool suspect = latency > kSuspectLatencyRatio * base_;
  ++since_probe_;
  probing_ = !probing_ && (suspect || since_probe_ >= kWindowsBetweenProbes);
  if (probing_) since_probe_ = 0;
}

void ConcurrencyLimit::Reset(Instant now) {
  *this = ConcurrencyLimit(init_);
  window_.start = now;
}

}  // namespace lentilcross
