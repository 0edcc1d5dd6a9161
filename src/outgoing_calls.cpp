#include "outgoing_calls.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include "call_replies.h"
#include "lentilcross/home_regions.h"
#include "retry_policy.h"

namespace lentilcross {
namespace {

/// Time to wait for the `CancelAck` of a peer: the longest round trip that the
/// design assumes (16 ms), plus a margin.
constexpr Duration kCancelAckTimeout = std::chrono::milliseconds(50);

enum class Phase : std::uint8_t {
  kConnecting,  ///< Waits for a link; nothing was sent.
  kLocal,       ///< At a target on this host.
  kPeer,        ///< Sent to a peer.
  kCancelling,  ///< A cancel was sent to the peer.
  kEnded,
};

struct Outgoing {
  Outgoing(Scheduler& scheduler, OutgoingRequest&& outgoing)
      : request(std::move(outgoing)),
        allowance(request.extra_attempts),
        timer(scheduler.MakeTimer()) {}

  OutgoingCalls::Handle handle = 0;
  OutgoingRequest request;
  OutgoingCalls::Done done;
  AttemptAllowance allowance;
  std::unique_ptr<Timer> timer;
  AttemptHistory history;
  std::vector<TargetId> tried;
  std::vector<ServiceLevel> levels;
  Reason abort_reason = Reason::kNone;
  bool moved = false;  ///< A target without room handed the call back.

  // The attempt in progress.
  Phase phase = Phase::kEnded;
  Call call;
  TargetId target;
  HostId host;
  LinkId link = 0;
  Instant started{};
};

CallKind KindOf(const OutgoingRequest& request) {
  return {request.service, request.route, request.context.importance,
          request.target_latency};
}

using OutgoingPtr = std::shared_ptr<Outgoing>;

}  // namespace

struct OutgoingCalls::Impl : std::enable_shared_from_this<Impl> {
  Impl(DataState& data_state, CallLinks& peer_links, TargetCalls& target_calls)
      : state(data_state), links(peer_links), targets(target_calls) {}

  // ----- Attempts

  Handle Start(OutgoingRequest request, Done done) {
    auto out = std::make_shared<Outgoing>(state.scheduler, std::move(request));
    out->handle = ++last_handle;
    out->done = std::move(done);
    by_handle[out->handle] = out;
    state.retry.RecordFirstAttempt(out->request.service, state.Now());
    SetTimer(out, out->request.deadline);
    if (out->request.issuer) {
      SendToIssuer(out);
    } else {
      Attempt(out);
    }
    return out->handle;
  }

  void Attempt(const OutgoingPtr& out) {
    const Instant now = state.Now();
    if (now >= out->request.deadline) {
      FinishRefused(out, Reason::kDeadlineExceeded, "deadline passed");
      return;
    }
    const HomeRegions& homes = out->request.context.home_regions;
    const auto pick =
        state.router.Choose(KindOf(out->request), state.membership, out->tried,
                            now, state.random, homes);
    if (!pick) {
      if (homes.empty()) {
        FinishRefused(out, Reason::kNoTarget,
                      "no usable target of the service");
      } else {
        FinishRefused(out, Reason::kHomeUnreachable,
                      "no usable target in the home regions " +
                          RegionNames(homes, *state.configuration));
      }
      return;
    }
    const bool already_tried = std::find(out->tried.begin(), out->tried.end(),
                                         pick->target) != out->tried.end();
    if (already_tried && out->history.only_overloaded()) {
      FinishRefused(out, Reason::kOverloaded, "all targets are overloaded");
      return;
    }
    if (!already_tried) out->tried.push_back(pick->target);
    CallTarget(out, pick->target, pick->host, now);
  }

  void CallTarget(const OutgoingPtr& out, TargetId target, HostId host,
                  Instant now) {
    out->target = target;
    out->host = host;
    out->started = now;
    state.router.OnStart(target);
    PrepareCall(out, now);
    if (out->host == state.self) {
      CallLocally(out);
    } else {
      CallPeer(out);
    }
  }

