#include "data_state.h"

#include <openssl/rand.h>

#include <stdexcept>

namespace lentilcross {
namespace {

Sha256Digest RandomSecret() {
  Sha256Digest secret{};
  // A predictable secret would let anyone forge tickets and context tokens.
  if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
    throw std::runtime_error("OpenSSL RAND_bytes failed");
  }
  return secret;
}

}  // namespace

bool DataState::IsOpen(RouteId route) const {
  if (!configuration) return false;
  const auto it = configuration->route_index.find(route);
  return it != configuration->route_index.end() &&
         configuration->routes[it->second].open;
}

bool DataState::StillAdmits(const std::optional<KeyRing::Lookup>& key,
                            RouteId route) const {
  return !key || keys.IsStillValid(*key) || IsOpen(route);
}

Result<std::unique_ptr<DataState>> DataState::Create(const DaemonInit& init,
                                                     Incarnation incarnation,
                                                     Scheduler& scheduler) {
  const HostId self = HostId::FromName(init.host);
  const auto domain = FailureDomainId::FromName(init.failure_domain);

  RateLimiter::Init rate_init;
  rate_init.self = self;
  rate_init.failure_domain = domain;
  rate_init.incarnation = incarnation;
  rate_init.loan_term = init.loan_term;
  rate_init.handover = init.rate_handover;
  rate_init.start_wait = init.rate_start_wait;
  rate_init.longest_wait = init.rate_wait;
  BOOST_LEAF_AUTO(rate, RateLimiter::Create(rate_init));

  TicketStore::Init ticket_init;
  ticket_init.self = self;
  ticket_init.incarnation = incarnation;
  ticket_init.secret = RandomSecret();
  BOOST_LEAF_AUTO(tickets, TicketStore::Create(ticket_init));

  ContextTokens::Init token_init;
  token_init.secret = RandomSecret();
  BOOST_LEAF_AUTO(tokens, ContextTokens::Create(token_init));

  Router::Init router_init;
  router_init.self = self;
  router_init.failure_domain = domain;
  BOOST_LEAF_AUTO(router, Router::Create(router_init));

  Membership::Init member_init;
  member_init.self = self;
  member_init.incarnation = incarnation;

  return std::unique_ptr<DataState>(new DataState{
      scheduler,
      self,
      incarnation,
      domain,
      nullptr,
      false,
      false,
      false,
      false,
      KeyRing(),
      std::move(rate),
      RetryBudget(init.retry_budget),
      std::move(tickets),
      DispatchFence(DispatchFence::Init{}),
      std::move(tokens),
      EntryGate(EntryGate::Init{}),
      std::move(router),
      Membership(member_init),
      Random(init.random_seed != 0 ? init.random_seed : incarnation.value()),
      PipelineStats(),
      init.on_log,
      init.dialect,
      init.targets.empty() ? "" : init.targets.front().service,
      init.retry_jitter});
}

}  // namespace lentilcross
