#include "lentilcross/retry.h"

#include <algorithm>
#include <utility>

namespace lentilcross {

std::uint16_t AttemptAllowance::TakeAll() {
  return std::exchange(extra_attempts_, std::uint16_t{0});
}

std::uint16_t AttemptAllowance::TakeHalf() {
  const auto half = static_cast<std::uint16_t>((extra_attempts_ + 1) / 2);
  extra_attempts_ = static_cast<std::uint16_t>(extra_attempts_ - half);
  return half;
}

void AttemptAllowance::ReturnUnused(std::uint16_t unused, std::uint16_t taken) {
  // A reply that claims more than its call took must not add attempts.
  const std::uint16_t returned = std::min(unused, taken);
  extra_attempts_ = static_cast<std::uint16_t>(extra_attempts_ + returned);
}

bool AttemptAllowance::TryConsume() {
  if (extra_attempts_ == 0) return false;
  --extra_attempts_;
  return true;
}

bool MayRetryOnOtherTarget(const FailedAttempt& attempt) {
  // The hop next to the failure has already retried. Retries at further hops
  // would multiply.
  if (attempt.failed_downstream) return false;
  if (attempt.may_have_run && !attempt.idempotent) return false;
  // The other targets would refuse a request below the level, too.
  return !attempt.shed || attempt.rank >= attempt.level;
}

RetryBudget::Bucket& RetryBudget::Refill(ServiceId service, Instant now) {
  const auto [it, is_new] = buckets_.try_emplace(service);
  Bucket& bucket = it->second;
  if (is_new) bucket.refilled_at = now;
  if (now > bucket.refilled_at) {
    const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
    bucket.tokens += init_.floor_per_second * elapsed.count();
    bucket.refilled_at = now;
  }
  bucket.tokens = std::min(bucket.tokens, init_.capacity);
  return bucket;
}

void RetryBudget::RecordFirstAttempt(ServiceId service, Instant now) {
  ++stats_.first_attempts;
  Bucket& bucket = Refill(service, now);
  bucket.tokens = std::min(bucket.tokens + init_.ratio, init_.capacity);
}

bool RetryBudget::TryRetry(ServiceId service, Instant now) {
  // Ten additions of 0.1 give slightly less than 1.
  constexpr double kRoundingError = 1e-9;
  Bucket& bucket = Refill(service, now);
  if (bucket.tokens < 1 - kRoundingError) {
    ++stats_.denied;
    return false;
  }
  bucket.tokens = std::max(0.0, bucket.tokens - 1);
  ++stats_.retries;
  return true;
}

}  // namespace lentilcross
