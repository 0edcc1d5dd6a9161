#include "peer_calls.h"

#include <unordered_map>
#include <utility>

#include "call_replies.h"

namespace lentilcross {
namespace {

struct InboundCall {
  bool to_issuer = false;               ///< For this daemon as ticket issuer.
  PeerCalls::AbortFunction abort_call;  ///< May be null; for issuer calls only.
};

using InboundCallsByNumber = std::unordered_map<CallNumber, InboundCall>;

}  // namespace

struct PeerCalls::Impl : std::enable_shared_from_this<Impl> {
  Impl(DataState& data_state, CallLinks& peer_links, TargetCalls& target_calls,
       IssuerCallHandler issuer)
      : state(data_state),
        links(peer_links),
        targets(target_calls),
        issuer_call(std::move(issuer)) {}

  void OnCall(const LinkPeer& peer, Call&& call) {
    ++state.stats.peer_calls;
    // While this process was paused, the call may have waited in a socket
    // buffer, and its sender may have given it up.
    call.remaining -= state.pauses.MaxReadDelay(state.Now());
    const CallNumber number = call.number;
    auto& calls = by_link[peer.link];
    if (calls.count(number) != 0) return;
    if (call.to_ticket_issuer && !RegisterWithFence(peer, call)) return;
    calls[number].to_issuer = call.to_ticket_issuer;
    links.AddOutstanding(peer.link, 1);
    ReplyHandler done = [weak = weak_from_this(), link = peer.link,
                         number](Reply&& reply) {
      if (auto self = weak.lock())
        self->SendReply(link, number, std::move(reply));
    };
    if (call.to_ticket_issuer) {
      StartIssuerCall(peer, std::move(call), done);
      return;
    }
    const bool accepted =
        targets.Accept(peer.incarnation, std::move(call), {}, std::move(done));
    if (!accepted) Remove(peer.link, number);
  }

  /// Registers a call to the ticket issuer, so that a copy of it is dropped: a
  /// copy would use the ticket again after the reply "not run". Returns false
  /// if the call must not run. `TargetCalls` does the same for other calls.
  bool RegisterWithFence(const LinkPeer& peer, const Call& call) {
    const Instant now = state.Now();
    const DispatchFence::CallKey key{peer.incarnation, call.number};
    const auto received = state.fence.OnCall(key, now + call.remaining, now);
    if (received == DispatchFence::ReceiveResult::kFull) {
      Reply reply =
          MakeUnknownOutcomeReply(call, Reason::kTicketIssuerUnreachable,
                                  "the fence has no room for another call");
      reply.number = call.number;
      links.SendOverLink(peer.link, reply);
    }
    if (received != DispatchFence::ReceiveResult::kNew) return false;
    // From here on another host may run the call, so a later cancel must not be
    // answered with "never run".
    state.fence.BeginWrite(key, now);
    return true;
  }

  void StartIssuerCall(const LinkPeer& peer, Call&& call,
                       const ReplyHandler& done) {
    const CallNumber number = call.number;
    const DispatchFence::CallKey key{peer.incarnation, number};
    AbortFunction abort_call = issuer_call(
        peer, std::move(call), [weak = weak_from_this(), key, done](Reply&& r) {
          if (auto self = weak.lock()) {
            self->state.fence.OnAnswered(key, self->state.Now());
          }
          done(std::move(r));
        });
    const auto link = by_link.find(peer.link);
    if (link == by_link.end()) return;
    const auto it = link->second.find(number);
    if (it != link->second.end()) it->second.abort_call = std::move(abort_call);
  }

  bool Remove(LinkId link, CallNumber number) {
    const auto it = by_link.find(link);
    if (it == by_link.end() || it->second.erase(number) == 0) return false;
    links.AddOutstanding(link, -1);
    return true;
  }

  void SendReply(LinkId link, CallNumber number, Reply&& reply) {
    if (!Remove(link, number)) return;
    reply.number = number;
    if (links.SendOverLink(link, reply)) return;
    // The reply exceeds the message size, or the send queue of the link is
    // full.
    Reply failed;
    failed.number = number;
    failed.refusal =
        MakeRefusal(Reason::kTargetFailed, Outcome::kUnknown,
                    "the response cannot be sent over the peer link");
    links.SendOverLink(link, failed);
  }

  void OnCancel(const LinkPeer& peer, CallNumber number) {
    const auto link = by_link.find(peer.link);
    if (link != by_link.end()) {
      const auto it = link->second.find(number);
      if (it != link->second.end() && it->second.to_issuer) {
        // The reply to the call reports the outcome, so no ack is sent.
        const AbortFunction abort_call = it->second.abort_call;
        if (abort_call) abort_call();
        return;
      }
    }
    const bool never_run = targets.Cancel(peer.incarnation, number);
    Remove(peer.link, number);
    links.SendOverLink(peer.link, CancelAck{number, never_run});
  }

  void OnLinkDown(const LinkPeer& peer) {
    const auto it = by_link.find(peer.link);
    if (it == by_link.end()) return;
    const InboundCallsByNumber calls = std::move(it->second);
    by_link.erase(it);
    for (const auto& [number, inbound] : calls) {
      if (inbound.to_issuer) {
        if (inbound.abort_call) inbound.abort_call();
      } else {
        targets.Cancel(peer.incarnation, number);
      }
    }
  }

  DataState& state;
  CallLinks& links;
  TargetCalls& targets;
  IssuerCallHandler issuer_call;
  std::unordered_map<LinkId, InboundCallsByNumber> by_link;
};

PeerCalls::PeerCalls(DataState& state, CallLinks& links, TargetCalls& targets,
                     IssuerCallHandler issuer_call)
    : impl_(std::make_shared<Impl>(state, links, targets,
                                   std::move(issuer_call))) {}

PeerCalls::~PeerCalls() = default;

void PeerCalls::OnCall(const LinkPeer& peer, Call&& call) {
  impl_->OnCall(peer, std::move(call));
}

void PeerCalls::OnCancel(const LinkPeer& peer, const Cancel& cancel) {
  impl_->OnCancel(peer, cancel.number);
}

void PeerCalls::OnLinkDown(const LinkPeer& peer) { impl_->OnLinkDown(peer); }

std::size_t PeerCalls::running() const {
  std::size_t count = 0;
  for (const auto& [link, calls] : impl_->by_link) count += calls.size();
  return count;
}

}  // namespace lentilcross
