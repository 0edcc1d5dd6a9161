#pragma once

#include <cstdint>
#include <unordered_map>

#include "lentilcross/types.h"

namespace lentilcross {

/// Extra attempts that one request may still use. Only shrinks over the whole
/// request: what is lent with an outgoing call is gone until its reply returns
/// the unused part.
class AttemptAllowance {
 public:
  explicit AttemptAllowance(std::uint16_t extra_attempts)
      : extra_attempts_(extra_attempts) {}

  std::uint16_t extra_attempts() const { return extra_attempts_; }

  /// Takes the whole allowance for one outgoing call without siblings.
  std::uint16_t TakeAll();
  /// Takes half, rounded up, for one of several concurrent calls.
  std::uint16_t TakeHalf();
  /// Takes back what a reply did not use, at most what was lent for that call.
  void ReturnUnused(std::uint16_t unused, std::uint16_t lent);
  /// Spends one extra attempt. False if none is left.
  bool TryConsume();

 private:
  std::uint16_t extra_attempts_;
};

/// An attempt of a call that did not succeed, as far as it decides about
/// another one.
struct FailedAttempt {
  bool failed_downstream = false;  ///< An onward call of the target failed.
  bool shed = false;  ///< The called host or its target refused it.
  bool may_have_run = false;
  bool idempotent = true;
  std::uint32_t rank = 0;   ///< Of the request, from `RankOf`.
  std::uint32_t level = 0;  ///< Shedding level of the called service, if shed.
};

/// True if another target may be tried, within allowance and budget.
bool MayRetryOnOtherTarget(const FailedAttempt& attempt);

/// Bounds retries of this process to a fraction of its first attempts, for each
/// service.
class RetryBudget {
 public:
  struct Init {
    double ratio = 0.1;             ///< Retries per first attempt.
    double floor_per_second = 1.0;  ///< Retries allowed without traffic.
    double capacity = 20.0;         ///< Most retries saved up.
  };
  struct Stats {
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t denied = 0;
  };

  explicit RetryBudget(const Init& init) : init_(init) {}

  void RecordFirstAttempt(ServiceId service, Instant now);
  /// Spends one retry. False if the budget is used up.
  bool TryRetry(ServiceId service, Instant now);

  const Stats& stats() const { return stats_; }

 private:
  struct Bucket {
    double tokens = 0;
    Instant refilled{};
  };
  Bucket& Refill(ServiceId service, Instant now);

  Init init_;
  Stats stats_;
  std::unordered_map<ServiceId, Bucket> buckets_;
};

}  // namespace lentilcross
