#include "lentilcross/retry.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace lentilcross {
namespace {

// Simulates a call tree in which every hop makes as many extra attempts as it
// can and returns none, whatever is left. Returns the number of extra attempts.
int ConsumeAll(AttemptAllowance allowance, int depth) {
  int consumed = 0;
  for (int child = 0; depth > 0 && child < 3; ++child) {
    const std::uint16_t taken = allowance.TakeHalf();
    consumed += ConsumeAll(AttemptAllowance(taken), depth - 1);
  }
  while (allowance.TryConsume()) ++consumed;
  return consumed;
}

}  // namespace

// Guards against a call tree that multiplies retries (P1).
BOOST_AUTO_TEST_CASE(call_tree_uses_only_the_allowance) {
  BOOST_TEST(rc::check([] {
    const auto extra = *rc::gen::inRange<std::uint16_t>(0, 40);
    const int depth = *rc::gen::inRange(0, 6);
    RC_ASSERT(ConsumeAll(AttemptAllowance(extra), depth) == extra);
  }));
}

// Guards against a reply that returns more attempts than its call took.
BOOST_AUTO_TEST_CASE(returned_attempts_never_exceed_the_taken_ones) {
  BOOST_TEST(rc::check([](std::uint8_t extra, std::uint8_t claimed) {
    AttemptAllowance allowance(extra);
    const std::uint16_t taken = allowance.TakeAll();
    RC_ASSERT(taken == extra);
    RC_ASSERT(!allowance.TryConsume());
    allowance.ReturnUnused(claimed, taken);
    RC_ASSERT(allowance.extra_attempts() <= extra);
  }));
}

// Guards against a retry storm from one process: retries stay below 10% of the
// first attempts, plus the floor and the retries that were not used before.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget) {
  BOOST_TEST(rc::check([] {
    const RetryBudget::Init init;
    RetryBudget budget(init);
    const ServiceId service = ServiceId::FromName("stock");
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
    const Instant start{std::chrono::hours(1)};
    Instant now = start;
    std::uint64_t retries = 0;
    std::uint64_t first_attempts = 0;
    for (const int step : steps) {
      now += std::chrono::milliseconds(step);
      for (int i = 0; i < step; ++i) {
        budget.RecordFirstAttempt(service, now);
        ++first_attempts;
        if (budget.TryRetry(service, now)) ++retries;
      }
    }
    const std::chrono::duration<double> elapsed = now - start;
    const double max_retries =
        init.ratio * static_cast<double>(first_attempts) +
        init.floor_per_second * elapsed.count() + 1e-6;
    RC_ASSERT(static_cast<double>(retries) <= max_retries);
    RC_ASSERT(budget.stats().retries == retries);
    RC_ASSERT(budget.stats().first_attempts == first_attempts);
  }));
}

// Guards against retries that would be refused again (shed below the level),
// that multiply over the hops (failed downstream) or that run a booking twice
// (P7).
BOOST_AUTO_TEST_CASE(retries_only_calls_that_may_succeed_once) {
  BOOST_TEST(
      rc::check([](bool failed_downstream, bool shed, bool may_have_run,
                   bool idempotent, std::uint32_t rank, std::uint32_t level) {
        const FailedAttempt attempt{failed_downstream, shed, may_have_run,
                                    idempotent,        rank, level};
        const bool below_level = shed && rank < level;
        const bool may_run_twice = may_have_run && !idempotent;
        RC_ASSERT(MayRetryOnOtherTarget(attempt) ==
                  (!failed_downstream && !below_level && !may_run_twice));
      }));
}

}  // namespace lentilcross
