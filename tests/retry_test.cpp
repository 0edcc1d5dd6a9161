#include "lentilcross/retry.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace lentilcross {
namespace {

// Plays a call tree in which every hop spends as much as it can and may lie
// about what is left. Returns the extra attempts spent.
int SpendAll(AttemptAllowance allowance, int depth) {
  int spent = 0;
  for (int child = 0; depth > 0 && child < 3; ++child) {
    const std::uint16_t lent = allowance.TakeHalf();
    spent += SpendAll(AttemptAllowance(lent), depth - 1);
  }
  while (allowance.TryConsume()) ++spent;
  return spent;
}

}  // namespace

// Guards against a call tree that multiplies retries (P1).
BOOST_AUTO_TEST_CASE(call_tree_spends_at_most_the_allowance) {
  BOOST_TEST(rc::check([] {
    const auto extra = *rc::gen::inRange<std::uint16_t>(0, 40);
    const int depth = *rc::gen::inRange(0, 6);
    RC_ASSERT(SpendAll(AttemptAllowance(extra), depth) == extra);
  }));
}

// Guards against a reply that returns more than its call was lent.
BOOST_AUTO_TEST_CASE(take_back_never_grows_the_allowance) {
  BOOST_TEST(rc::check([](std::uint8_t extra, std::uint8_t claimed) {
    AttemptAllowance allowance(extra);
    const std::uint16_t lent = allowance.TakeAll();
    RC_ASSERT(lent == extra);
    RC_ASSERT(!allowance.TryConsume());
    allowance.ReturnUnused(claimed, lent);
    RC_ASSERT(allowance.extra_attempts() <= extra);
  }));
}

// Guards against a retry storm of one process: retries stay below 10% of the
// first attempts, plus the floor and what was saved up.
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
    std::uint64_t firsts = 0;
    for (const int step : steps) {
      now += std::chrono::milliseconds(step);
      for (int i = 0; i < step; ++i) {
        budget.RecordFirstAttempt(service, now);
        ++firsts;
        if (budget.TryRetry(service, now)) ++retries;
      }
    }
    const std::chrono::duration<double> elapsed = now - start;
    const double most = init.ratio * static_cast<double>(firsts) +
                        init.floor_per_second * elapsed.count() + 1e-6;
    RC_ASSERT(static_cast<double>(retries) <= most);
    RC_ASSERT(budget.stats().retries == retries);
    RC_ASSERT(budget.stats().first_attempts == firsts);
  }));
}

// Guards against retries that are refused again (shed below the level), that
// multiply over the hops (failed behind) or that run a booking twice (P7).
BOOST_AUTO_TEST_CASE(only_a_call_that_may_succeed_is_tried_elsewhere) {
  BOOST_TEST(rc::check([](bool behind, bool shed, bool may_have_run,
                          bool idempotent, std::uint32_t rank,
                          std::uint32_t level) {
    const FailedAttempt attempt{behind,     shed, may_have_run,
                                idempotent, rank, level};
    const bool below = shed && rank < level;
    const bool twice = may_have_run && !idempotent;
    RC_ASSERT(MayRetryOnOtherTarget(attempt) == (!behind && !below && !twice));
  }));
}

}  // namespace lentilcross
