#include "data_loop.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <type_traits>
#include <utility>

#include "asio_scheduler.h"
#include "data_state.h"
#include "drain.h"
#include "guarded_run.h"
#include "http_front.h"
#include "onward_pipeline.h"
#include "outgoing_calls.h"
#include "peer_calls.h"
#include "peer_links.h"
#include "rate_waits.h"
#include "request_pipeline.h"
#include "stats_snapshot.h"
#include "target_calls.h"
#include "target_client.h"
#include "tcp_endpoint.h"
#include "ticket_calls.h"

namespace lentilcross {
namespace {

using std::chrono::steady_clock;

/// `RateLimiter::Tick` must be called at least every 20 ms.
constexpr Duration kRateInterval = std::chrono::milliseconds(20);
constexpr Duration kMaintenanceInterval = std::chrono::seconds(1);

std::unordered_map<HostId, Endpoint> PeerAddresses(
    const Configuration& configuration) {
  std::unordered_map<HostId, Endpoint> addresses;
  for (const auto& [id, host] : configuration.hosts) {
    const auto endpoint = web::ParseTcpEndpoint(host.peer);
    if (!endpoint) continue;
    addresses[id] = {endpoint->address().to_string(), endpoint->port()};
  }
  return addresses;
}

PeerLinks::Init LinksInit(const DaemonInit& init, const DataState& state) {
  PeerLinks::Init links;
  links.self = state.self;
  links.incarnation = state.incarnation;
  links.failure_domain = state.failure_domain;
  links.keys = init.peer_keys;
  links.seed = state.incarnation.value();
  links.contact_interval =
      std::min(links.contact_interval, LongestContactInterval(init));
  return links;
}

TargetClient::Init ClientInit(const DaemonInit& init) {
  TargetClient::Init client;
  client.dialect = init.dialect;
  return client;
}

HttpFront::Init FrontInit(const DaemonInit& init) {
  HttpFront::Init front;
  front.dialect = init.dialect;
  return front;
}

struct Reactor {
  boost::asio::io_context io{1};
  AsioScheduler scheduler{io};
};

}  // namespace

struct DataLoop::Impl {
  Impl(const DaemonInit& daemon_init, std::unique_ptr<Reactor> reactor,
       std::unique_ptr<DataState> data_state)
      : init(daemon_init),
        reactor_owner(std::move(reactor)),
        io(reactor_owner->io),
        state_owner(std::move(data_state)),
        state(*state_owner),
        links(io, LinksInit(init, state), MakeLinkHooks()),
        client(io, ClientInit(init)),
        targets(state, client, init.targets),
        outgoing(state, links, targets),
        rate_waits(state, {[this] { SendLoans(); }}),
        ticket_calls(state, outgoing),
        peer_calls(state, links, targets,
                   [this](const PeerLinks::Peer& peer, Call&& call,
                          PeerCalls::ReplyHandler done) {
                     return ticket_calls.OnCall(peer, std::move(call),
                                                std::move(done));
                   }),
        caller_front(io, FrontInit(init), MakeFrontHooks(entry_pipeline)),
        onward_front(io, FrontInit(init), MakeFrontHooks(onward_pipeline)),
        entry_pipeline(state, outgoing, targets, rate_waits,
                       MakeResponder(caller_front)),
        onward_pipeline(state, outgoing, targets, MakeResponder(onward_front)),
        rate_timer(io),
        maintenance_timer(io),
        drain(io, {init.drain_notice, init.drain_timeout}, MakeDrainHooks()) {
    targets.SetTokenRevokedHandler([this](const std::string& token) {
      onward_pipeline.OnTokenRevoked(token);
    });
  }

  // ----- Hooks

  PeerLinks::Hooks MakeLinkHooks() {
    PeerLinks::Hooks hooks;
    hooks.version = [this] {
      return state.configuration ? state.configuration->version : Version();
    };
    hooks.on_up = [this](const PeerLinks::Peer& peer) { return OnUp(peer); };
    hooks.on_message = [this](const PeerLinks::Peer& peer,
                              PeerMessage&& message) {
      OnPeerMessage(peer, std::move(message));
    };
    hooks.on_silent = [this](const PeerLinks::Peer& peer) { OnSilent(peer); };
    hooks.on_down = [this](const PeerLinks::Peer& peer,
                           PeerLinks::DownKind kind) { OnDown(peer, kind); };
    hooks.on_unreachable = [this](HostId host) {
      outgoing.OnUnreachable(host);
    };
    hooks.log = init.on_log;
    return hooks;
  }

