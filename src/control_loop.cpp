#include "control_loop.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <optional>
#include <utility>

#include "duration_text.h"
#include "guarded_run.h"
#include "lentilcross/evacuation.h"
#include "lentilcross/spread.h"
#include "lentilcross/store_revision.h"
#include "platform_client.h"

namespace lentilcross {
namespace {

using std::chrono::steady_clock;

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kStatsInterval = std::chrono::seconds(1);
constexpr Duration kRefusalLogInterval = std::chrono::seconds(30);
/// A process that cannot read the registry serves what peers tell it.
constexpr Duration kLongestRegistryWait = std::chrono::seconds(2);
/// Messages kept while the ring to the thread `data` is full.
constexpr std::size_t kMaxHeldBack = 4096;

std::string NameOf(const Configuration* configuration, HostId host) {
  if (configuration != nullptr) {
    const auto it = configuration->hosts.find(host);
    if (it != configuration->hosts.end()) return it->second.name;
  }
  return "peer " + std::to_string(host.value());
}

AuditRecord MakeRecord(const Configuration& configuration, std::string source) {
  AuditRecord record;
  record.version = configuration.version;
  record.preset = configuration.preset.name;
  record.source = std::move(source);
  record.taken_over = std::chrono::system_clock::now();
  const auto name_of = [&](OrganisationId id) -> std::string {
    const auto it = configuration.organisations.find(id);
    return it == configuration.organisations.end() ? "" : it->second.name;
  };
  for (const auto& [id, key] : configuration.keys) {
    record.keys.push_back({key.name, name_of(key.organisation), key.withdrawn});
  }
  record.unnamed_keys = configuration.unnamed_keys->size();
  for (const auto& [id, organisation] : configuration.organisations) {
    record.rates.push_back(
        {organisation.name, organisation.rate, organisation.burst});
  }
  return record;
}

}  // namespace

struct ControlLoop::Impl {
  Impl(const DaemonInit& daemon_init, Incarnation incarnation,
       ConfigDistributor&& new_spread)
      : init(daemon_init),
        work(boost::asio::make_work_guard(io)),
        timer(io),
        spread(std::move(new_spread)),
        membership({HostId::FromName(init.host), incarnation}),
        random(init.random_seed ^ incarnation.value()),
        platform(MakePlatform()),
        registry(MakeRegistryInit()) {}

  Registry::Init MakeRegistryInit() {
    Registry::Init registry_init;
    registry_init.stagger =
        std::uniform_real_distribution<double>(0, 1)(random);
    registry_init.takeover_after =
        std::min(registry_init.fallback_after, TakeoverAfter(init));
    return registry_init;
  }

  std::unique_ptr<PlatformSource> MakePlatform() {
    if (init.make_platform_source) {
      return init.make_platform_source(io, MakePlatformHooks());
    }
    return std::make_unique<PlatformClient>(
        io, PlatformClient::Init{init.platform}, MakePlatformHooks());
  }

  PlatformSource::Hooks MakePlatformHooks() {
    PlatformSource::Hooks hooks;
    hooks.on_document = [this](const PlatformSource::Document& document,
                               const std::string& source, Instant began) {
      OnDocument(document, source, began);
    };
    hooks.on_unchanged = [this](Instant began) {
      spread.OnPlatformUnchanged(steady_clock::now());
      OnPlatformContact(began);
    };
    hooks.on_refused = [this](Version version, const Findings& findings,
                              const std::string& source, Instant began) {
      spread.OnPlatformRefused(version, findings, steady_clock::now());
      LogFindings(source);
      OnPlatformContact(began);
    };
    hooks.on_failure = [this](const std::string& cause) {
      OnPlatformFailure(cause);
    };
    hooks.on_hosts = [this](const std::vector<PlatformSource::HostState>& all) {
      for (const auto& [name, leaving] : all) {
        if (leaving) OnHostLeaving(HostId::FromName(name));
      }
    };
    hooks.on_registry = [this](const Fleet& whole) {
      OnRegistryRead(registry.OnSnapshot(whole, steady_clock::now()));
    };
    hooks.on_registry_changes =
        [this](std::uint64_t to, const std::vector<RegistryChange>& list) {
          OnRegistryRead(registry.OnChanges(to, list, steady_clock::now()));
        };
    hooks.on_evacuations = [this](const EvacuationNews& news) {
      const bool changed = evacuations.OnPlatform(news, steady_clock::now());
      if (changed) OnEvacuations(/*first_hand=*/true);
    };
    hooks.on_event = [this](const std::string& event,
                            const std::string& detail) {
      Log(LogLevel::kInfo, event, {{"detail", detail}});
    };
    return hooks;
  }