  void PrepareCall(const OutgoingPtr& out, Instant now) {
    const OutgoingRequest& request = out->request;
    Call& call = out->call;
    call.number = state.NextCall();
    call.context = request.context;
    call.route = request.route;
    call.service = request.service;
    call.method = request.request.method;
    call.path = request.request.target;
    call.headers = request.request.headers;
    call.body = request.request.body;
    call.remaining = request.deadline - now;
    // Half of the extra attempts stay here, so that this hop can still retry if
    // the reply, and with it the other half, is lost. The sum never grows.
    call.extra_attempts =
        request.issuer ? out->allowance.TakeAll() : out->allowance.TakeHalf();
    call.idempotent = request.idempotent;
    call.open = request.open;
    call.may_hand_back =
        !request.issuer && !out->moved &&
        state.hand_backs.Allows(request.service, request.request.body.size(),
                                state.random);
    call.to_ticket_issuer = request.issuer.has_value();
  }

  void CallLocally(const OutgoingPtr& out) {
    out->phase = Phase::kLocal;
    TargetCalls::Options options;
    options.local = true;
    options.key = out->request.key;
    const CallNumber number = out->call.number;
    const bool accepted =
        targets.Accept(state.incarnation, out->call, options,
                       [weak = weak_from_this(), out, number](Reply&& reply) {
                         auto self = weak.lock();
                         if (!self || out->phase == Phase::kEnded) return;
                         if (out->call.number == number)
                           self->EndAttempt(out, reply);
                       });
    if (!accepted) {
      EndAttempt(out, MakeNotRunReply(out->call, Reason::kOverloaded,
                                      "duplicate call number"));
    }
  }

  void CallPeer(const OutgoingPtr& out) {
    out->link = links.Find(out->host);
    if (out->link != 0) {
      SendCall(out);
      return;
    }
    out->phase = Phase::kConnecting;
    connecting[out->host].push_back(out);
    if (!links.Connect(out->host)) OnUnreachable(out->host);
  }

  void SendCall(const OutgoingPtr& out) {
    if (!state.StillAdmits(out->request.key, out->request.route)) {
      EndAttempt(out, MakeNotRunReply(out->call, Reason::kWithdrawnKey,
                                      "API key withdrawn"));
      return;
    }
    const Instant now = state.Now();
    out->call.remaining = out->request.deadline - now;
    if (out->call.remaining <= Duration::zero()) {
      EndAttempt(out,
                 MakeNotRunReply(out->call, Reason::kDeadlineExceeded,
                                 "deadline passed before the call was sent"));
      return;
    }
    out->phase = Phase::kPeer;
    if (!links.SendOverLink(out->link, out->call)) {
      EndAttempt(out, MakeNotRunReply(
                          out->call, Reason::kOverloaded,
                          "the peer link is down or its send queue is full"));
      return;
    }
    links.AddOutstanding(out->link, 1);
    by_number[out->call.number] = out;
  }

  void SendToIssuer(const OutgoingPtr& out) {
    out->host = out->request.issuer->host;
    out->started = state.Now();
    PrepareCall(out, out->started);
    if (!MayHoldBody(out)) {
      EndAttempt(
          out, AdjustForIssuer(
                   out, MakeNotRunReply(out->call, Reason::kHomeUnreachable,
                                        "the ticket issuer is outside the home "
                                        "regions of the request")));
      return;
    }
    CallPeer(out);
  }

  /// Whether the body may be sent to the host of the ticket issuer, which only
  /// passes it on.
  bool MayHoldBody(const OutgoingPtr& out) const {
    const HomeRegions& homes = out->request.context.home_regions;
    if (homes.empty()) return true;
    const RegionId region = RegionOf(out->host, *state.configuration);
    return region == RegionOf(state.failure_domain, *state.configuration) ||
           AllowsRegion(homes, region);
  }

