// Tests the limit of an overloaded target that states its number of slots.

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <queue>
#include <vector>

#include "lentilcross/admission.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Sample = ConcurrencyLimit::Sample;
using Seconds = std::chrono::duration<double>;

/// Fraction of the slots above which the target slows down.
constexpr double kSlowdownShare = 0.95;
constexpr double kMeanSeconds = 0.03;
/// Standard deviation of the logarithm of the service time.
constexpr double kSpread = 0.5;

/// A target with `slots` slots. A call that starts when more than
/// `kSlowdownShare` of them are taken lasts `slowdown` times as long.
class OverloadedTarget {
 public:
  OverloadedTarget(int slots, double slowdown, std::uint64_t seed)
      : slots_(slots), slowdown_(slowdown), random_(seed) {
    TargetAdmission::Init init;
    init.max_queue_time = seconds(1);
    admission_ = std::make_unique<TargetAdmission>(init);
    admission_->SetSlots(slots);
  }

  /// Offers twice as many calls as the slots can serve without slowdown.
  void Run(Duration duration) {
    const Instant end = now_ + duration;
    const double rate = 2 * slots_ / kMeanSeconds;
    std::exponential_distribution<double> gap(rate);
    Instant arrival = now_;
    while (now_ < end) {
      if (!running_.empty() && running_.top().first <= arrival) {
        const auto [at, number] = running_.top();
        running_.pop();
        now_ = at;
        ++served_;
        Apply(admission_->Finish(number, Sample::kOk, now_));
        continue;
      }
      now_ = arrival;
      Offer();
      arrival += std::chrono::duration_cast<Duration>(Seconds(gap(random_)));
    }
  }

  int limit() const { return admission_->limit(); }
  int served() const { return served_; }

 private:
  void Offer() {
    TargetAdmission::Entry entry;
    entry.number = ++last_number_;
    entry.request = RequestId::Make(random_);
    // One route in five takes ten times as long.
    entry.route = RouteId(last_number_ % 5 == 0 ? 1 : 2);
    entry.organisation = OrganisationId(1);
    entry.deadline = now_ + seconds(5);
    routes_.resize(last_number_ + 1);
    routes_[last_number_] = entry.route;
    Apply(admission_->Offer(entry, now_));
  }

  void Apply(const TargetAdmission::Actions& actions) {
    for (const std::uint64_t number : actions.start) {
      const double mean = routes_[number] == RouteId(1)
                              ? 10 * kMeanSeconds / 2.8
                              : kMeanSeconds / 2.8;
      std::lognormal_distribution<double> service(
          std::log(mean) - kSpread * kSpread / 2, kSpread);
      const bool full =
          static_cast<double>(running_.size() + 1) > kSlowdownShare * slots_;
      const Seconds time(service(random_) * (full ? slowdown_ : 1));
      running_.push(
          {now_ + std::chrono::duration_cast<Duration>(time), number});
    }
  }

  using End = std::pair<Instant, std::uint64_t>;
  int slots_;
  double slowdown_;
  Random random_;
  std::unique_ptr<TargetAdmission> admission_;
  Instant now_{std::chrono::hours(1)};
  std::priority_queue<End, std::vector<End>, std::greater<>> running_;
  std::vector<RouteId> routes_;
  std::uint64_t last_number_ = 0;
  int served_ = 0;
};

/// Number of calls that `slots` always busy slots serve in `duration`.
double Capacity(int slots, Duration duration) {
  return slots * Seconds(duration).count() / kMeanSeconds;
}

constexpr int kSeeds = 20;
constexpr auto kWarmUp = seconds(2);
constexpr auto kMeasured = seconds(18);

// Guards against filling all slots of a target whose calls take 1.3 times as
// long when it is nearly full, which is overloaded from the first second: with
// all slots taken, it serves a quarter less than with one free.
BOOST_AUTO_TEST_CASE(target_that_slows_when_full_keeps_its_throughput) {
  for (const int slots : {14, 26, 71}) {
    const int best = static_cast<int>(kSlowdownShare * slots);
    double served = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      OverloadedTarget target(slots, 1.3, seed);
      target.Run(kWarmUp);
      const int before = target.served();
      target.Run(kMeasured);
      served += target.served() - before;
    }
    BOOST_TEST_CONTEXT("slots " << slots) {
      BOOST_TEST(served > 0.95 * kSeeds * Capacity(best, kMeasured));
    }
  }
}

// Guards against idle slots at a target that does not slow down.
BOOST_AUTO_TEST_CASE(target_without_slowdown_uses_its_slots) {
  for (const int slots : {14, 26, 71}) {
    double served = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      OverloadedTarget target(slots, 1, seed);
      target.Run(kMeasured);
      served += target.served();
      BOOST_TEST(target.limit() >= 0.85 * slots);
    }
    BOOST_TEST_CONTEXT("slots " << slots) {
      BOOST_TEST(served > 0.97 * kSeeds * Capacity(slots, kMeasured));
    }
  }
}

// Guards against halving the capacity of a target with two slots.
BOOST_AUTO_TEST_CASE(few_slots_are_all_used) {
  for (const double slowdown : {1.0, 1.3}) {
    OverloadedTarget target(2, slowdown, 1);
    target.Run(kMeasured);
    BOOST_TEST(target.limit() == 2);
  }
}

}  // namespace
}  // namespace lentilcross