  template <typename Pipeline>
  HttpFront::Hooks MakeFrontHooks(Pipeline& pipeline) {
    HttpFront::Hooks hooks;
    hooks.on_request = [&pipeline](HttpFront::ExchangeId exchange,
                                   HttpRequest&& request) {
      pipeline.OnRequest(exchange, std::move(request));
    };
    hooks.on_client_disconnect = [&pipeline](HttpFront::ExchangeId exchange) {
      pipeline.OnClientDisconnect(exchange);
    };
    return hooks;
  }

  static std::function<void(HttpFront::ExchangeId, HttpResponse)> MakeResponder(
      HttpFront& front) {
    return [&front](HttpFront::ExchangeId exchange, HttpResponse response) {
      front.Respond(exchange, std::move(response));
    };
  }

  Drain::Hooks MakeDrainHooks() {
    Drain::Hooks hooks;
    hooks.begin = [this] { BeginDrain(); };
    hooks.refuse = [this] { state.in_drain_notice = false; };
    hooks.running = [this] { return Running(); };
    hooks.abort = [this] {
      Log(LogLevel::kError, "drain-timeout",
          {{"running", std::to_string(Running())}});
      outgoing.AbortAll(Reason::kDraining);
      targets.AbortAll();
    };
    hooks.close = [this] {
      caller_front.Close();
      onward_front.Close();
      links.StopListening();
      links.CloseAll();
    };
    hooks.closed = [this] {
      return links.LinkedHosts().empty() && caller_front.closed() &&
             onward_front.closed();
    };
    hooks.end = [this](int status) {
      exit_status = status;
      io.stop();
    };
    return hooks;
  }

  void Log(LogLevel level, const std::string& event, const LogFields& fields) {
    state.Log(level, event, fields);
  }

  void SendToControl(const ToControl& message) {
    if (out != nullptr) out->Push(message);
  }

  void SendMemberEvent(MemberEvent::Kind kind, HostId host,
                       Incarnation incarnation = {}) {
    SendToControl(MemberEvent{kind, host, incarnation});
  }

  // ----- Peer links

  bool OnUp(const PeerLinks::Peer& peer) {
    const Instant now = steady_clock::now();
    if (!state.membership.OnHello(peer.host, peer.incarnation, now)) {
      return false;  // an outdated incarnation, or this host
    }
    SendMemberEvent(MemberEvent::Kind::kHello, peer.host, peer.incarnation);
    // Asks a new peer for its version. Only the `control` thread knows the real
    // platform age; the maximum makes the peer reply with its own digest.
    Digest digest;
    if (state.configuration) digest.version = state.configuration->version;
    digest.platform_age = kMaxPeerDuration;
    digest.wants_lapsed_hosts = true;
    links.SendOverLink(peer.link, digest);
    if (state.draining) links.SendOverLink(peer.link, LeaveMessage());
    outgoing.OnLinkUp(peer.host, peer.link);
    return true;
  }

  void OnSilent(const PeerLinks::Peer& peer) {
    outgoing.OnLinkSilent(peer.link);
    if (links.Find(peer.host) == 0) OnHostLost(peer.host);
  }

  void OnHostLost(HostId host) {
    state.membership.OnLinkDead(host, steady_clock::now());
    SendMemberEvent(MemberEvent::Kind::kLinkDead, host);
  }

  void OnDown(const PeerLinks::Peer& peer, PeerLinks::DownKind kind) {
    outgoing.OnLinkDown(peer.link);
    peer_calls.OnLinkDown(peer);
    if (links.Find(peer.host) != 0) return;
    const auto* member = state.membership.Find(peer.host);
    const bool left =
        member != nullptr && member->state == MemberState::kLeaving;
    if (kind == PeerLinks::DownKind::kClosed && !left) return;
    OnHostLost(peer.host);
  }

  void OnPeerMessage(const PeerLinks::Peer& peer, PeerMessage&& message) {
    std::visit(
        [&](auto&& content) {
          Handle(peer, std::forward<decltype(content)>(content));
        },
        std::move(message));
  }