  /// Returns false if the request needs the issuer of its ticket, and the link
  /// leads to another process.
  bool IsExpectedPeer(const OutgoingPtr& out, LinkId link) const {
    if (!out->request.issuer) return true;
    const LinkPeer* peer = links.FindPeer(link);
    return peer != nullptr &&
           peer->incarnation == out->request.issuer->incarnation;
  }

  // ----- End of an attempt

  void Detach(const OutgoingPtr& out) {
    if (out->phase == Phase::kPeer || out->phase == Phase::kCancelling) {
      if (by_number.erase(out->call.number) != 0) {
        links.AddOutstanding(out->link, -1);
      }
    }
    out->phase = Phase::kEnded;
    out->link = 0;
  }

  void EndAttempt(const OutgoingPtr& out, Reply reply) {
    const bool cancelling = out->phase == Phase::kCancelling;
    Detach(out);
    out->allowance.ReturnUnused(reply.extra_attempts_left,
                                out->call.extra_attempts);
    MergeLevels(out->levels, reply.levels);
    if (!out->request.issuer) {
      const Instant now = state.Now();
      state.router.OnEnd(out->target, KindOf(out->request),
                         CallResultOf(reply, out->abort_reason),
                         now - out->started, now);
      if (reply.refusal.reason == Reason::kTargetCold) {
        state.router.OnCold(out->target, reply.refusal.retry_after, now);
      }
    }
    if (Move(out, reply)) return;
    out->history.Record(reply);
    if (cancelling && !HasTargetResponse(reply)) {
      reply.refusal.reason = out->abort_reason;
      Finish(out, std::move(reply));
      return;
    }
    if (!MayRetry(out, reply)) {
      Finish(out, std::move(reply));
      return;
    }
    ++state.stats.retries;
    out->history.AddRetry();
    Attempt(out);
  }

  /// Tries another target if the call was handed back for want of room. The
  /// target got nothing, so that this is no retry: it is free, but happens only
  /// once.
  bool Move(const OutgoingPtr& out, const Reply& reply) {
    const bool handed_back = reply.refusal.reason == Reason::kTargetBusy;
    if (out->moved && !handed_back) {
      state.hand_backs.Record(out->request.service,
                              HasTargetResponse(reply) && !reply.waited);
    }
    if (!handed_back || out->moved || out->abort_reason != Reason::kNone) {
      return false;
    }
    out->moved = true;
    state.router.OnBusy(out->target);
    Attempt(out);
    return true;
  }

  bool MayRetry(const OutgoingPtr& out, const Reply& reply) {
    if (out->request.issuer || out->abort_reason != Reason::kNone) return false;
    if (!IsRetryable(out->call, reply)) return false;
    const Instant now = state.Now();
    if (now >= out->request.deadline) return false;
    if (out->allowance.extra_attempts() == 0) return false;
    // A daemon that stops, or whose target is cold, refuses a sender only until
    // the sender has learned of it, and the target gets nothing. So these
    // retries cannot add up to an overload and are not charged to the retry
    // budget.
    const Reason reason = reply.refusal.reason;
    const bool not_serving = reason == Reason::kDraining ||
                             reason == Reason::kNotReady ||
                             reason == Reason::kTargetCold;
    return (not_serving || state.retry.TryRetry(out->request.service, now)) &&
           out->allowance.TryConsume();
  }

  void FinishRefused(const OutgoingPtr& out, Reason reason,
                     std::string detail) {
    Finish(out, MakeRefusedReply(reason, Outcome::kNotRun, std::move(detail)));
  }

  void Finish(const OutgoingPtr& out, Reply reply) {
    out->timer->Stop();
    by_handle.erase(out->handle);
    if (!HasTargetResponse(reply) && !out->request.issuer) {
      out->history.CorrectRefusal(reply.refusal);
    }
    if (ExhaustsAttempts(reply)) reply.attempts_exhausted = true;
    reply.extra_attempts_left = out->allowance.extra_attempts();
    reply.levels = std::move(out->levels);
    Done done = std::exchange(out->done, nullptr);
    if (done) done(std::move(reply));
  }

