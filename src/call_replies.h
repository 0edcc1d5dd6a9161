#pragma once

#include <string>
#include <vector>

#include "lentilcross/peer_message.h"

namespace lentilcross {

Refusal MakeRefusal(Reason reason, Outcome outcome, std::string detail);

/// Returns a reply that carries a refusal in place of a target's response.
Reply MakeRefusedReply(Reason reason, Outcome outcome, std::string detail);
/// Returns a refusal of a call that is proven not to have run.
Reply MakeNotRunReply(const Call& call, Reason reason, std::string detail);
/// Returns a refusal of a call that may have run.
Reply MakeUnknownOutcomeReply(const Call& call, Reason reason,
                              std::string detail);

inline bool HasTargetResponse(const Reply& reply) {
  return reply.refusal.reason == Reason::kNone;
}
inline bool IsNotRun(const Reply& reply) {
  return !HasTargetResponse(reply) && reply.refusal.outcome == Outcome::kNotRun;
}

/// Merges shedding levels into a list that holds each service once, with its
/// highest level.
void MergeLevels(std::vector<ServiceLevel>& into,
                 const std::vector<ServiceLevel>& levels);

}  // namespace lentilcross
