#pragma once

#include <cmath>

#include "lentilcross/types.h"

namespace lentilcross {

/// Exponentially weighted moving average of events per second.
class RateDemand {
 public:
  void Add(double count, Instant now) {
    sum_ = SumAt(now) + count;
    last_ = now;
  }
  double rate(Instant now) const { return SumAt(now) / kWindowSeconds; }
  Instant last() const { return last_; }

 private:
  // A shorter window follows changes sooner, but causes more loans on noise.
  static constexpr double kWindowSeconds = 1.0;

  double SumAt(Instant now) const {
    if (sum_ == 0 || now <= last_) return sum_;
    const std::chrono::duration<double> elapsed = now - last_;
    return sum_ * std::exp(-elapsed.count() / kWindowSeconds);
  }

  double sum_ = 0;
  Instant last_{};
};

}  // namespace lentilcross
