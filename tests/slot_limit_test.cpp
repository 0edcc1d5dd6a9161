// A target that states its slots, under more calls than it serves.

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

constexpr double kKnee = 0.95;  ///< Part of the slots that it may fill.
constexpr double kMeanSeconds = 0.03;
constexpr double kSpread = 0.5;  ///< Of the logarithm of the service time.

/// A target with `slots` slots. A call that starts when more than `kKnee` of
/// them are taken lasts `slowdown` times as long.
class Overloaded {
 public:
  Overloaded(int slots, double slowdown, std::uint64_t seed)
      : slots_(slots), slowdown_(slowdown), random_(seed) {
    TargetAdmission::Init init;
    init.max_queue_time = seconds(1);
    admission_ = std::make_unique<TargetAdmission>(init);
    admission_->SetSlots(slots);
  }

  /// Offers twice the calls that the slots serve without the slowdown.
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
          static_cast<double>(running_.size() + 1) > kKnee * slots_;
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

/// Calls served in `duration` by `slots` slots that are always taken.
double Capacity(int slots, Duration duration) {
  return slots * Seconds(duration).count() / kMeanSeconds;
}

constexpr int kSeeds = 20;
constexpr auto kLearning = seconds(2);
constexpr auto kMeasured = seconds(18);

// Replays an overload of a target that is slower by 0.3 when nearly full, from
// the first second after a start: with all slots taken it serves a quarter less
// than with one left free.
BOOST_AUTO_TEST_CASE(target_that_slows_near_full_keeps_its_throughput) {
  for (const int slots : {14, 26, 71}) {
    const int best = static_cast<int>(kKnee * slots);
    double served = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Overloaded target(slots, 1.3, seed);
      target.Run(kLearning);
      const int before = target.served();
      target.Run(kMeasured);
      served += target.served() - before;
    }
    BOOST_TEST_CONTEXT("slots " << slots) {
      BOOST_TEST(served > 0.95 * kSeeds * Capacity(best, kMeasured));
    }
  }
}

// Guards against slots that stay empty at a target that serves them all.
BOOST_AUTO_TEST_CASE(target_without_slowdown_uses_its_slots) {
  for (const int slots : {14, 26, 71}) {
    double served = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Overloaded target(slots, 1, seed);
      target.Run(kMeasured);
      served += target.served();
      BOOST_TEST(target.limit() >= 0.85 * slots);
    }
    BOOST_TEST_CONTEXT("slots " << slots) {
      BOOST_TEST(served > 0.97 * kSeeds * Capacity(slots, kMeasured));
    }
  }
}

// Guards against half of the capacity for a target with two slots.
BOOST_AUTO_TEST_CASE(few_slots_are_all_used) {
  for (const double slowdown : {1.0, 1.3}) {
    Overloaded target(2, slowdown, 1);
    target.Run(kMeasured);
    BOOST_TEST(target.limit() == 2);
  }
}

}  // namespace
}  // namespace lentilcross
