#include "call_replies.h"

#include <algorithm>
#include <utility>

namespace lentilcross {
namespace {

Reply MakeRefusedCallReply(const Call& call, Reason reason, Outcome outcome,
                           std::string detail) {
  Reply reply = MakeRefusedReply(reason, outcome, std::move(detail));
  reply.number = call.number;
  reply.extra_attempts_left = call.extra_attempts;
  return reply;
}

}  // namespace

Refusal MakeRefusal(Reason reason, Outcome outcome, std::string detail) {
  Refusal refusal;
  refusal.reason = reason;
  refusal.outcome = outcome;
  refusal.detail = std::move(detail);
  return refusal;
}

Reply MakeRefusedReply(Reason reason, Outcome outcome, std::string detail) {
  Reply reply;
  reply.refusal = MakeRefusal(reason, outcome, std::move(detail));
  return reply;
}

Reply MakeNotRunReply(const Call& call, Reason reason, std::string detail) {
  return MakeRefusedCallReply(call, reason, Outcome::kNotRun,
                              std::move(detail));
}

Reply MakeUnknownOutcomeReply(const Call& call, Reason reason,
                              std::string detail) {
  return MakeRefusedCallReply(call, reason, Outcome::kUnknown,
                              std::move(detail));
}

void MergeLevels(std::vector<ServiceLevel>& into,
                 const std::vector<ServiceLevel>& levels) {
  for (const ServiceLevel& level : levels) {
    const auto it =
        std::find_if(into.begin(), into.end(), [&](const ServiceLevel& known) {
          return known.service == level.service;
        });
    if (it == into.end()) {
      into.push_back(level);
    } else {
      it->level = std::max(it->level, level.level);
    }
  }
}

}  // namespace lentilcross
