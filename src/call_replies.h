#pragma once

#include <string>
#include <vector>

#include "lentilcross/peer_message.h"

namespace lentilcross {

Refusal MakeRefusal(Reason reason, Outcome outcome, std::string detail);

/// Reply without an answer of a target.
Reply Refused(Reason reason, Outcome outcome, std::string detail);
/// Reply to a call that is proven not to have run.
Reply MakeNotRunReply(const Call& call, Reason reason, std::string detail);
/// Reply to a call that may have run.
Reply Unknown(const Call& call, Reason reason, std::string detail);

inline bool HasTargetResponse(const Reply& reply) {
  return reply.refusal.reason == Reason::kNone;
}
inline bool IsNotRun(const Reply& reply) {
  return !HasTargetResponse(reply) && reply.refusal.outcome == Outcome::kNotRun;
}

/// Adds levels to a list that holds each service once, with its highest level.
void MergeLevels(std::vector<ServiceLevel>& into,
                 const std::vector<ServiceLevel>& levels);

}  // namespace lentilcross