  void Log(LogLevel level, const std::string& event, const LogFields& fields) {
    if (init.on_log) init.on_log(level, event, fields);
  }

  // ----- Messages to the thread `data`

  void Send(const ToData& message) {
    // Order is kept: nothing overtakes what is held back.
    if (held_back.empty() && out->Push(message)) return;
    if (held_back.size() < kMaxHeldBack) held_back.push_back(message);
  }

  void SendHeldBack() {
    while (!held_back.empty() && out->Push(held_back.front())) {
      held_back.pop_front();
    }
  }

  void SendAll(std::vector<ConfigDistributor::Outgoing>&& messages) {
    for (auto& [to, message] : messages) {
      if (auto* digest = std::get_if<Digest>(&message)) {
        AddState(*digest);
      }
      Send(PeerEnvelope{to, std::move(message)});
    }
  }

  void AddState(Digest& digest) const {
    registry.AddRegistryState(digest, steady_clock::now());
    digest.evacuations = evacuations.entries();
  }

  /// Tells some peers at once what they would learn from a later digest.
  void PushDigest(bool first_hand) {
    Digest digest;
    const auto current = spread.current();
    if (current) digest.version = current->version;
    digest.platform_age = spread.PlatformAge(steady_clock::now());
    AddState(digest);
    for (const HostId host : spread.PushPeers(membership, first_hand, random)) {
      Send(PeerEnvelope{host, digest});
    }
  }

  void SendTo(HostId host, std::vector<PeerMessage> messages) {
    for (PeerMessage& message : messages) {
      Send(PeerEnvelope{host, std::move(message)});
    }
  }

  // ----- Events

  void OnDocument(const PlatformSource::Document& document,
                  const std::string& source, Instant began) {
    const Instant now = steady_clock::now();
    const auto* text = std::get_if<std::string>(&document);
    auto result = text != nullptr
                      ? spread.OnPlatformDocument(*text, now)
                      : spread.OnParsedPlatformDocument(
                            std::get<nlohmann::json>(document), now);
    if (!result) LogFindings(source);
    Publish(source);
    OnPlatformContact(began);
  }

  void OnPlatformFailure(const std::string& cause) {
    const Instant now = steady_clock::now();
    const Duration age = spread.PlatformAge(now);
    spread.OnPlatformFailure(now);
    Log(LogLevel::kInfo, "platform-failure",
        {{"cause", cause},
         {"version", std::to_string(published.value())},
         {"took_ms", MillisecondsText(now - call_began)},
         {"confirmed_ms", MillisecondsText(age)},
         {"pause_ms", MillisecondsText(spread.PlatformRetryDelay(now))}});
    Step();
  }

  void OnPlatformContact(Instant began) {
    Send(PlatformContact{began});
    platform->ReadHosts();
    SendAll(spread.Tick(membership, steady_clock::now(), random));
    Step();
  }

  void OnHostLeaving(HostId host) {
    membership.OnPlatformLeaving(host, steady_clock::now());
    Send(HostLeaving{host});
  }

  void LogFindings(const std::string& source) {
    for (const Finding& finding : spread.last_findings().list()) {
      Log(LogLevel::kError, "configuration-refused",
          {{"source", source},
           {"place", finding.location},
           {"finding", finding.text}});
    }
  }

  /// Repeated while this host serves an older version than the newest.
  void LogRefusedVersion(Instant now) {
    const auto refused = spread.refused_version();
    if (!refused) {
      next_refusal_log = {};
      return;
    }
    if (now < next_refusal_log) return;
    next_refusal_log = now + kRefusalLogInterval;
    Log(LogLevel::kError, "configuration-left-behind",
        {{"version", std::to_string(published.value())},
         {"refused_version", std::to_string(refused->value())},
         {"confirmed_ms", MillisecondsText(spread.PlatformAge(now))}});
  }

