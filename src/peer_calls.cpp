#include "peer_calls.h"

#include <unordered_map>
#include <utility>

#include "call_replies.h"

namespace lentilcross {
namespace {

struct Inbound {
  bool to_issuer = false;
  PeerCalls::AbortFunction stop;
};

using InboundByNumber = std::unordered_map<CallNumber, Inbound>;

}  // namespace

struct PeerCalls::Impl : std::enable_shared_from_this<Impl> {
  Impl(DataState& data_state, CallLinks& peer_links, TargetCalls& target_calls,
       IssuerCall issuer)
      : state(data_state),
        links(peer_links),
        targets(target_calls),
        issuer_call(std::move(issuer)) {}

  void OnCall(const LinkPeer& peer, Call&& call) {
    ++state.stats.peer_calls;
    // The sender may have given a call up that waited while this process did
    // not run.
    call.remaining -= state.pauses.LongestWait(state.Now());
    const CallNumber number = call.number;
    auto& calls = by_link[peer.link];
    if (calls.count(number) != 0) return;
    if (call.to_ticket_issuer && !PassFence(peer, call)) return;
    calls[number].to_issuer = call.to_ticket_issuer;
    links.AddOutstanding(peer.link, 1);
    ReplyHandler done = [weak = weak_from_this(), link = peer.link,
                         number](Reply&& reply) {
      if (auto self = weak.lock()) self->Answer(link, number, std::move(reply));
    };
    if (call.to_ticket_issuer) {
      StartIssuerCall(peer, std::move(call), done);
      return;
    }
    const bool taken =
        targets.Accept(peer.incarnation, std::move(call), {}, std::move(done));
    if (!taken) Remove(peer.link, number);
  }

  /// A copy of a call would use the ticket again after the answer "not run".
  /// Calls for a target pass the fence in `TargetCalls`.
  bool PassFence(const LinkPeer& peer, const Call& call) {
    const Instant now = state.Now();
    const DispatchFence::CallKey key{peer.incarnation, call.number};
    const auto received = state.fence.OnCall(key, now + call.remaining, now);
    if (received == DispatchFence::Received::kFull) {
      Reply reply = Unknown(call, Reason::kTicketIssuerUnreachable,
                            "too many calls remembered");
      reply.number = call.number;
      links.SendOverLink(peer.link, reply);
    }
    if (received != DispatchFence::Received::kNew) return false;
    // Another host may run it from here on, which a late cancel must not deny.
    state.fence.BeginWrite(key, now);
    return true;
  }

  void StartIssuerCall(const LinkPeer& peer, Call&& call,
                       const ReplyHandler& done) {
    const CallNumber number = call.number;
    const DispatchFence::CallKey key{peer.incarnation, number};
    AbortFunction stop = issuer_call(
        peer, std::move(call), [weak = weak_from_this(), key, done](Reply&& r) {
          if (auto self = weak.lock()) {
            self->state.fence.OnAnswered(key, self->state.Now());
          }
          done(std::move(r));
        });
    const auto link = by_link.find(peer.link);
    if (link == by_link.end()) return;
    const auto it = link->second.find(number);
    if (it != link->second.end()) it->second.stop = std::move(stop);
  }

  bool Remove(LinkId link, CallNumber number) {
    const auto it = by_link.find(link);
    if (it == by_link.end() || it->second.erase(number) == 0) return false;
    links.AddOutstanding(link, -1);
    return true;
  }

  void Answer(LinkId link, CallNumber number, Reply&& reply) {
    if (!Remove(link, number)) return;
    reply.number = number;
    if (links.SendOverLink(link, reply)) return;
    // The reply does not fit a message or the queue of the link.
    Reply failed;
    failed.number = number;
    failed.refusal = MakeRefusal(Reason::kTargetFailed, Outcome::kUnknown,
                                 "the answer cannot be sent");
    links.SendOverLink(link, failed);
  }

  void OnCancel(const LinkPeer& peer, CallNumber number) {
    const auto link = by_link.find(peer.link);
    if (link != by_link.end()) {
      const auto it = link->second.find(number);
      if (it != link->second.end() && it->second.to_issuer) {
        // The reply tells the outcome.
        const AbortFunction stop = it->second.stop;
        if (stop) stop();
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
    const InboundByNumber calls = std::move(it->second);
    by_link.erase(it);
    for (const auto& [number, inbound] : calls) {
      if (inbound.to_issuer) {
        if (inbound.stop) inbound.stop();
      } else {
        targets.Cancel(peer.incarnation, number);
      }
    }
  }

  DataState& state;
  CallLinks& links;
  TargetCalls& targets;
  IssuerCall issuer_call;
  std::unordered_map<LinkId, InboundByNumber> by_link;
};

PeerCalls::PeerCalls(DataState& state, CallLinks& links, TargetCalls& targets,
                     IssuerCall issuer_call)
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