  void Handle(const PeerLinks::Peer& peer, Call&& call) {
    peer_calls.OnCall(peer, std::move(call));
  }
  void Handle(const PeerLinks::Peer& peer, Reply&& reply) {
    outgoing.OnReply(peer.link, std::move(reply));
  }
  void Handle(const PeerLinks::Peer& peer, Cancel&& cancel) {
    peer_calls.OnCancel(peer, cancel);
  }
  void Handle(const PeerLinks::Peer& peer, CancelAck&& ack) {
    outgoing.OnCancelAck(peer.link, ack);
  }
  void Handle(const PeerLinks::Peer& peer, LoanRequest&& request) {
    state.rate.OnRequest(peer.host, request, steady_clock::now());
    SendLoans();
  }
  void Handle(const PeerLinks::Peer& peer, LoanGrant&& grant) {
    const bool has_token =
        state.rate.OnGrant(peer.host, grant, steady_clock::now());
    if (has_token) rate_waits.Retry();
    SendLoans();
  }
  void Handle(const PeerLinks::Peer& peer, LoanReturn&& message) {
    state.rate.OnReturn(peer.host, message, steady_clock::now());
  }
  void Handle(const PeerLinks::Peer& peer, Leave&& leave) {
    if (leave.host != peer.host || leave.incarnation != peer.incarnation) {
      return;  // a peer may only announce its own leave
    }
    state.membership.OnLeave(leave.host, leave.incarnation,
                             steady_clock::now());
    SendMemberEvent(MemberEvent::Kind::kLeave, leave.host, leave.incarnation);
  }
  void Handle(const PeerLinks::Peer& peer, Digest&& digest) {
    const Instant now = steady_clock::now();
    state.membership.OnHostContact(peer.host, now);
    state.membership.OnUpdates(digest.members, now);
    const bool is_up_to_date =
        state.configuration && digest.version <= state.configuration->version;
    if (is_up_to_date) {
      state.rate.RecordContact(links.ConfirmedSince(peer.link), now);
    }
    SendToControl(PeerEnvelope{peer.host, std::move(digest)});
  }
  void Handle(const PeerLinks::Peer& peer, ConfigRequest&& request) {
    SendToControl(PeerEnvelope{peer.host, request});
  }
  void Handle(const PeerLinks::Peer& peer, ConfigDelta&& delta) {
    SendToControl(PeerEnvelope{peer.host, std::move(delta)});
  }
  void Handle(const PeerLinks::Peer& peer, ConfigSnapshot&& snapshot) {
    SendToControl(PeerEnvelope{peer.host, std::move(snapshot)});
  }
  void Handle(const PeerLinks::Peer& peer, RegistryRequest&& request) {
    SendToControl(PeerEnvelope{peer.host, request});
  }
  void Handle(const PeerLinks::Peer& peer, RegistryDelta&& delta) {
    SendToControl(PeerEnvelope{peer.host, std::move(delta)});
  }
  void Handle(const PeerLinks::Peer& peer, LapsedHostList&& list) {
    SendToControl(PeerEnvelope{peer.host, std::move(list)});
  }
  // `PeerLinks` handles these messages itself.
  void Handle(const PeerLinks::Peer& /*peer*/, Hello&& /*hello*/) {}
  void Handle(const PeerLinks::Peer& /*peer*/, Proof&& /*proof*/) {}
  void Handle(const PeerLinks::Peer& /*peer*/, Ping&& /*ping*/) {}
  void Handle(const PeerLinks::Peer& /*peer*/, Pong&& /*pong*/) {}

  // ----- Messages from the `control` thread

  void On(const std::shared_ptr<const Configuration>& configuration) {
    const Instant now = steady_clock::now();
    state.configuration = configuration;
    state.keys.Apply(*configuration);
    state.rate.Apply(configuration, now);
    state.router.Apply(configuration, now);
    targets.OnConfiguration(*configuration);
    caller_front.SetLimits(configuration->limits);
    onward_front.SetLimits(configuration->limits);
    links.SetAddresses(PeerAddresses(*configuration));
    rate_waits.Retry();
  }
  void On(const Readiness& readiness) {
    state.ready = readiness.ready;
    state.stale = readiness.stale;
    PublishStats();
  }
  void On(const PeerEnvelope& envelope) {
    links.SendTo(envelope.host, envelope.message);
  }
  void On(const PlatformContact& contact) {
    state.rate.RecordContact(contact.began, steady_clock::now());
  }
  void On(const HostLeaving& leaving) {
    state.membership.OnPlatformLeaving(leaving.host, steady_clock::now());
  }
  void On(const std::shared_ptr<const ControlStats>& stats) {
    control_stats = stats;
  }

  // ----- Timers

  void SendLoans() {
    for (auto& loan : state.rate.Tick(steady_clock::now())) SendLoan(loan);
  }

  void SendLoan(const RateLimiter::Outgoing& loan) {
    std::visit([&](const auto& message) { links.SendTo(loan.to, message); },
               loan.message);
  }

  void StartRateTimer() {
    rate_timer.expires_after(kRateInterval);
    rate_timer.async_wait([this](boost::system::error_code error) {
      if (error) return;
      StartRateTimer();
      state.pauses.Tick(steady_clock::now());
      SendLoans();
    });
  }

  void StartMaintenanceTimer() {
    maintenance_timer.expires_after(kMaintenanceInterval);
    maintenance_timer.async_wait([this](boost::system::error_code error) {
      if (error) return;
      StartMaintenanceTimer();
      OnMaintenanceTimer();
    });
  }