  // ----- Deadline and cancellation

  void SetTimer(const OutgoingPtr& out, Instant at) {
    // `out` owns the timer: a strong reference would be a cycle.
    out->timer->Start(at, [this, weak = std::weak_ptr<Outgoing>(out)] {
      const OutgoingPtr expired = weak.lock();
      if (!expired || !expired->done) return;
      if (expired->phase == Phase::kCancelling) {
        EndAttempt(expired, MakeUnknownOutcomeReply(
                                expired->call, expired->abort_reason,
                                "the peer did not confirm the cancellation"));
      } else {
        Abort(expired, Reason::kDeadlineExceeded);
      }
    });
  }

  void Abort(const OutgoingPtr& out, Reason reason) {
    if (out->abort_reason != Reason::kNone) return;
    out->abort_reason = reason;
    switch (out->phase) {
      case Phase::kConnecting:
        RemoveConnecting(out);
        EndAttempt(out, AdjustForIssuer(
                            out, MakeNotRunReply(
                                     out->call, reason,
                                     "cancelled before the call was sent")));
        return;
      case Phase::kLocal: {
        const bool never_run =
            targets.Cancel(state.incarnation, out->call.number);
        EndAttempt(
            out, never_run ? MakeNotRunReply(out->call, reason, "never written")
                           : MakeUnknownOutcomeReply(out->call, reason,
                                                     "may have run"));
        return;
      }
      case Phase::kPeer:
        ++state.stats.cancels_sent;
        out->phase = Phase::kCancelling;
        links.SendOverLink(out->link, Cancel{out->call.number});
        SetTimer(out, state.Now() + kCancelAckTimeout);
        return;
      case Phase::kCancelling:
      case Phase::kEnded:
        return;
    }
  }

  /// Replaces a reply made here in place of one from the issuer of the ticket:
  /// only the issuer knows whether the ticket was used before, so the outcome
  /// is unknown.
  Reply AdjustForIssuer(const OutgoingPtr& out, Reply reply) const {
    if (!out->request.issuer) return reply;
    return MakeUnknownOutcomeReply(out->call, Reason::kTicketIssuerUnreachable,
                                   reply.refusal.detail);
  }

  // ----- Peer link events

  void OnReply(LinkId link, Reply&& reply) {
    const auto it = by_number.find(reply.number);
    if (it == by_number.end() || it->second->link != link) {
      ++state.stats.unmatched_replies;
      return;
    }
    const OutgoingPtr out = it->second;
    if (HasTargetResponse(reply) && !IsWellFormed(reply)) {
      EndAttempt(out, MakeUnknownOutcomeReply(out->call, Reason::kTargetFailed,
                                              "malformed reply"));
      return;
    }
    EndAttempt(out, std::move(reply));
  }

  void OnCancelAck(LinkId link, const CancelAck& ack) {
    const auto it = by_number.find(ack.number);
    if (it == by_number.end() || it->second->link != link) return;
    const OutgoingPtr out = it->second;
    if (out->phase != Phase::kCancelling) return;
    EndAttempt(
        out,
        ack.never_run
            ? MakeNotRunReply(out->call, out->abort_reason, "never written")
            : MakeUnknownOutcomeReply(out->call, out->abort_reason,
                                      "cancelled while the call may have run"));
  }

  std::vector<OutgoingPtr> TakeConnecting(HostId host) {
    const auto it = connecting.find(host);
    if (it == connecting.end()) return {};
    std::vector<OutgoingPtr> waiting = std::move(it->second);
    connecting.erase(it);
    return waiting;
  }

  void RemoveConnecting(const OutgoingPtr& out) {
    auto& waiting = connecting[out->host];
    waiting.erase(std::remove(waiting.begin(), waiting.end(), out),
                  waiting.end());
  }

