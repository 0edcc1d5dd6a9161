#pragma once

#include <memory>

#include "data_state.h"
#include "outgoing_calls.h"
#include "peer_calls.h"

namespace lentilcross {

/// Reply for a failed claim: `use.reason` is not `kNone`. Returns the kept
/// answer if there is one.
Reply ReplyToRejectedTicket(const TicketStore::Use& use);

/// Issues `count` tickets and returns the response of the ticket endpoint.
HttpResponse IssueTickets(TicketStore& tickets, OrganisationId organisation,
                          int count, Instant now);

/// Records the result of the request that claimed a ticket.
void FinishTicket(TicketStore& tickets, std::uint64_t serial,
                  const Reply& reply);

/// Runs requests that other daemons forward to this one because it issued their
/// ticket. Used on the `data` thread.
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
