#pragma once

#include <cstdint>
#include <unordered_map>

#include "lentilcross/types.h"

namespace lentilcross {

/// Extra attempts that one request may still make. Each outgoing call takes
/// some of them with it, and its reply returns those that it did not use, so
/// that their number over all hops never grows.
class AttemptAllowance {
 public:
  explicit AttemptAllowance(std::uint16_t extra_attempts)
      : extra_attempts_(extra_attempts) {}

  std::uint16_t extra_attempts() const { return extra_attempts_; }

  /// Takes all attempts, for an outgoing call that is the only one.
  std::uint16_t TakeAll();
  /// Takes half of the attempts, rounded up, for one of several concurrent
  /// calls.
  std::uint16_t TakeHalf();
  /// Returns what a reply states as unused, at most the `taken` attempts of its
  /// call.
  void ReturnUnused(std::uint16_t unused, std::uint16_t taken);
  /// Uses one extra attempt. False if none is left.
  bool TryConsume();

 private:
  std::uint16_t extra_attempts_;
};

/// What decides whether a call may be retried after a failed attempt.
struct FailedAttempt {
  bool failed_downstream = false;  ///< An onward call of the target failed.
  bool shed = false;  ///< The called host or its target refused it.
  bool may_have_run = false;
  bool idempotent = true;
  std::uint32_t rank = 0;   ///< `RankOf` the request.
  std::uint32_t level = 0;  ///< Shedding level of the called service, if shed.
};

/// True if the call may be retried on another target, provided that
/// `AttemptAllowance` and `RetryBudget` permit it.
bool MayRetryOnOtherTarget(const FailedAttempt& attempt);

/// Limits the retries of this process to a fraction of its first attempts, with
/// one token bucket per service.
class RetryBudget {
 public:
  struct Init {
    double ratio = 0.1;             ///< Retries per first attempt.
    double floor_per_second = 1.0;  ///< Retries allowed without traffic.
    double capacity = 20.0;         ///< Largest number of unused retries kept.
  };
  struct Stats {
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t denied = 0;
  };

  explicit RetryBudget(const Init& init) : init_(init) {}

  void RecordFirstAttempt(ServiceId service, Instant now);
  /// Uses one retry. False if the budget is exhausted.
  bool TryRetry(ServiceId service, Instant now);

  const Stats& stats() const { return stats_; }

 private:
  struct Bucket {
    double tokens = 0;
    Instant refilled_at{};
  };
  Bucket& Refill(ServiceId service, Instant now);

  Init init_;
  Stats stats_;
  std::unordered_map<ServiceId, Bucket> buckets_;
};

}  // namespace lentilcross
