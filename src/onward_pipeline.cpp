#include "onward_pipeline.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "call_replies.h"
#include "lentilcross/config.h"
#include "lentilcross/home_regions.h"
#include "request_rules.h"
#include "ticket_calls.h"

namespace lentilcross {
namespace {

struct OnwardCall {
  OnwardPipeline::ExchangeId exchange = 0;
  HttpRequest request;
  std::shared_ptr<const Configuration> configuration;
  const RouteEntry* route = nullptr;
  std::string token;
  std::string idempotency_key;
  /// `ContextTokens::Claim` succeeded; freed if the call did not run.
  bool claimed = false;
  RequestContext context;
  Instant deadline{};
  std::uint16_t lent_attempts = 0;  ///< Of the extra attempts of the token.
  OutgoingCalls::Handle outgoing = 0;
  bool ended = false;
};

using OnwardCallPtr = std::shared_ptr<OnwardCall>;

}  // namespace

struct OnwardPipeline::Impl : std::enable_shared_from_this<Impl> {
  Impl(DataState& data_state, OutgoingCalls& outgoing_calls,
       TargetCalls& target_calls, Respond respond_hook)
      : state(data_state),
        outgoing(outgoing_calls),
        targets(target_calls),
        respond(std::move(respond_hook)) {}

  void OnRequest(ExchangeId exchange, HttpRequest&& request) {
    ++state.stats.onward_requests;
    auto onward = std::make_shared<OnwardCall>();
    onward->exchange = exchange;
    onward->request = std::move(request);
    onward->configuration = state.configuration;
    by_exchange[exchange] = onward;
    const auto& headers = onward->request.headers;
    onward->token = onward->request.header(header::kContext);
    const ContextTokens::Entry* entry = state.tokens.Find(onward->token);
    if (entry == nullptr || CountHeaders(headers, header::kContext) != 1) {
      Refuse(onward, Reason::kContextInvalid,
             "missing or invalid Lentilcross-Context header");
      return;
    }
    if (onward->request.path() == kTicketPath) {
      IssueTickets(onward, entry->context.organisation);
      return;
    }
    CheckRoute(onward, *entry);
  }

  void CheckRoute(const OnwardCallPtr& onward,
                  const ContextTokens::Entry& entry) {
    onward->route = onward->configuration->FindRoute(
        onward->request.header("Host"), onward->request.path());
    if (onward->route == nullptr) {
      Refuse(onward, Reason::kUnknownRoute, "no route for this host and path");
      return;
    }
    const auto timeout =
        ParseTimeout(onward->request, *onward->route, state.dialect);
    if (!timeout) {
      Refuse(onward, Reason::kBadRequest, "malformed timeout header");
      return;
    }
    onward->deadline = std::min(entry.deadline, state.Now() + *timeout);
    onward->context = entry.context;
    ++onward->context.depth;
    if (onward->context.depth > LENTILCROSS_CONFIG_MAX_DEPTH) {
      Refuse(onward, Reason::kBadRequest,
             "the call chain exceeds the maximum depth");
      return;
    }
    auto homes =
        CombineHomes(onward->context.home_regions, onward->route->home_regions);
    if (!homes) {
      Refuse(onward, Reason::kHomeUnreachable,
             "the route and the request that it is called for have no home "
             "region in common");
      return;
    }
    onward->context.home_regions = std::move(*homes);
    if (onward->route->idempotent || ClaimOnwardCall(onward)) Send(onward);
  }

  bool ClaimOnwardCall(const OnwardCallPtr& onward) {
    onward->idempotency_key = onward->request.header(header::kIdempotencyKey);
    const auto use = state.tokens.Claim(onward->token, onward->idempotency_key,
                                        onward->route->id);
    switch (use) {
      case ContextTokens::Use::kFirst:
        onward->claimed = true;
        return true;
      case ContextTokens::Use::kRepeated:
        Finish(onward, MakeRefusedReply(Reason::kAlreadyRun, Outcome::kUnknown,
                                        "this onward call was already made"));
        return false;
      case ContextTokens::Use::kFull:
        Refuse(onward, Reason::kOverloaded,
               "too many onward calls of one request");
        return false;
      case ContextTokens::Use::kUnknown:
        Refuse(onward, Reason::kContextInvalid,
               "the call of this Lentilcross-Context has ended");
        return false;
    }
    return false;
  }

  void IssueTickets(const OnwardCallPtr& onward, OrganisationId organisation) {
    const auto count = ParseTicketCount(onward->request);
    if (onward->request.method != "POST" || !count) {
      Refuse(onward, Reason::kBadRequest,
             "use POST, with a count from 1 to 64");
      return;
    }
    End(onward, lentilcross::IssueTickets(state.tickets, organisation, *count,
                                          state.Now()));
  }

