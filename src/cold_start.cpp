#include "lentilcross/cold_start.h"

#include <algorithm>

namespace lentilcross {
namespace {

// The rate is counted over any span of this length. A token bucket would let a
// burst through on top of the rate.
constexpr Duration kWindow = std::chrono::seconds(1);

}  // namespace

void ColdStartLimit::Configure(double rate, Duration duration) {
  rate_ = rate;
  duration_ = duration;
}

void ColdStartLimit::OnRegistration(Duration left, Instant now) {
  limited_until_ = std::max(limited_until_, now + left);
}

void ColdStartLimit::OnHealth(Duration left, Instant now) {
  in_doubt_ = false;
  limited_until_ = now + left;
}

void ColdStartLimit::OnDoubt(Instant now) {
  if (rate_ <= 0) return;
  ++stats_.doubts;
  in_doubt_ = true;
  limited_until_ = std::max(limited_until_, now + duration_);
}

Duration ColdStartLimit::Remaining(Instant now) const {
  return IsLimited(now) ? limited_until_ - now : Duration::zero();
}

std::size_t ColdStartLimit::bound() const {
  return std::max<std::size_t>(1, static_cast<std::size_t>(rate_));
}

bool ColdStartLimit::HasRoom(Instant now) {
  if (!IsLimited(now)) return true;
  while (!starts_.empty() && starts_.front() <= now - kWindow) {
    starts_.pop_front();
  }
  return starts_.size() < bound();
}

bool ColdStartLimit::TryStart(Instant now) {
  if (rate_ <= 0) return true;
  if (!HasRoom(now)) return false;
  if (IsLimited(now)) ++stats_.starts;
  // Calls to a warm target are counted as well: it may turn cold right after
  // them. More than the bound need not be remembered.
  if (starts_.size() >= bound()) starts_.pop_front();
  starts_.push_back(now);
  return true;
}

}  // namespace lentilcross
