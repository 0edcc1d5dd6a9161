#include "retry_policy.h"

#include "call_replies.h"
#include "http_types.h"

namespace lentilcross {
namespace {

bool IsShed(const Reply& reply) {
  if (IsAnswer(reply)) return reply.status == 503 || reply.status == 429;
  return reply.refusal.reason == Reason::kOverloaded;
}

/// Reasons that always come with the outcome "not run".
bool MeansNotRun(Reason reason) {
  switch (reason) {
    case Reason::kDeadlineExceeded:
    case Reason::kAttemptsExhausted:
    case Reason::kTicketInUse:
    case Reason::kAlreadyRun:
    case Reason::kTicketIssuerUnreachable:
    case Reason::kTargetFailed:
      return false;
    default:
      return true;
  }
}

}  // namespace

void AttemptHistory::Record(const Reply& reply) {
  ++attempts_;
  if (!IsShed(reply)) only_overloaded_ = false;
  if (!IsNotRun(reply)) proven_not_run_ = false;
}

void AttemptHistory::Judge(Refusal& refusal) const {
  if (retries_ > 0 && refusal.reason != Reason::kOverloaded &&
      refusal.reason != Reason::kDeadlineExceeded &&
      refusal.reason != Reason::kWithdrawnKey) {
    refusal.reason = Reason::kAttemptsExhausted;
  }
  if (proven_not_run_) {
    refusal.outcome = Outcome::kNotRun;
    return;
  }
  refusal.outcome = Outcome::kUnknown;
  if (MeansNotRun(refusal.reason)) refusal.reason = Reason::kAttemptsExhausted;
}

bool IsRetryable(const Reply& reply, bool idempotent) {
  if (reply.attempts_exhausted) return false;
  if (IsAnswer(reply)) return idempotent && reply.status == 503;
  if (!idempotent && !IsNotRun(reply)) return false;
  switch (reply.refusal.reason) {
    case Reason::kOverloaded:
    case Reason::kDraining:
    case Reason::kNotReady:
    case Reason::kNoTarget:
    case Reason::kTargetFailed:
      return true;
    default:
      return false;
  }
}

Router::Observation ObservationOf(const Reply& reply, Reason abort_reason) {
  using Observation = Router::Observation;
  if (IsShed(reply)) return Observation::kShed;
  if (IsAnswer(reply)) {
    return reply.status >= 500 ? Observation::kFailed : Observation::kOk;
  }
  switch (reply.refusal.reason) {
    case Reason::kDraining:
    case Reason::kNotReady:
      return Observation::kRefused;
    case Reason::kDeadlineExceeded:
      return IsNotRun(reply) ? Observation::kShed : Observation::kFailed;
    case Reason::kNoTarget:
    case Reason::kTargetFailed:
      // A caller that went away says nothing about the target.
      return abort_reason == Reason::kNone ? Observation::kFailed
                                           : Observation::kOk;
    default:
      return Observation::kOk;
  }
}

bool IsWellFormed(const Reply& reply) {
  return reply.status >= 200 && reply.status <= 599 &&
         IsWritable(reply.headers);
}

}  // namespace lentilcross
