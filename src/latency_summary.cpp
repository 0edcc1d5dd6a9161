#include "latency_summary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <vector>

namespace lentilcross {
namespace {

namespace acc = boost::accumulators;

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square>>;

// 0.999 is not shown; it keeps the estimate of the 99th percentile from leaning
// on the maximum.
const std::vector<double>& Probabilities() {
  static const std::vector<double> probabilities = {0.5, 0.9, 0.99, 0.999};
  return probabilities;
}

// P-square needs as many samples as it has markers before it can interpolate.
constexpr std::size_t kMinSamples = 16;

}  // namespace

struct LatencySummary::Impl {
  Accumulator set{acc::extended_p_square_probabilities = Probabilities()};
};

LatencySummary::LatencySummary() : impl_(std::make_unique<Impl>()) {}
LatencySummary::~LatencySummary() = default;

void LatencySummary::Add(Duration latency) {
  impl_->set(std::chrono::duration<double>(latency).count());
}

LatencyStats LatencySummary::stats() const {
  const Accumulator& set = impl_->set;
  LatencyStats stats;
  stats.count = acc::count(set);
  if (stats.count == 0) return stats;
  stats.sum_s = acc::sum(set);
  stats.max_s = acc::max(set);
  if (stats.count < kMinSamples) {
    // Too few samples to estimate: the maximum is the safe answer.
    stats.p50_s = stats.p90_s = stats.p99_s = stats.max_s;
    return stats;
  }
  const auto quantiles = acc::extended_p_square(set);
  stats.p50_s = quantiles[0];
  stats.p90_s = quantiles[1];
  stats.p99_s = quantiles[2];
  return stats;
}

}  // namespace lentilcross
