#include "request_pipeline.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "call_replies.h"
#include "duration_text.h"
#include "lentilcross/config.h"
#include "lentilcross/home_regions.h"
#include "lentilcross/shedding.h"
#include "request_rules.h"
#include "ticket_calls.h"

namespace lentilcross {
namespace {

struct EntryRequest {
  RequestPipeline::ExchangeId exchange = 0;
  HttpRequest request;
  std::string caller_request_id;  ///< From the caller; may be empty.
  std::shared_ptr<const Configuration> configuration;
  const RouteEntry* route = nullptr;
  std::optional<KeyRing::Lookup> key;
  RequestContext context;
  /// Token of the call during which a target on this host made this request.
  std::string parent_token;
  Instant arrived{};
  Instant deadline{};
  std::optional<std::uint64_t> ticket;  ///< Serial of a claimed ticket.
  std::optional<TicketStore::Issuer> issuer;
  RateWaitQueue::Handle wait = 0;
  OutgoingCalls::Handle outgoing = 0;
  bool ended = false;
};

using EntryRequestPtr = std::shared_ptr<EntryRequest>;

}  // namespace

struct RequestPipeline::Impl : std::enable_shared_from_this<Impl> {
  Impl(DataState& data_state, OutgoingCalls& outgoing_calls,
       TargetCalls& target_calls, RateWaitQueue& rate_waits,
       Respond respond_hook)
      : state(data_state),
        outgoing(outgoing_calls),
        targets(target_calls),
        waits(rate_waits),
        respond(std::move(respond_hook)) {}

  // ----- Checks, in the order in which they are made

  void OnRequest(ExchangeId exchange, HttpRequest&& request) {
    ++state.stats.entry_requests;
    auto entry = std::make_shared<EntryRequest>();
    entry->exchange = exchange;
    entry->arrived = state.Now();
    entry->request = std::move(request);
    if (!state.dialect.request_id.empty()) {
      entry->caller_request_id =
          entry->request.header(state.dialect.request_id);
    }
    entry->configuration = state.configuration;
    entries[exchange] = entry;
    if (state.draining && !state.in_drain_notice) {
      Refuse(entry, Reason::kDraining, "daemon is draining");
    } else if (!state.ready || !entry->configuration) {
      Refuse(entry, Reason::kNotReady, "no confirmed configuration yet");
    } else if (entry->request.path() == kTicketPath) {
      IssueTickets(entry);
    } else {
      CheckRoute(entry);
    }
  }

  void CheckRoute(const EntryRequestPtr& entry) {
    entry->route = entry->configuration->FindRoute(
        entry->request.header("Host"), entry->request.path());
    if (entry->route == nullptr) {
      Refuse(entry, Reason::kUnknownRoute, "no route for this host and path");
      return;
    }
    const auto timeout =
        ParseTimeout(entry->request, *entry->route, state.dialect);
    if (!timeout) {
      Refuse(entry, Reason::kBadRequest, "malformed timeout header");
      return;
    }
    entry->deadline = state.Now() + *timeout;
    if (!entry->route->open && !CheckKey(entry)) return;
    MakeContext(*entry);
    if (!BindToHomes(*entry)) {
      Refuse(entry, Reason::kHomeUnreachable,
             "route and organisation have no home region in common");
      return;
    }
    if (entry->route->importance < entry->configuration->preset.refuse_below) {
      Refuse(entry, Reason::kOverloaded,
             "the preset in force refuses requests of this importance");
      return;
    }
    const bool needs_ticket =
        !entry->route->idempotent && entry->route->ticket_required;
    if (!needs_ticket || CheckTicket(entry)) ChargeRate(entry);
  }

  bool CheckKey(const EntryRequestPtr& entry) {
    if (state.stale) {
      Refuse(entry, Reason::kConfigurationStale, "configuration is stale");
      return false;
    }
    if (CountHeaders(entry->request.headers, state.dialect.api_key) > 1) {
      Refuse(entry, Reason::kBadRequest, "more than one API key header");
      return false;
    }
    const auto found =
        state.keys.Find(entry->request.header(state.dialect.api_key));
    if (found.reason != Reason::kNone) {
      Refuse(entry, found.reason, "missing or invalid API key");
      return false;
    }
    entry->key = found;
    return true;
  }

