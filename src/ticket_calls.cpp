#include "ticket_calls.h"

#include <string>
#include <utility>
#include <vector>

#include "call_replies.h"
#include "http_types.h"
#include "request_rules.h"

namespace lentilcross {
namespace {

Outcome TicketOutcome(Reason reason) {
  const bool not_run =
      reason == Reason::kTicketInvalid || reason == Reason::kOverloaded;
  return not_run ? Outcome::kNotRun : Outcome::kUnknown;
}

OutgoingRequest MakeOutgoingRequest(Call&& call, Instant now) {
  OutgoingRequest out;
  out.context = call.context;
  out.route = call.route;
  out.service = call.service;
  out.request.method = std::move(call.method);
  out.request.target = std::move(call.path);
  out.request.headers = std::move(call.headers);
  out.request.body = std::move(call.body);
  out.deadline = now + call.remaining;
  out.idempotent = false;
  out.extra_attempts = call.extra_attempts;
  return out;
}

}  // namespace

Reply ReplyToRejectedTicket(const TicketStore::Use& use) {
  Reply reply;
  if (use.reason == Reason::kAlreadyRun && use.answer) {
    reply.status = use.answer->status;
    reply.body = use.answer->body;
    if (!use.answer->content_type.empty()) {
      reply.headers.emplace_back(header::kContentType,
                                 use.answer->content_type);
    }
    return reply;
  }
  reply.refusal = MakeRefusal(use.reason, TicketOutcome(use.reason),
                              "the ticket cannot be used now");
  return reply;
}

HttpResponse IssueTickets(TicketStore& tickets, OrganisationId organisation,
                          int count, Instant now) {
  std::vector<std::string> issued;
  issued.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    issued.push_back(tickets.Issue(organisation, now));
  }
  return MakeTicketResponse(issued, TicketStore::Init{}.lifetime);
}

void FinishTicket(TicketStore& tickets, std::uint64_t serial,
                  const Reply& reply) {
  if (IsNotRun(reply)) {
    tickets.Free(serial);
    return;
  }
  if (!HasTargetResponse(reply)) {
    tickets.FinishUnknown(serial);
    return;
  }
  TicketStore::Answer answer;
  answer.status = reply.status;
  answer.content_type = FindHeader(reply.headers, header::kContentType);
  answer.body = reply.body;
  tickets.Finish(serial, std::move(answer));
}

PeerCalls::AbortFunction TicketCalls::OnCall(const LinkPeer&, Call&& call,
                                             PeerCalls::ReplyHandler done) {
  const Instant now = state_.Now();
  const std::string ticket(FindHeader(call.headers, header::kIdempotencyKey));
  const TicketStore::Use use =
      state_.tickets.Claim(ticket, call.context.organisation, call.route, now);
  if (use.reason != Reason::kNone) {
    done(ReplyToRejectedTicket(use));
    return nullptr;
  }
  if (state_.draining) {
    state_.tickets.Free(use.serial);
    done(MakeNotRunReply(call, Reason::kDraining, "daemon is draining"));
    return nullptr;
  }
  const auto handle = outgoing_.Start(
      MakeOutgoingRequest(std::move(call), now),
      [this, serial = use.serial, done = std::move(done)](Reply&& reply) {
        FinishTicket(state_.tickets, serial, reply);
        done(std::move(reply));
      });
  return [this, handle] { outgoing_.Abort(handle, Reason::kDeadlineExceeded); };
}

}  // namespace lentilcross
