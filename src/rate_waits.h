#pragma once

#include <functional>
#include <memory>

#include "data_state.h"

namespace lentilcross {

/// Charges requests to the rate of their organisation and lets those wait that
/// find no token while a loan is on its way. Runs on the thread `data`.
class RateWaitQueue {
 public:
  enum class Verdict : std::uint8_t { kAdmitted, kRefused, kDeadline };
  struct Result {
    Verdict verdict = Verdict::kRefused;
    Duration retry_after{};
  };
  using Done = std::function<void(const Result&)>;
  /// Handle of a waiting request. 0 is invalid.
  using Handle = std::uint64_t;

  struct Hooks {
    /// A request began to wait: due loan requests are to be sent now.
    std::function<void()> on_wait;
  };

  RateWaitQueue(DataState& state, Hooks hooks);
  ~RateWaitQueue();

  /// `done` is called once, possibly before this returns; then the result is 0.
  Handle Acquire(OrganisationId organisation, Instant deadline, Done done);
  /// Drops a waiting request without a call of `done`.
  void Cancel(Handle handle);
  /// Lets waiting requests try again, for example after a grant.
  void Retry();

  std::size_t waiting() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