  void MakeContext(EntryRequest& entry) {
    RequestContext& context = entry.context;
    context.id = RequestId::Make(state.random);
    if (entry.key) {
      context.organisation = entry.key->organisation;
      context.organisation_name = OrganisationName(entry, context.organisation);
    }
    context.importance = ImportanceOf(entry);
    context.version = entry.configuration->version;
    context.entry_host = state.self;
    if (MayBeOnwardCall(entry)) InheritParentContext(entry);
  }

  /// Binds the request to the home regions of its route and organisation, or of
  /// the request that it belongs to. False if no region is left.
  bool BindToHomes(EntryRequest& entry) const {
    HomeRegions& homes = entry.context.home_regions;
    const auto& organisations = entry.configuration->organisations;
    const auto it = organisations.find(entry.context.organisation);
    auto bound = CombineHomes(homes, entry.route->home_regions);
    if (bound && it != organisations.end()) {
      bound = CombineHomes(*bound, it->second.home_regions);
    }
    if (bound) homes = std::move(*bound);
    return bound.has_value();
  }

  /// Gives a target's call the organisation and the rank of the request that it
  /// belongs to, so that all hops agree on which requests to shed.
  void InheritParentContext(EntryRequest& entry) {
    if (!state.dialect.parent_request_of) return;
    const std::string_view token =
        state.dialect.parent_request_of(entry.caller_request_id);
    const RequestContext* parent = targets.FindContext(token);
    if (parent == nullptr) return;
    entry.parent_token = token;
    RequestContext& context = entry.context;
    context.id = parent->id;
    context.organisation = parent->organisation;
    context.organisation_name = parent->organisation_name;
    context.importance = parent->depth == 0
                             ? ImportanceOfOnwardCalls(parent->importance)
                             : parent->importance;
    context.depth = static_cast<std::uint8_t>(
        std::min(parent->depth + 1, LENTILCROSS_CONFIG_MAX_DEPTH));
    // The call may hold data of the request, which its target took from there.
    context.home_regions = parent->home_regions;
  }

  /// Returns the importance of the route, raised by the organisation's
  /// precedence if it is below `kStandard`. The result stays below `kStandard`,
  /// so that requests on more important routes are never outranked.
  static Importance ImportanceOf(const EntryRequest& entry) {
    const Importance importance = entry.route->importance;
    if (!entry.key || importance >= Importance::kStandard) return importance;
    const auto& organisations = entry.configuration->organisations;
    const auto it = organisations.find(entry.key->organisation);
    if (it == organisations.end()) return importance;
    const int raised =
        std::min(static_cast<int>(importance) + it->second.precedence,
                 static_cast<int>(Importance::kLookup));
    return std::max(importance, static_cast<Importance>(raised));
  }

  /// Returns true if the request may proceed. Claims the ticket if this process
  /// issued it; the issuer claims it otherwise.
  bool CheckTicket(const EntryRequestPtr& entry) {
    const auto& headers = entry->request.headers;
    if (CountHeaders(headers, header::kIdempotencyKey) > 1) {
      Refuse(entry, Reason::kBadRequest, "more than one Idempotency-Key");
      return false;
    }
    const std::string ticket(entry->request.header(header::kIdempotencyKey));
    if (ticket.empty()) {
      RequireTicket(entry);
      return false;
    }
    const auto issuer = TicketStore::ParseIssuer(ticket);
    if (!issuer) {
      Refuse(entry, Reason::kTicketInvalid,
             "the Idempotency-Key is not a ticket");
      return false;
    }
    if (issuer->host != state.self) {
      entry->issuer = issuer;
      return true;
    }
    const Instant now = state.Now();
    const TicketStore::Use use = state.tickets.Claim(
        ticket, entry->context.organisation, entry->route->id, now);
    if (use.reason != Reason::kNone) {
      Finish(entry, ReplyToRejectedTicket(use));
      return false;
    }
    entry->ticket = use.serial;
    return true;
  }