  void Send(const OnwardCallPtr& onward) {
    OutgoingRequest request;
    request.context = onward->context;
    request.route = onward->route->id;
    request.service = PickService(*onward->route, state.random);
    request.request = std::move(onward->request);
    RemoveInternalHeaders(request.request.headers, state.dialect);
    request.deadline = onward->deadline;
    request.target_latency =
        std::min(onward->route->target_latency, onward->route->timeout);
    request.idempotent = onward->route->idempotent;
    if (auto* entry = state.tokens.Find(onward->token)) {
      onward->lent_attempts = entry->allowance.TakeHalf();
    }
    request.extra_attempts = onward->lent_attempts;
    by_token[onward->token].push_back(onward);
    targets.BeginOnwardWait(onward->token);
    const auto handle = outgoing.Start(
        std::move(request), [weak = weak_from_this(), onward](Reply&& reply) {
          if (auto self = weak.lock()) self->OnReply(onward, std::move(reply));
        });
    if (!onward->ended) onward->outgoing = handle;
  }

  void OnReply(const OnwardCallPtr& onward, Reply&& reply) {
    if (auto* entry = state.tokens.Find(onward->token)) {
      entry->allowance.ReturnUnused(reply.extra_attempts_left,
                                    onward->lent_attempts);
    }
    targets.EndOnwardWait(onward->token);
    targets.RecordOnwardResult(onward->token, reply.levels,
                               reply.attempts_exhausted);
    Finish(onward, std::move(reply));
  }

  void Refuse(const OnwardCallPtr& onward, Reason reason, std::string detail) {
    Finish(onward,
           MakeRefusedReply(reason, Outcome::kNotRun, std::move(detail)));
  }

  void Finish(const OnwardCallPtr& onward, Reply&& reply) {
    if (onward->ended) return;
    if (onward->claimed && IsNotRun(reply)) {
      state.tokens.Free(onward->token, onward->idempotency_key,
                        onward->route->id);
    }
    if (HasTargetResponse(reply)) {
      ++state.stats.answered;
    } else {
      ++state.stats.refused[static_cast<std::size_t>(reply.refusal.reason)];
    }
    End(onward, ToHttpResponse(std::move(reply), state.dialect));
  }

  void End(const OnwardCallPtr& onward, HttpResponse response) {
    onward->ended = true;
    by_exchange.erase(onward->exchange);
    RemoveFromTokenList(onward);
    respond(onward->exchange, std::move(response));
  }

  void RemoveFromTokenList(const OnwardCallPtr& onward) {
    const auto it = by_token.find(onward->token);
    if (it == by_token.end()) return;
    auto& list = it->second;
    list.erase(std::remove(list.begin(), list.end(), onward), list.end());
    if (list.empty()) by_token.erase(it);
  }

  void OnClientDisconnect(ExchangeId exchange) {
    const auto it = by_exchange.find(exchange);
    if (it == by_exchange.end()) return;
    const OnwardCallPtr onward = it->second;
    outgoing.Abort(onward->outgoing, Reason::kDeadlineExceeded);
  }

  void OnTokenRevoked(const std::string& token) {
    const auto it = by_token.find(token);
    if (it == by_token.end()) return;
    const std::vector<OnwardCallPtr> list = it->second;
    for (const OnwardCallPtr& onward : list) {
      outgoing.Abort(onward->outgoing, Reason::kDeadlineExceeded);
    }
  }

  DataState& state;
  OutgoingCalls& outgoing;
  TargetCalls& targets;
  Respond respond;
  std::unordered_map<ExchangeId, OnwardCallPtr> by_exchange;
  std::unordered_map<std::string, std::vector<OnwardCallPtr>> by_token;
};

OnwardPipeline::OnwardPipeline(DataState& state, OutgoingCalls& outgoing,
                               TargetCalls& targets, Respond respond)
    : impl_(std::make_shared<Impl>(state, outgoing, targets,
                                   std::move(respond))) {}

OnwardPipeline::~OnwardPipeline() = default;

void OnwardPipeline::OnRequest(ExchangeId exchange, HttpRequest&& request) {
  impl_->OnRequest(exchange, std::move(request));
}

void OnwardPipeline::OnClientDisconnect(ExchangeId exchange) {
  impl_->OnClientDisconnect(exchange);
}

void OnwardPipeline::OnTokenRevoked(const std::string& token) {
  impl_->OnTokenRevoked(token);
}

std::size_t OnwardPipeline::running() const {
  return impl_->by_exchange.size();
}

}  // namespace lentilcross
