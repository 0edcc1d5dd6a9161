#include "retry_policy.h"

#include <algorithm>

#include "call_replies.h"
#include "http_types.h"
#include "lentilcross/retry.h"
#include "lentilcross/shedding.h"

namespace lentilcross {
namespace {

bool IsShed(const Reply& reply) {
  if (HasTargetResponse(reply))
    return reply.status == 503 || reply.status == 429;
  return reply.refusal.reason == Reason::kOverloaded;
}

/// True if another target may give a better reply.
bool IsTransient(const Reply& reply) {
  if (HasTargetResponse(reply)) return reply.status == 503;
  switch (reply.refusal.reason) {
    case Reason::kOverloaded:
    case Reason::kDraining:
    case Reason::kNotReady:
    case Reason::kNoTarget:
    case Reason::kTargetFailed:
    case Reason::kHomeUnreachable:
    case Reason::kTargetCold:
      return true;
    default:
      return false;
  }
}

/// Level that the called host stated for its own service. It comes after those
/// of the services that the host called.
std::uint32_t LevelOf(ServiceId service, const Reply& reply) {
  const auto own = std::find_if(
      reply.levels.rbegin(), reply.levels.rend(),
      [&](const ServiceLevel& level) { return level.service == service; });
  return own == reply.levels.rend() ? 0 : own->level;
}

/// True for reasons that are only used with the outcome "not run".
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

void AttemptHistory::CorrectRefusal(Refusal& refusal) const {
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

bool IsRetryable(const Call& call, const Reply& reply) {
  if (!IsTransient(reply)) return false;
  FailedAttempt attempt;
  attempt.failed_downstream = reply.attempts_exhausted;
  attempt.shed = IsShed(reply);
  attempt.may_have_run = !IsNotRun(reply);
  attempt.idempotent = call.idempotent;
  attempt.rank = RankOf(call.context.importance, call.context.id);
  attempt.level = LevelOf(call.service, reply);
  return MayRetryOnOtherTarget(attempt);
}

bool ExhaustsAttempts(const Reply& reply) {
  return !HasTargetResponse(reply) || IsShed(reply) || reply.status >= 500;
}

Router::CallResult CallResultOf(const Reply& reply, Reason abort_reason) {
  using CallResult = Router::CallResult;
  if (IsShed(reply)) return CallResult::kShed;
  if (HasTargetResponse(reply)) {
    // The failure of an onward call is not a failure of the target.
    const bool own = reply.status >= 500 && !reply.attempts_exhausted;
    return own ? CallResult::kFailed : CallResult::kOk;
  }
  switch (reply.refusal.reason) {
    case Reason::kDraining:
    case Reason::kNotReady:
      return CallResult::kRefused;
    case Reason::kHomeUnreachable:
    case Reason::kTargetCold:
    case Reason::kTargetBusy:
      return CallResult::kDeferred;
    case Reason::kDeadlineExceeded:
      return IsNotRun(reply) ? CallResult::kShed : CallResult::kFailed;
    case Reason::kNoTarget:
    case Reason::kTargetFailed:
      // An attempt that this daemon aborted, because its caller went away, says
      // nothing about the target.
      return abort_reason == Reason::kNone ? CallResult::kFailed
                                           : CallResult::kOk;
    default:
      return CallResult::kOk;
  }
}

bool IsWellFormed(const Reply& reply) {
  return reply.status >= 200 && reply.status <= 599 &&
         IsSafeToSerialise(reply.headers);
}

}  // namespace lentilcross