  void RequireTicket(const EntryRequestPtr& entry) {
    Reply reply = MakeRefusedReply(
        Reason::kTicketRequired, Outcome::kNotRun,
        "repeat the request with the Idempotency-Key of this response");
    const std::string ticket =
        state.tickets.Issue(entry->context.organisation, state.Now());
    HttpResponse response = MakeProblem(reply.refusal, state.dialect);
    response.headers.emplace_back(header::kIdempotencyKey, ticket);
    End(entry, reply, std::move(response));
  }

  void IssueTickets(const EntryRequestPtr& entry) {
    const auto count = ParseTicketCount(entry->request);
    if (entry->request.method != "POST" || !count) {
      Refuse(entry, Reason::kBadRequest, "use POST, with a count from 1 to 64");
      return;
    }
    if (!CheckKey(entry)) return;
    End(entry, {},
        lentilcross::IssueTickets(state.tickets, entry->key->organisation,
                                  *count, state.Now()));
  }

  // ----- Rate and entry gate

  void ChargeRate(const EntryRequestPtr& entry) {
    if (entry->route->open || IsUnlimited(*entry)) {
      // A request on an open route has organisation 0, which has no rate limit.
      // Refusing a target's call wastes the work done for its request so far,
      // so such calls skip the entry gate and the called target decides.
      if (IsOnwardCall(*entry)) {
        Send(entry);
      } else {
        CheckEntryGate(entry);
      }
      return;
    }
    const auto handle = waits.Acquire(
        entry->context.organisation, entry->deadline,
        [weak = weak_from_this(), entry](const RateWaitQueue::Result& result) {
          if (auto self = weak.lock()) self->OnCharged(entry, result);
        });
    if (!entry->ended && handle != 0) entry->wait = handle;
  }

  /// Without a context header in the dialect, targets make their onward calls
  /// over open routes of this listener.
  bool MayBeOnwardCall(const EntryRequest& entry) const {
    return entry.route->open && state.dialect.context.empty();
  }
  /// If no route requires a key, callers use open routes, too. Their requests
  /// are told from calls of targets by the importance of the routes that are
  /// meant for these, and by the request that a call belongs to.
  bool IsOnwardCall(const EntryRequest& entry) const {
    return MayBeOnwardCall(entry) &&
           (entry.route->importance == Importance::kCritical ||
            !entry.parent_token.empty());
  }

  static bool IsUnlimited(const EntryRequest& entry) {
    const auto& organisations = entry.configuration->organisations;
    const auto it = organisations.find(entry.context.organisation);
    return it != organisations.end() && it->second.unlimited;
  }

  void OnCharged(const EntryRequestPtr& entry,
                 const RateWaitQueue::Result& result) {
    entry->wait = 0;
    if (entry->ended) return;
    if (state.IsOpen(entry->route->id)) {
      // The rate limit that the request waited for is gone with its key.
      CheckEntryGate(entry);
      return;
    }
    if (!state.StillAdmits(entry->key, entry->route->id)) {
      Refuse(entry, Reason::kWithdrawnKey,
             "API key withdrawn during a wait for the rate limit");
      return;
    }
    switch (result.verdict) {
      case RateWaitQueue::Verdict::kAdmitted:
        CheckEntryGate(entry);
        return;
      case RateWaitQueue::Verdict::kDeadline:
        Refuse(entry, Reason::kDeadlineExceeded,
               "deadline passed during a wait for the rate limit");
        return;
      case RateWaitQueue::Verdict::kRefused:
        Refuse(entry, Reason::kRateExceeded,
               "rate limit of the organisation exceeded", result.retry_after);
        return;
    }
  }

