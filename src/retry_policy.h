#pragma once

#include "lentilcross/error.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/routing.h"

namespace lentilcross {

/// What the attempts of one request have proved so far.
class AttemptHistory {
 public:
  void Record(const Reply& reply);
  void AddRetry() { ++retries_; }

  /// True if there were attempts and each of them was refused as overloaded.
  bool only_overloaded() const { return attempts_ > 0 && only_overloaded_; }
  /// Corrects the last refusal by what earlier attempts left unproven.
  void CorrectRefusal(Refusal& refusal) const;

 private:
  int attempts_ = 0;
  int retries_ = 0;
  bool only_overloaded_ = true;
  bool proven_not_run_ = true;
};

/// True if another attempt may be made after this reply to `call`, as far as
/// the reply decides it.
bool IsRetryable(const Call& call, const Reply& reply);

/// True if the hops above must not retry after this reply, because this hop was
/// next to the failure.
bool ExhaustsAttempts(const Reply& reply);

/// What the router learns from a reply. `abort_reason` is not `kNone` if this
/// daemon ended the attempt itself.
Router::CallResult CallResultOf(const Reply& reply, Reason abort_reason);

/// True if status and headers of an answer can be passed on.
bool IsWellFormed(const Reply& reply);

}  // namespace lentilcross
