#pragma once

#include <memory>

#include "data_state.h"
#include "outgoing_calls.h"
#include "peer_calls.h"

namespace lentilcross {

/// Reply for a ticket that may not run now: `use.reason` is not `kNone`.
Reply ReplyToRejectedTicket(const TicketStore::Use& use);

/// Response of the ticket endpoint with `count` new tickets.
HttpResponse IssueTickets(TicketStore& tickets, OrganisationId organisation,
                          int count, Instant now);

/// Records how the run of a claimed ticket ended.
void FinishTicket(TicketStore& tickets, std::uint64_t serial,
                  const Reply& reply);

/// Requests that other daemons forward to this one as issuer of their ticket.
/// Runs on the thread `data`.
class TicketCalls {
 public:
  TicketCalls(DataState& state, OutgoingCalls& outgoing)
      : state_(state), outgoing_(outgoing) {}

  PeerCalls::AbortFunction OnCall(const LinkPeer& peer, Call&& call,
                                  PeerCalls::ReplyHandler done);

 private:
  DataState& state_;
  OutgoingCalls& outgoing_;
};

}  // namespace lentilcross