  void CheckEntryGate(const EntryRequestPtr& entry) {
    const RequestContext& context = entry->context;
    const auto verdict = state.gate.Admit(
        entry->route->id, context.organisation, context.importance, context.id,
        state.Now(), state.random);
    if (!verdict.admitted) {
      Refuse(entry, Reason::kOverloaded,
             "a service that this route needs is overloaded",
             verdict.retry_after);
      return;
    }
    Send(entry);
  }

  static int ExtraAttempts(const EntryRequest& entry) {
    if (entry.route->max_attempts > 0) return entry.route->max_attempts - 1;
    return entry.configuration->preset.extra_attempts;
  }

  void Send(const EntryRequestPtr& entry) {
    OutgoingRequest request;
    request.context = entry->context;
    request.route = entry->route->id;
    request.service = PickService(*entry->route, state.random);
    request.request = std::move(entry->request);
    RemoveInternalHeaders(request.request.headers, state.dialect);
    if (!state.dialect.caller_service.empty()) {
      request.request.headers.emplace_back(state.dialect.caller_service,
                                           state.local_service);
    }
    request.deadline = entry->deadline;
    request.target_latency =
        std::min(entry->route->target_latency, entry->route->timeout);
    request.idempotent = entry->route->idempotent;
    request.open = entry->route->open;
    request.extra_attempts = static_cast<std::uint16_t>(ExtraAttempts(*entry));
    request.key = entry->key;
    request.issuer = entry->issuer;
    if (entry->issuer) ++state.stats.tickets_forwarded;
    targets.BeginOnwardWait(entry->parent_token);
    const auto handle = outgoing.Start(
        std::move(request), [weak = weak_from_this(), entry](Reply&& reply) {
          auto self = weak.lock();
          if (!self) return;
          self->targets.EndOnwardWait(entry->parent_token);
          self->Finish(entry, std::move(reply));
        });
    if (!entry->ended) entry->outgoing = handle;
  }

  // ----- Responses

  void Refuse(const EntryRequestPtr& entry, Reason reason, std::string detail,
              Duration retry_after = {}) {
    Reply reply = MakeRefusedReply(reason, Outcome::kNotRun, std::move(detail));
    reply.refusal.retry_after = retry_after;
    Finish(entry, std::move(reply));
  }

  void Finish(const EntryRequestPtr& entry, Reply&& reply) {
    if (entry->ended) return;
    if (entry->ticket) FinishTicket(state.tickets, *entry->ticket, reply);
    if (entry->route != nullptr) RecordLevels(*entry, reply);
    AddRetryJitter(reply.refusal);
    HttpResponse response = ToHttpResponse(Reply(reply), state.dialect);
    End(entry, reply, std::move(response));
  }

  /// Passes the shedding levels of a reply to the entry gate, or, for a
  /// target's call, to the request that it belongs to.
  void RecordLevels(const EntryRequest& entry, Reply& reply) {
    std::vector<ServiceLevel>& levels = reply.levels;
    const RequestContext* parent =
        entry.parent_token.empty() ? nullptr
                                   : targets.FindContext(entry.parent_token);
    if (parent == nullptr) {
      state.gate.OnReply(entry.route->id, entry.context.organisation, levels,
                         state.Now());
      return;
    }
    for (ServiceLevel& level : levels) {
      level.level = TranslateLevel(level.level, entry.context.importance,
                                   parent->importance);
    }
    targets.RecordOnwardResult(entry.parent_token, levels,
                               reply.attempts_exhausted);
  }

  void AddRetryJitter(Refusal& refusal) {
    switch (refusal.reason) {
      case Reason::kRateExceeded:
      case Reason::kOverloaded:
      case Reason::kNotReady:
      case Reason::kDraining:
      case Reason::kConfigurationStale:
      case Reason::kNoTarget:
      case Reason::kHomeUnreachable:
      case Reason::kTargetCold:
        refusal.retry_after =
            AddJitter(refusal.retry_after, state.retry_jitter, state.random);
        return;
      default:
        return;
    }
  }