  // ----- Evacuations

  void OnEvacuations(bool first_hand) {
    const std::vector<std::string> active = evacuations.active();
    LogEvacuations("evacuation-began", active, logged_evacuations);
    LogEvacuations("evacuation-ended", logged_evacuations, active);
    logged_evacuations = active;
    PushDigest(first_hand);
    fleet_is_new = true;
    Publish("evacuation");
  }

  /// A faulty peer could fill the table with domains that do not exist.
  std::vector<Evacuation> OfKnownDomains(std::vector<Evacuation> all) const {
    const auto current = spread.current();
    all.erase(std::remove_if(all.begin(), all.end(),
                             [&](const Evacuation& evacuation) {
                               return !current ||
                                      current->failure_domains.count(
                                          FailureDomainId::FromName(
                                              evacuation.failure_domain)) == 0;
                             }),
              all.end());
    return all;
  }

  /// Logs the failure domains in `these` that are not in `others`.
  void LogEvacuations(const std::string& event,
                      const std::vector<std::string>& these,
                      const std::vector<std::string>& others) {
    for (const std::string& domain : these) {
      if (std::find(others.begin(), others.end(), domain) != others.end()) {
        continue;
      }
      Log(LogLevel::kWarn, event, {{"failure_domain", domain}});
    }
  }

  // ----- Registry

  /// Published with the next tick: changes come in groups, and each new fleet
  /// costs a pass over routes, quotas and links.
  void OnRegistry(bool changed) {
    fleet_is_new = fleet_is_new || changed;
    const std::uint64_t epoch = EpochOf(registry.revision());
    if (registry.known() && epoch != std::exchange(registry_epoch, epoch)) {
      // Changes of a new epoch are of no use to peers without its snapshot.
      PushDigest(news_is_first_hand);
    }
    SendNews();
  }

  /// Standbys read the platform themselves unless they hear of this soon.
  void OnRegistryRead(bool changed) {
    news_is_first_hand = news_is_first_hand || changed;
    OnRegistry(changed);
    spread.ConfirmToStandbys();
    SendAll(spread.Tick(membership, steady_clock::now(), random));
  }

  /// Tells some peers, at most once in a tick; they tell others.
  void SendNews() {
    const Instant now = steady_clock::now();
    if (now - news_sent < kTick) return;
    const auto news = registry.TakeUnsentChanges(now);
    if (!news) return;
    news_sent = now;
    const bool first_hand = std::exchange(news_is_first_hand, false);
    for (const HostId host : spread.PushPeers(membership, first_hand, random)) {
      Send(PeerEnvelope{host, *news});
    }
  }

  void TickRegistry(Instant now) {
    if (!platform->has_registry()) return;
    OnRegistry(registry.Tick(now));
    if (evacuations.Tick(now)) OnEvacuations(/*first_hand=*/false);
    OnRegistry(registry.RemoveEndedHosts([this](HostId host) {
      const Membership::Member* member = membership.Find(host);
      return member != nullptr && (member->state == MemberState::kLeaving ||
                                   member->state == MemberState::kLeft);
    }));
    if (registry.lost() != registry_lost) {
      registry_lost = registry.lost();
      Log(LogLevel::kWarn,
          registry_lost ? "registry-lost" : "registry-regained",
          {{"registry_revision", std::to_string(registry.revision())}});
    }
    platform->FollowRegistry(
        registry.ShouldReadPlatform(spread.RoleOf(membership), now),
        registry.revision());
  }

