#include "platform_schedule.h"

#include <algorithm>

#include "lentilcross/peer_message.h"

namespace lentilcross {
namespace {

using Action = ConfigDistributor::PlatformAction;

// The platform allows 2,000 calls/s. If every host reads once in a window of
// 0.6 ms per host, a fleet of any size makes 1,667 calls/s.
constexpr Duration kWindowPerHost = std::chrono::microseconds(600);
// Time after which a call without a result, such as on a lost connection,
// counts as failed. Added to the watch time.
constexpr Duration kCallTimeout = std::chrono::seconds(5);
// Minimum time between the starts of two watches of a host, even if the
// platform responds immediately.
constexpr Duration kMinWatchInterval = std::chrono::milliseconds(250);
// Backoff after a failed watch. A failure domain gets no new version from this
// reader meanwhile, so the limit is well below the time in which a new version
// must be in force.
constexpr Duration kMinWatchBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxWatchBackoff = std::chrono::milliseconds(500);
// If the calls of a standby fail too, the platform is most likely down for all,
// and the readers learn first that it is back. All standbys take over at about
// the same time: at the pace of readers, those of 300 hosts took the calls to
// 149 a second, where 100 are allowed.
constexpr Duration kMinStandbyBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxStandbyBackoff = std::chrono::seconds(4);
constexpr Duration kMaxReadBackoff = std::chrono::seconds(60);
constexpr int kMaxDoublings = 6;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

Duration Backoff(Duration base, Duration limit, int failures, double factor) {
  const int doublings = std::min(failures - 1, kMaxDoublings);
  const Duration grown = base * (std::int64_t{1} << doublings);
  return Scale(std::max(base, std::min(limit, grown)), factor);
}

}  // namespace

void PlatformSchedule::OnCallResult(CallResult result, Instant now) {
  const Action ended = pending_action_;
  const Instant began = call_started_.value_or(now);
  call_started_.reset();
  pending_action_ = Action::kNone;
  if (result != CallResult::kFailed) platform_responded_ = true;
  if (result == CallResult::kFailed || result == CallResult::kIgnored) {
    return Fail(now);
  }
  confirmed_ = now;
  failures_ = 0;
  if (ended == Action::kWatch) {
    watch_not_before_ = began + std::max(kMinWatchInterval, fallback_window_);
  }
  read_not_before_ = now;
}

void PlatformSchedule::OnConfirmedByPeer(Instant at) {
  if (confirmed_ && at <= *confirmed_) return;
  confirmed_ = at;
  // Ages in digests leave out the time on the way, so that gossip moves an old
  // confirmation forward in small steps. Only one from after the last failure
  // says that the platform is back.
  if (at > failed_) failures_ = 0;
}

Action PlatformSchedule::Next(Role role, std::size_t hosts, Instant now,
                              Random& random) {
  if (!started_) Start(now, random);
  if (!hosts_known_ && hosts > 0) hosts_known_ = now;
  if (call_started_) {
    if (now - *call_started_ < init_.watch_wait + kCallTimeout) {
      return Action::kNone;
    }
    OnCallResult(CallResult::kFailed, now);
  }
  window_ = Window(hosts);
  fallback_window_ = role == Role::kFallbackReader
                         ? kWindowPerHost * static_cast<std::int64_t>(hosts)
                         : Duration::zero();
  const bool standby = role == Role::kStandby;
  min_watch_backoff_ = standby ? kMinStandbyBackoff : kMinWatchBackoff;
  max_watch_backoff_ = standby ? kMaxStandbyBackoff : kMaxWatchBackoff;
  if (role != Role::kOther) {
    if (now < watch_not_before_) return Action::kNone;
    return Call(Action::kWatch, now, random);
  }
  if (now < read_not_before_ || !ReadIsDue(hosts, now)) return Action::kNone;
  return Call(Action::kRead, now, random);
}

Duration PlatformSchedule::Age(Instant now) const {
  if (!confirmed_) return kMaxPeerDuration;
  return std::clamp(now - *confirmed_, Duration::zero(), kMaxPeerDuration);
}

Duration PlatformSchedule::RetryDelay(Instant now) const {
  return std::max(Duration::zero(), watch_not_before_ - now);
}

void PlatformSchedule::Start(Instant now, Random& random) {
  started_ = now;
  window_fraction_ = std::uniform_real_distribution<double>(0, 1)(random);
}

Action PlatformSchedule::Call(Action action, Instant now, Random& random) {
  pending_action_ = action;
  call_started_ = now;
  window_fraction_ = std::uniform_real_distribution<double>(0, 1)(random);
  backoff_factor_ = std::uniform_real_distribution<double>(0.5, 1.5)(random);
  return action;
}

bool PlatformSchedule::ReadIsDue(std::size_t hosts, Instant now) const {
  if (!platform_responded_) {
    // Distribute the first reads, since all hosts may have started at once.
    const Instant due =
        *started_ + Scale(2 * init_.startup_wait, window_fraction_);
    if (!hosts_known_) return now >= due;
    const Duration window = kWindowPerHost * static_cast<std::int64_t>(hosts);
    return now >=
           std::min(due, *hosts_known_ + Scale(window, window_fraction_));
  }
  const Instant confirmed = confirmed_.value_or(*started_);
  return now >= confirmed + init_.confirmation_limit +
                    Scale(window_, window_fraction_);
}

Duration PlatformSchedule::Window(std::size_t hosts) const {
  if (hosts == 0) return 2 * init_.startup_wait;
  return std::max(init_.confirmation_limit,
                  kWindowPerHost * static_cast<std::int64_t>(hosts));
}

void PlatformSchedule::Fail(Instant now) {
  ++failures_;
  failed_ = now;
  const Duration longest = std::max(max_watch_backoff_, fallback_window_);
  watch_not_before_ =
      now + Backoff(min_watch_backoff_, longest, failures_, backoff_factor_);
  // Twice the window, so that no host reads again before all have read once.
  read_not_before_ =
      now + Backoff(2 * window_, kMaxReadBackoff, failures_, backoff_factor_);
}

}  // namespace lentilcross