  void OnMaintenanceTimer() {
    const Instant now = steady_clock::now();
    state.fence.Tick(now);
    for (const HostId host : links.LinkedHosts()) {
      state.membership.OnHostContact(host, now);
      SendMemberEvent(MemberEvent::Kind::kContact, host);
    }
    ProbeHosts(now);
    PublishStats();
  }

  /// Connects to hosts that may have recovered.
  void ProbeHosts(Instant now) {
    if (!state.configuration || state.draining) return;
    for (const auto& [id, host] : state.configuration->hosts) {
      if (id != state.self && state.membership.ShouldProbe(id, now)) {
        links.Connect(id);
      }
    }
  }

  // ----- Shutdown

  Leave LeaveMessage() const { return {state.self, state.incarnation}; }

  void BeginDrain() {
    state.draining = true;
    state.in_drain_notice = init.drain_notice > Duration::zero();
    const Instant now = steady_clock::now();
    state.membership.Leave(now);
    links.Broadcast(LeaveMessage());
    SendMemberEvent(MemberEvent::Kind::kSelfLeave, state.self);
    caller_front.BeginDrain();
    onward_front.BeginDrain();
    for (const auto& loan : state.rate.ReturnAllLoans(now)) SendLoan(loan);
    Log(LogLevel::kInfo, "draining", {{"running", std::to_string(Running())}});
    PublishStats();
  }

  std::size_t Running() const {
    return caller_front.running() + onward_front.running() +
           peer_calls.running() + targets.running() + outgoing.running();
  }

  void PublishStats() {
    if (!init.on_stats) return;
    DaemonStats stats = SnapshotOf(state, links, targets);
    stats.host = init.host;
    stats.failure_domain = init.failure_domain;
    stats.live = true;
    stats.running_requests = Running();
    stats.caller = caller_front.stats();
    stats.onward = onward_front.stats();
    stats.target_client = client.stats();
    stats.rings.to_control_full = out == nullptr ? 0 : out->full();
    if (control_stats) AddControlStats(*control_stats, stats);
    init.on_stats(stats);
  }

  const DaemonInit init;
  std::unique_ptr<Reactor> reactor_owner;
  boost::asio::io_context& io;
  std::unique_ptr<DataState> state_owner;
  DataState& state;
  PeerLinks links;
  TargetClient client;
  TargetCalls targets;
  OutgoingCalls outgoing;
  RateWaitQueue rate_waits;
  TicketCalls ticket_calls;
  PeerCalls peer_calls;
  HttpFront caller_front;
  HttpFront onward_front;
  RequestPipeline entry_pipeline;
  OnwardPipeline onward_pipeline;
  boost::asio::steady_timer rate_timer;
  boost::asio::steady_timer maintenance_timer;
  Drain drain;
  Ring<ToControl>* out = nullptr;
  std::shared_ptr<const ControlStats> control_stats;
  int exit_status = 0;
  Endpoint caller;
  Endpoint onward;
  Endpoint peer;
};

Result<std::unique_ptr<DataLoop>> DataLoop::Create(const DaemonInit& init,
                                                   Incarnation incarnation) {
  auto reactor = std::make_unique<Reactor>();
  BOOST_LEAF_AUTO(state,
                  DataState::Create(init, incarnation, reactor->scheduler));
  auto impl =
      std::make_unique<Impl>(init, std::move(reactor), std::move(state));
  BOOST_LEAF_ASSIGN(impl->caller, impl->caller_front.Listen(init.caller));
  if (init.onward) {
    BOOST_LEAF_ASSIGN(impl->onward, impl->onward_front.Listen(*init.onward));
  }
  BOOST_LEAF_ASSIGN(impl->peer, impl->links.Listen(init.peer));
  for (const Endpoint& seed : init.seeds) impl->links.DialSeed(seed);
  return std::unique_ptr<DataLoop>(new DataLoop(std::move(impl)));
}

DataLoop::DataLoop(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

DataLoop::~DataLoop() = default;

int DataLoop::Run(Ring<ToControl>& out) {
  impl_->out = &out;
  impl_->StartRateTimer();
  impl_->StartMaintenanceTimer();
  RunGuarded(impl_->io, "data", impl_->init.on_log);
  return impl_->exit_status;
}

void DataLoop::RequestShutdown() {
  boost::asio::post(impl_->io, [this] { impl_->drain.Begin(); });
}

boost::asio::io_context& DataLoop::io() { return impl_->io; }

void DataLoop::OnMessage(ToData&& message) {
  std::visit([this](const auto& content) { impl_->On(content); }, message);
}

Endpoint DataLoop::caller() const { return impl_->caller; }
Endpoint DataLoop::onward() const { return impl_->onward; }
Endpoint DataLoop::peer() const { return impl_->peer; }

}  // namespace lentilcross