  void OnPeerMessage(const PeerEnvelope& envelope) {
    const Instant now = steady_clock::now();
    membership.OnHostContact(envelope.host, now);
    const PeerMessage& message = envelope.message;
    if (const auto* request = std::get_if<RegistryRequest>(&message)) {
      SendTo(envelope.host, registry.OnRequest(*request, now));
      return;
    }
    if (const auto* delta = std::get_if<RegistryDelta>(&message)) {
      OnRegistry(registry.OnDelta(*delta, now));
      return;
    }
    if (const auto* list = std::get_if<LapsedHostList>(&message)) {
      OnRegistry(registry.OnLapsedHosts(*list, now));
      return;
    }
    if (const auto* digest = std::get_if<Digest>(&message)) {
      membership.OnUpdates(digest->members, now);
      if (evacuations.OnPeer(OfKnownDomains(digest->evacuations))) {
        OnEvacuations(/*first_hand=*/false);
      }
      SendTo(envelope.host, registry.OnDigest(*digest, now));
    }
    const std::uint64_t refused = spread.stats().rejected;
    SendAll(spread.OnMessage(envelope.host, envelope.message, now));
    if (spread.stats().rejected != refused) {
      LogFindings(NameOf(spread.current().get(), envelope.host));
    }
    Publish(NameOf(spread.current().get(), envelope.host));
    Step();
  }

  void OnMember(const MemberEvent& event) {
    const Instant now = steady_clock::now();
    switch (event.kind) {
      case MemberEvent::Kind::kHello:
        membership.OnHello(event.host, event.incarnation, now);
        return;
      case MemberEvent::Kind::kContact:
        membership.OnHostContact(event.host, now);
        return;
      case MemberEvent::Kind::kLinkDead:
        membership.OnLinkDead(event.host, now);
        return;
      case MemberEvent::Kind::kLeave:
        membership.OnLeave(event.host, event.incarnation, now);
        return;
      case MemberEvent::Kind::kSelfLeave:
        membership.Leave(now);
        SendAll(spread.Tick(membership, now, random));
        return;
    }
  }

  /// Without its targets a configuration would shift quotas and leave calls
  /// without a place to go, for the moment until the registry is read.
  bool AwaitsRegistry() const {
    return platform->has_registry() && !registry.known() &&
           steady_clock::now() - started < kLongestRegistryWait;
  }

  /// Adds the registered targets to the published configuration.
  std::shared_ptr<const Configuration> Compose(
      const std::shared_ptr<const Configuration>& published_part) {
    if (!registry.known()) return published_part;
    const Fleet& fleet = registry.fleet();
    auto composed = MergeFleet(*published_part, fleet, evacuations.active());
    spread.SetHosts(*composed);
    Log(LogLevel::kInfo, "configuration-fleet",
        {{"version", std::to_string(composed->version.value())},
         {"registry_revision", std::to_string(fleet.revision)},
         {"registered", std::to_string(fleet.targets.size())},
         {"lapsed_hosts", std::to_string(fleet.lapsed_hosts.size())},
         {"hosts", std::to_string(composed->hosts.size())}});
    return composed;
  }

  /// Passes a new version on to the thread `data` and to peers.
  void Publish(const std::string& source) {
    const auto current = spread.current();
    if (!current || AwaitsRegistry()) return;
    const bool version_is_new = current->version != published;
    if (!version_is_new && !fleet_is_new) return;
    published = current->version;
    fleet_is_new = false;
    Send(Compose(current));
    if (!version_is_new) return;
    // Peers wait for it; the records of a large version take a while.
    SendAll(spread.Tick(membership, steady_clock::now(), random));
    Log(LogLevel::kInfo, "configuration-applied",
        {{"version", std::to_string(current->version.value())},
         {"preset", current->preset.name},
         {"source", source},
         {"confirmed_ms",
          MillisecondsText(spread.PlatformAge(steady_clock::now()))}});
    if (init.on_audit) init.on_audit(MakeRecord(*current, source));
  }

  // ----- Ticks

  /// Starts what is due at the platform and reports the readiness.
  void Step() {
    const Instant now = steady_clock::now();
    const bool ready = published.valid() && spread.IsReady(now);
    const bool stale = spread.IsStale(now);
    if (ready != readiness.ready || stale != readiness.stale) {
      readiness = {ready, stale};
      Send(readiness);
    }
    if (platform->reading()) return;
    call_began = now;
    const auto current = spread.current();
    const Version have = current ? current->version : Version();
    switch (spread.NextPlatformAction(membership, now, random,
                                      registry.IsFallbackReader(now))) {
      case ConfigDistributor::PlatformAction::kNone:
        return;
      case ConfigDistributor::PlatformAction::kWatch:
        platform->Read(have, init.watch_wait);
        return;
      case ConfigDistributor::PlatformAction::kRead:
        platform->Read(have, Duration::zero());
        return;
    }
  }

