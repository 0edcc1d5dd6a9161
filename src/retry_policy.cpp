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
      return true;
    default:
      return false;
  }
}

/// Level that the called host stated for its own service: it adds that after
/// those of the services behind it.
std::uint32_t LevelOf(ServiceId service, const Reply& reply) {
  const auto own = std::find_if(
      reply.levels.rbegin(), reply.levels.rend(),
      [&](const ServiceLevel& level) { return level.service == service; });
  return own == reply.levels.rend() ? 0 : own->level;
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

bool IsRetryable(const Call& call, const Reply& reply) {
  if (!IsTransient(reply)) return false;
  FailedAttempt attempt;
  attempt.behind = reply.attempts_exhausted;
  attempt.shed = IsShed(reply);
  attempt.may_have_run = !IsNotRun(reply);
  attempt.idempotent = call.idempotent;
  attempt.rank = RankOf(call.context.importance, call.context.id);
  attempt.level = LevelOf(call.service, reply);
  return MayTryElsewhere(attempt);
}

bool ExhaustsAttempts(const Reply& reply) {
  return !HasTargetResponse(reply) || IsShed(reply) || reply.status >= 500;
}

Router::Observation ObservationOf(const Reply& reply, Reason abort_reason) {
  using Observation = Router::Observation;
  if (IsShed(reply)) return Observation::kShed;
  if (HasTargetResponse(reply)) {
    // A failure of a service behind the target is none of its own.
    const bool own = reply.status >= 500 && !reply.attempts_exhausted;
    return own ? Observation::kFailed : Observation::kOk;
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