  void OnLinkUp(HostId host, LinkId link) {
    for (const OutgoingPtr& out : TakeConnecting(host)) {
      out->link = link;
      if (IsExpectedPeer(out, link)) {
        SendCall(out);
      } else {
        EndAttempt(
            out, AdjustForIssuer(
                     out, MakeNotRunReply(out->call, Reason::kNoTarget,
                                          "the ticket issuer has restarted")));
      }
    }
  }

  void OnUnreachable(HostId host) {
    for (const OutgoingPtr& out : TakeConnecting(host)) {
      EndAttempt(out, AdjustForIssuer(
                          out, MakeNotRunReply(out->call, Reason::kNoTarget,
                                               "cannot connect to the host")));
    }
  }

  std::vector<OutgoingPtr> SentOver(LinkId link) const {
    std::vector<OutgoingPtr> sent;
    for (const auto& [number, out] : by_number) {
      if (out->link == link) sent.push_back(out);
    }
    return sent;
  }

  Reply MakeLinkLostReply(const OutgoingPtr& out) const {
    Reply reply = AdjustForIssuer(
        out, MakeUnknownOutcomeReply(out->call, Reason::kTargetFailed,
                                     "peer link lost"));
    reply.extra_attempts_left = 0;  // Lost with the call.
    return reply;
  }

  void OnLinkSilent(LinkId link) {
    for (const OutgoingPtr& out : SentOver(link)) {
      if (out->phase != Phase::kPeer || !out->call.idempotent) continue;
      // The peer stops the work if it was only slow.
      links.SendOverLink(link, Cancel{out->call.number});
      EndAttempt(out, MakeLinkLostReply(out));
    }
  }

  void OnLinkDown(LinkId link) {
    for (const OutgoingPtr& out : SentOver(link)) {
      EndAttempt(out, MakeLinkLostReply(out));
    }
  }

  DataState& state;
  CallLinks& links;
  TargetCalls& targets;
  Handle last_handle = 0;
  std::unordered_map<Handle, OutgoingPtr> by_handle;
  std::unordered_map<CallNumber, OutgoingPtr> by_number;  ///< Sent to peers.
  std::unordered_map<HostId, std::vector<OutgoingPtr>> connecting;
};

OutgoingCalls::OutgoingCalls(DataState& state, CallLinks& links,
                             TargetCalls& targets)
    : impl_(std::make_shared<Impl>(state, links, targets)) {}

OutgoingCalls::~OutgoingCalls() = default;

OutgoingCalls::Handle OutgoingCalls::Start(OutgoingRequest request, Done done) {
  return impl_->Start(std::move(request), std::move(done));
}

void OutgoingCalls::Abort(Handle handle, Reason reason) {
  const auto it = impl_->by_handle.find(handle);
  if (it == impl_->by_handle.end()) return;
  const OutgoingPtr out = it->second;
  impl_->Abort(out, reason);
}

void OutgoingCalls::AbortAll(Reason reason) {
  std::vector<OutgoingPtr> all;
  for (const auto& [handle, out] : impl_->by_handle) all.push_back(out);
  for (const OutgoingPtr& out : all) impl_->Abort(out, reason);
}

void OutgoingCalls::OnReply(LinkId link, Reply&& reply) {
  impl_->OnReply(link, std::move(reply));
}

void OutgoingCalls::OnCancelAck(LinkId link, const CancelAck& ack) {
  impl_->OnCancelAck(link, ack);
}

void OutgoingCalls::OnLinkUp(HostId host, LinkId link) {
  impl_->OnLinkUp(host, link);
}

void OutgoingCalls::OnLinkSilent(LinkId link) { impl_->OnLinkSilent(link); }

void OutgoingCalls::OnLinkDown(LinkId link) { impl_->OnLinkDown(link); }

void OutgoingCalls::OnUnreachable(HostId host) { impl_->OnUnreachable(host); }

std::size_t OutgoingCalls::running() const { return impl_->by_handle.size(); }

}  // namespace lentilcross