  void OnTick() {
    const Instant now = steady_clock::now();
    SendHeldBack();
    TickRegistry(now);
    Publish("registry");
    SendAll(spread.Tick(membership, now, random));
    Step();
    LogRefusedVersion(now);
    if (now >= next_stats) {
      next_stats = now + kStatsInterval;
      SendStats();
    }
  }

  void SendStats() {
    auto stats = std::make_shared<ControlStats>();
    stats->config_distributor = spread.stats();
    stats->platform = platform->stats();
    stats->findings = spread.last_findings();
    stats->refused_version = spread.refused_version();
    stats->confirmation_age = spread.PlatformAge(steady_clock::now());
    stats->fleet = registry.fleet_stats();
    stats->evacuations = evacuations.stats();
    stats->evacuated = evacuations.active();
    stats->to_data_full = out->full();
    Send(std::shared_ptr<const ControlStats>(std::move(stats)));
  }

  void StartTimer() {
    timer.expires_after(kTick);
    timer.async_wait([this](boost::system::error_code error) {
      if (error) return;
      StartTimer();
      OnTick();
    });
  }

  const DaemonInit init;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  boost::asio::steady_timer timer;
  ConfigDistributor spread;
  Membership membership;
  Random random;
  std::unique_ptr<PlatformSource> platform;
  Registry registry;
  EvacuationTable evacuations{EvacuationTable::Init{}};
  std::vector<std::string> logged_evacuations;
  std::uint64_t registry_epoch = 0;
  bool registry_lost = false;
  bool fleet_is_new = false;
  bool news_is_first_hand = false;  ///< Unsent changes came from the platform.
  Instant news_sent{};
  Ring<ToData>* out = nullptr;
  std::deque<ToData> held_back;
  const Instant started = steady_clock::now();
  Version published;
  Instant call_began{};  ///< Of the last call for the configuration.
  Readiness readiness;
  Instant next_stats{};
  Instant next_refusal_log{};
};

Result<std::unique_ptr<ControlLoop>> ControlLoop::Create(
    const DaemonInit& init, Incarnation incarnation) {
  ConfigDistributor::Init spread_init;
  spread_init.self = HostId::FromName(init.host);
  spread_init.failure_domain = FailureDomainId::FromName(init.failure_domain);
  spread_init.startup_wait = init.startup_wait;
  spread_init.readers_per_domain = init.readers_per_domain;
  spread_init.watch_wait = init.watch_wait;
  spread_init.takeover_after = TakeoverAfter(init);
  spread_init.confirmation_limit =
      std::max(spread_init.confirmation_limit, 5 * init.watch_wait);
  spread_init.digest_interval =
      std::min(spread_init.digest_interval, LongestContactInterval(init));
  spread_init.key_staleness_limit = init.key_staleness_limit;
  BOOST_LEAF_AUTO(spread, ConfigDistributor::Create(spread_init));
  return std::unique_ptr<ControlLoop>(new ControlLoop(
      std::make_unique<Impl>(init, incarnation, std::move(spread))));
}

ControlLoop::ControlLoop(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

ControlLoop::~ControlLoop() = default;

void ControlLoop::Run(Ring<ToData>& out) {
  impl_->out = &out;
  boost::asio::post(impl_->io, [this] { impl_->OnTick(); });
  impl_->StartTimer();
  RunGuarded(impl_->io, "control", impl_->init.on_log);
}

void ControlLoop::Stop() { impl_->io.stop(); }

boost::asio::io_context& ControlLoop::io() { return impl_->io; }

void ControlLoop::OnMessage(ToControl&& message) {
  if (const auto* envelope = std::get_if<PeerEnvelope>(&message)) {
    impl_->OnPeerMessage(*envelope);
  } else {
    impl_->OnMember(std::get<MemberEvent>(message));
  }
}

}  // namespace lentilcross