  void End(const EntryRequestPtr& entry, const Reply& reply,
           HttpResponse response) {
    entry->ended = true;
    if (HasTargetResponse(reply)) {
      ++state.stats.answered;
      state.request_latency.Add(state.Now() - entry->arrived);
    } else {
      ++state.stats.refused[static_cast<std::size_t>(reply.refusal.reason)];
      if (reply.refusal.reason == Reason::kHomeUnreachable) {
        CountHomeRefusal(*entry);
      }
      LogRefusal(*entry, reply.refusal, response.status);
    }
    entries.erase(entry->exchange);
    respond(entry->exchange, std::move(response));
  }

  void CountHomeRefusal(const EntryRequest& entry) {
    state.home_refusals.Add(
        entry.context.organisation_name,
        RegionNames(entry.context.home_regions, *entry.configuration));
  }

  void LogRefusal(const EntryRequest& entry, const Refusal& refusal,
                  int status) {
    state.LogRateLimited(LogLevel::kInfo, "request-refused", [&] {
      const Instant now = state.Now();
      LogFields fields = {
          {"id", entry.caller_request_id},
          {"status", std::to_string(status)},
          {"reason", std::string(ToString(refusal.reason))},
          {"outcome", std::string(ToString(refusal.outcome))},
          {"detail", refusal.detail},
          {"after_ms", MillisecondsText(now - entry.arrived)},
          {"retry_after_ms", MillisecondsText(refusal.retry_after)},
          {"route", entry.route == nullptr ? "" : entry.route->prefix}};
      if (entry.configuration) {
        fields.emplace_back(
            "version", std::to_string(entry.configuration->version.value()));
      }
      if (!entry.context.home_regions.empty()) {
        fields.emplace_back(
            "home_regions",
            RegionNames(entry.context.home_regions, *entry.configuration));
      }
      const OrganisationId organisation = entry.context.organisation;
      if (organisation.valid()) {
        const Quota held = state.rate.held(organisation, now);
        fields.emplace_back("organisation",
                            OrganisationName(entry, organisation));
        fields.emplace_back("held_rate", std::to_string(held.rate));
        fields.emplace_back(
            "tokens", std::to_string(state.rate.tokens(organisation, now)));
      }
      return fields;
    });
  }

  static std::string OrganisationName(const EntryRequest& entry,
                                      OrganisationId id) {
    const auto& organisations = entry.configuration->organisations;
    const auto it = organisations.find(id);
    return it == organisations.end() ? "" : it->second.name;
  }

  void OnClientDisconnect(ExchangeId exchange) {
    const auto it = entries.find(exchange);
    if (it == entries.end()) return;
    const EntryRequestPtr entry = it->second;
    if (entry->outgoing != 0) {
      outgoing.Abort(entry->outgoing, Reason::kDeadlineExceeded);
      return;
    }
    if (entry->wait != 0) waits.Cancel(entry->wait);
    Refuse(entry, Reason::kDeadlineExceeded,
           "the caller closed its connection");
  }

  DataState& state;
  OutgoingCalls& outgoing;
  TargetCalls& targets;
  RateWaitQueue& waits;
  Respond respond;
  std::unordered_map<ExchangeId, EntryRequestPtr> entries;
};

RequestPipeline::RequestPipeline(DataState& state, OutgoingCalls& outgoing,
                                 TargetCalls& targets, RateWaitQueue& waits,
                                 Respond respond)
    : impl_(std::make_shared<Impl>(state, outgoing, targets, waits,
                                   std::move(respond))) {}

RequestPipeline::~RequestPipeline() = default;

void RequestPipeline::OnRequest(ExchangeId exchange, HttpRequest&& request) {
  impl_->OnRequest(exchange, std::move(request));
}

void RequestPipeline::OnClientDisconnect(ExchangeId exchange) {
  impl_->OnClientDisconnect(exchange);
}

std::size_t RequestPipeline::running() const { return impl_->entries.size(); }

}  // namespace lentilcross
