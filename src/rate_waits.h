#pragma once

#include <functional>
#include <memory>

#include "data_state.h"

namespace lentilcross {

/// Takes a rate token for each request. Requests that find no token wait while
/// the rate limiter borrows from other hosts. Runs on the thread `data`.
class RateWaitQueue {
 public:
  enum class Verdict : std::uint8_t { kAdmitted, kRefused, kDeadline };
  struct Result {
    Verdict verdict = Verdict::kRefused;
    Duration retry_after{};
  };
  using Done = std::function<void(const Result&)>;
  /// Identifies a waiting request; 0 is invalid.
  using Handle = std::uint64_t;

  struct Hooks {
    /// Called when a request starts to wait, to send the due loan requests.
    std::function<void()> on_wait;
  };

  RateWaitQueue(DataState& state, Hooks hooks);
  ~RateWaitQueue();

  /// Calls `done` once. If it does so before it returns, the handle is 0.
  Handle Acquire(OrganisationId organisation, Instant deadline, Done done);
  /// Removes a waiting request without calling `done`.
  void Cancel(Handle handle);
  /// Retries the waiting requests, for example after a grant.
  void Retry();

  std::size_t waiting() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
