#include "lentilcross/dispatch.h"

#include <algorithm>

namespace lentilcross {

bool DispatchFence::IsForgotten(const CallKey& key) const {
  const auto it = forgotten_up_to_.find(key.origin);
  return it != forgotten_up_to_.end() && key.number.value() <= it->second;
}

void DispatchFence::RenewExpiry(const CallKey& key, Entry& entry, Instant now) {
  entry.updated_at = now;
  expiries_.push_back({key, now});
}

DispatchFence::ReceiveResult DispatchFence::OnCall(const CallKey& key,
                                                   Instant deadline,
                                                   Instant now) {
  if (const auto it = calls_.find(key); it != calls_.end()) {
    if (it->second.state == State::kFenced) return ReceiveResult::kFenced;
    ++stats_.duplicates;
    return ReceiveResult::kDuplicate;
  }
  if (IsForgotten(key)) {
    ++stats_.duplicates;
    return ReceiveResult::kDuplicate;
  }
  if (calls_.size() >= init_.max_calls) {
    ++stats_.refused_full;
    return ReceiveResult::kFull;
  }
  ++stats_.received;
  Entry& entry = calls_[key];
  entry.deadline = deadline;
  RenewExpiry(key, entry, now);
  return ReceiveResult::kNew;
}

bool DispatchFence::BeginWrite(const CallKey& key, Instant now) {
  const auto it = calls_.find(key);
  if (it == calls_.end() || it->second.state != State::kQueued) return false;
  if (now >= it->second.deadline) {
    // The caller has given up: a write now could run a call that it believes
    // was not run.
    it->second.state = State::kFenced;
    ++stats_.expired_before_write;
    return false;
  }
  it->second.state = State::kWriting;
  return true;
}

void DispatchFence::WriteFailedUnsent(const CallKey& key) {
  const auto it = calls_.find(key);
  if (it == calls_.end() || it->second.state != State::kWriting) return;
  it->second.state = State::kQueued;
}

void DispatchFence::OnAnswered(const CallKey& key, Instant now) {
  const auto it = calls_.find(key);
  if (it == calls_.end() || it->second.state != State::kWriting) return;
  it->second.state = State::kAnswered;
  RenewExpiry(key, it->second, now);
}

DispatchFence::CancelResult DispatchFence::OnCancel(const CallKey& key,
                                                    Instant now) {
  if (const auto it = calls_.find(key); it != calls_.end()) {
    State& state = it->second.state;
    if (state == State::kWriting || state == State::kAnswered) {
      return CancelResult::kMayHaveRun;
    }
    if (state == State::kQueued) ++stats_.fenced;
    state = State::kFenced;
    return CancelResult::kNeverRun;
  }
  // Without a record of the call, a write before or after the cancel cannot be
  // ruled out.
  if (IsForgotten(key)) return CancelResult::kMayHaveRun;
  if (calls_.size() >= init_.max_calls) return CancelResult::kMayHaveRun;
  Entry& entry = calls_[key];
  entry.state = State::kFenced;
  RenewExpiry(key, entry, now);
  ++stats_.fenced;
  return CancelResult::kNeverRun;
}

void DispatchFence::Forget(const CallKey& key) {
  calls_.erase(key);
  if (forgotten_up_to_.size() >= init_.max_origins &&
      forgotten_up_to_.count(key.origin) == 0) {
    forgotten_up_to_.erase(forgotten_up_to_.begin());
  }
  std::uint64_t& up_to = forgotten_up_to_[key.origin];
  up_to = std::max(up_to, key.number.value());
}

void DispatchFence::Tick(Instant now) {
  while (!expiries_.empty() &&
         now - expiries_.front().updated_at > init_.retention) {
    const Expiry expiry = expiries_.front();
    expiries_.pop_front();
    const auto it = calls_.find(expiry.key);
    if (it == calls_.end() || it->second.updated_at != expiry.updated_at) {
      continue;
    }
    // Keep a running call: a cancel of it must not be answered "never run".
    if (it->second.state == State::kWriting) {
      RenewExpiry(expiry.key, it->second, now);
      continue;
    }
    Forget(expiry.key);
  }
}

}  // namespace lentilcross
