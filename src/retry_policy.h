#pragma once

#include "lentilcross/error.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/routing.h"

namespace lentilcross {

/// Results of the attempts of one request so far.
class AttemptHistory {
 public:
  void Record(const Reply& reply);
  void AddRetry() { ++retries_; }

  /// True if there were attempts and all of them were refused as overloaded.
  bool only_overloaded() const { return attempts_ > 0 && only_overloaded_; }
  /// Adapts reason and outcome of the last refusal to the earlier attempts:
  /// "not run" needs all attempts to be known as not run.
  void CorrectRefusal(Refusal& refusal) const;

 private:
  int attempts_ = 0;
  int retries_ = 0;
  bool only_overloaded_ = true;
  bool proven_not_run_ = true;
};

/// True if this reply to `call` permits another attempt. Allowance and budget
/// are not checked.
bool IsRetryable(const Call& call, const Reply& reply);

/// True if earlier hops must not retry after this reply, because this hop was
/// next to the failure.
bool ExhaustsAttempts(const Reply& reply);

/// Result that the router records for a reply. `abort_reason` is not `kNone` if
/// this daemon aborted the attempt.
Router::CallResult CallResultOf(const Reply& reply, Reason abort_reason);

/// True if status and headers of an answer can be forwarded.
bool IsWellFormed(const Reply& reply);

}  // namespace lentilcross
