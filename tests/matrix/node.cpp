#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <stdexcept>
#include <type_traits>
#include <utility>

#include "world.h"

namespace lentilcross::matrix {
namespace {

constexpr Duration kConnectTime = std::chrono::microseconds(100);
constexpr Duration kServiceTime = std::chrono::milliseconds(20);
constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kProbeInterval = std::chrono::seconds(1);

DaemonInit InitOf(const std::string& name, const std::string& domain,
                  std::uint64_t incarnation) {
  DaemonInit init;
  init.host = name;
  init.failure_domain = domain;
  init.random_seed = incarnation;
  init.rate_handover = std::chrono::seconds(2);
  init.loan_term = std::chrono::milliseconds(500);
  return init;
}

std::vector<LocalTarget> TargetsOf(const std::string& host) {
  std::vector<LocalTarget> targets;
  if (host == "entry") return targets;
  for (const char* service : {"stock", "prices", "deposits", "ledger"}) {
    targets.push_back({service + ("-" + host), service, {}});
  }
  return targets;
}

}  // namespace

Node::Node(World& world, std::string name, const std::string& domain,
           std::uint64_t incarnation)
    : world_(world),
      name_(std::move(name)),
      id_(HostId::FromName(name_)),
      time_(world.time_),
      state_(DataState::Create(InitOf(name_, domain, incarnation),
                               Incarnation(incarnation), time_)
                 .value()) {
  targets_ = std::make_unique<TargetCalls>(*state_, *this, TargetsOf(name_));
  outgoing_ = std::make_unique<OutgoingCalls>(*state_, *this, *targets_);
  waits_ = std::make_unique<RateWaitQueue>(
      *state_, RateWaitQueue::Hooks{[this] { SendLoans(); }});
  tickets_ = std::make_unique<TicketCalls>(*state_, *outgoing_);
  peers_ = std::make_unique<PeerCalls>(
      *state_, *this, *targets_,
      [this](const LinkPeer& peer, Call&& call, PeerCalls::ReplyHandler done) {
        return tickets_->OnCall(peer, std::move(call), std::move(done));
      });
  entry_ = std::make_unique<RequestPipeline>(
      *state_, *outgoing_, *targets_, *waits_,
      [this](std::uint64_t exchange, HttpResponse response) {
        const auto it = world_.exchanges_.find(exchange);
        if (it == world_.exchanges_.end()) return;
        it->second->answered = true;
        it->second->response = std::move(response);
        world_.Reach(Step::kAnswered, name_, it->second->id);
      });
  onward_ = std::make_unique<OnwardPipeline>(
      *state_, *outgoing_, *targets_,
      [this](std::uint64_t exchange, const HttpResponse& /*response*/) {
        const auto it = onward_exchanges_.find(exchange);
        if (it == onward_exchanges_.end()) return;
        const Handle handle = it->second;
        onward_exchanges_.erase(it);
        Answer(handle, MakeResponse(200, "text/plain", ""));
      });
  targets_->SetTokenRevokedHandler(
      [this](const std::string& token) { onward_->OnTokenRevoked(token); });
  state_->ready = true;
  Tick();
}

void Node::Apply(const std::shared_ptr<const Configuration>& configuration) {
  if (state_->configuration &&
      configuration->version <= state_->configuration->version) {
    return;
  }
  const Instant now = time_.Now();
  state_->configuration = configuration;
  state_->keys.Apply(*configuration);
  state_->rate.Apply(configuration, now);
  state_->router.Apply(configuration, now);
  targets_->SetMaxQueueTime(configuration->preset.max_queue_time);
  waits_->Retry();
}

void Node::Leave() {
  state_->draining = true;
  state_->membership.Leave(time_.Now());
  for (const auto& [link, peer] : links_) {
    SendOverLink(link, lentilcross::Leave{id_, state_->incarnation});
  }
}

void Node::Tick() {
  const Instant now = time_.Now();
  state_->fence.Tick(now);
  state_->pauses.Tick(now);
  // In the product, digests and the watch of the platform compare versions.
  if (!world_.IsCut(name_, "one")) state_->rate.RecordContact(now, now);
  SendLoans();
  if (now >= next_probe_) ProbeHosts(now);
  time_.At(now + kTick, [this] { Tick(); });
}

// As the data loop of the product does.
void Node::ProbeHosts(Instant now) {
  next_probe_ = now + kProbeInterval;
  if (!state_->configuration || state_->draining) return;
  for (const auto& [id, host] : state_->configuration->hosts) {
    if (id != id_ && state_->membership.ShouldProbe(id, now)) Connect(id);
  }
}

void Node::SendLoans() {
  for (auto& loan : state_->rate.Tick(time_.Now())) {
    std::visit(
        [&](const auto& message) {
          if (std::is_same_v<std::decay_t<decltype(message)>, LoanRequest>) {
            world_.Reach(Step::kLoanAsked, name_, world_.watched_);
          }
          LinkId link = Find(loan.to);
          if (link == 0 && Connect(loan.to)) link = Find(loan.to);
          if (link != 0) SendOverLink(link, message);
        },
        loan.message);
  }
}

void Node::OnPeerMessage(const LinkPeer& peer, PeerMessage&& message) {
  const Instant now = time_.Now();
  if (auto* call = std::get_if<Call>(&message)) {
    world_.Reach(Step::kCallReceived, name_,
                 std::string(FindHeader(call->headers, "X-Attempt")));
    peers_->OnCall(peer, std::move(*call));
  } else if (auto* reply = std::get_if<Reply>(&message)) {
    world_.Reach(Step::kReplyReceived, name_, world_.watched_);
    outgoing_->OnReply(peer.link, std::move(*reply));
  } else if (auto* cancel = std::get_if<lentilcross::Cancel>(&message)) {
    peers_->OnCancel(peer, *cancel);
  } else if (auto* ack = std::get_if<CancelAck>(&message)) {
    outgoing_->OnCancelAck(peer.link, *ack);
  } else if (auto* asked = std::get_if<LoanRequest>(&message)) {
    state_->rate.OnRequest(peer.host, *asked, now);
    SendLoans();
  } else if (auto* grant = std::get_if<LoanGrant>(&message)) {
    world_.Reach(Step::kLoanGranted, name_, world_.watched_);
    if (state_->rate.OnGrant(peer.host, *grant, now)) waits_->Retry();
    SendLoans();
  } else if (auto* back = std::get_if<LoanReturn>(&message)) {
    state_->rate.OnReturn(peer.host, *back, now);
  } else if (auto* leave = std::get_if<lentilcross::Leave>(&message)) {
    state_->membership.OnLeave(leave->host, leave->incarnation, now);
  }
}

void Node::OnLinkDown(const LinkPeer& peer) {
  links_.erase(peer.link);
  outgoing_->OnLinkDown(peer.link);
  peers_->OnLinkDown(peer);
  if (Find(peer.host) == 0) {
    state_->membership.OnLinkDead(peer.host, time_.Now());
  }
}

LinkId Node::Find(HostId host) const {
  for (const auto& [link, peer] : links_) {
    if (peer.host == host) return link;
  }
  return 0;
}

const LinkPeer* Node::FindPeer(LinkId link) const {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : &it->second;
}

bool Node::Connect(HostId host) {
  for (const auto& [name, domain] : world_.domain_of_) {
    if (HostId::FromName(name) != host) continue;
    const LinkId link = world_.Open(*this, name);
    if (link == 0) return false;
    // The product reports a new link later, never inside `Connect`.
    time_.At(time_.Now(), [this, host, link] {
      if (links_.count(link) != 0) outgoing_->OnLinkUp(host, link);
    });
    return true;
  }
  return false;
}

bool Node::SendOverLink(LinkId link, const PeerMessage& message) {
  if (links_.count(link) == 0) return false;
  world_.Deliver(*this, link, message);
  return true;
}

void Node::AddOutstanding(LinkId /*link*/, int /*change*/) {}

TargetConnections::Handle Node::Start(const Endpoint& /*address*/,
                                      const HttpRequest& request,
                                      std::function<bool()> may_write,
                                      std::function<void(Result&&)> done) {
  const Handle handle = ++last_handle_;
  exchanges_[handle] = {request, std::move(done)};
  world_.Reach(Step::kConnecting, name_,
               std::string(request.header("X-Attempt")));
  time_.At(time_.Now() + kConnectTime,
           [this, handle, may_write = std::move(may_write)] {
             Write(handle, may_write);
           });
  return handle;
}

void Node::Cancel(Handle handle) { exchanges_.erase(handle); }

void Node::Write(Handle handle, const std::function<bool()>& may_write) {
  const auto it = exchanges_.find(handle);
  if (it == exchanges_.end()) return;
  if (world_.cold_.count(name_) != 0) {
    const auto done = std::move(it->second.done);
    exchanges_.erase(it);
    done({Failure::kUnsent, {}, "connection refused"});
    return;
  }
  if (!may_write()) {
    const auto done = std::move(it->second.done);
    exchanges_.erase(it);
    done({Failure::kNotAllowed, {}, "not allowed"});
    return;
  }
  const HttpRequest request = it->second.request;
  Execution execution;
  execution.host = name_;
  execution.path = request.target;
  execution.ticket = request.header("X-Ticket").empty()
                         ? request.header("Idempotency-Key")
                         : request.header("X-Ticket");
  execution.attempt = request.header("X-Attempt");
  execution.organisation = request.header("Lentilcross-Organisation");
  execution.saw_key = !request.header("X-Api-Key").empty();
  execution.at = time_.Now();
  if (world_.shedding_.count(name_) != 0) {
    time_.At(time_.Now(), [this, handle] {
      Answer(handle, MakeResponse(503, "text/plain", "shed"));
    });
    return;
  }
  world_.executions_.push_back(execution);
  const bool onward =
      execution.path == "/ledger" || execution.path == "/prices";
  world_.Reach(onward ? Step::kOnwardWritten : Step::kWritten, name_,
               execution.attempt);
  Run(handle);
}

void Node::Run(Handle handle) {
  const auto it = exchanges_.find(handle);
  if (it == exchanges_.end()) return;
  const std::string path = it->second.request.target;
  const std::string attempt(it->second.request.header("X-Attempt"));
  const Duration service =
      world_.slow_.count(name_) != 0 ? kServiceTime * 20 : kServiceTime;
  const bool leaf = path == "/ledger" || path == "/prices";
  time_.At(time_.Now() + service / 2, [this, attempt, leaf] {
    if (!leaf) world_.Reach(Step::kRunning, name_, attempt);
  });
  time_.At(time_.Now() + service, [this, handle, leaf] {
    if (leaf) {
      Answer(handle, MakeResponse(200, "text/plain", ""));
    } else {
      CallOnward(handle);
    }
  });
}

void Node::CallOnward(Handle handle) {
  const auto it = exchanges_.find(handle);
  if (it == exchanges_.end()) return;
  const HttpRequest& request = it->second.request;
  HttpRequest onward;
  onward.target = request.target == "/deposits" ? "/ledger" : "/prices";
  onward.headers = {
      {"Lentilcross-Context",
       std::string(request.header("Lentilcross-Context"))},
      {"X-Attempt", std::string(request.header("X-Attempt"))},
      {"X-Ticket", std::string(request.header("Idempotency-Key"))}};
  const std::uint64_t exchange = ++world_.last_exchange_;
  onward_exchanges_[exchange] = handle;
  world_.Reach(Step::kOnwardAsked, name_,
               std::string(request.header("X-Attempt")));
  onward_->OnRequest(exchange, std::move(onward));
}

void Node::Answer(Handle handle, HttpResponse response) {
  const auto it = exchanges_.find(handle);
  if (it == exchanges_.end()) return;
  const Exchange exchange = std::move(it->second);
  exchanges_.erase(it);
  const auto& request = exchange.request;
  if (response.status == 200) {
    const auto ticket = request.header("Idempotency-Key");
    response.body =
        "done:" +
        std::string(ticket.empty() ? request.header("X-Attempt") : ticket);
  }
  world_.Reach(Step::kAnswerWhole, name_,
               std::string(request.header("X-Attempt")));
  exchange.done({Failure::kNone, std::move(response), {}});
}

}  // namespace lentilcross::matrix
