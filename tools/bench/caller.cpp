#include "caller.h"

#include <random>

#include "lentilcross/shedding.h"
#include "node.h"

namespace lentilcross::bench {
namespace {

Router MakeRouter(const World& world) {
  Router::Init init;
  init.self = HostId::FromName("self");
  init.failure_domain = FailureDomainId::FromName("domain");
  auto router = Router::Create(init);
  router->Apply(world.deployment.configuration, world.loop.now());
  return *router;
}

Router::CallResult CallResultOf(CallEnd end) {
  switch (end) {
    case CallEnd::kShed:
      return Router::CallResult::kShed;
    case CallEnd::kFailed:
    case CallEnd::kLate:
      return Router::CallResult::kFailed;
    case CallEnd::kOk:
    case CallEnd::kBehind:
      break;
  }
  return Router::CallResult::kOk;
}

}  // namespace

struct Caller::Pending {
  std::size_t hop = 0;
  RequestPtr request;
  AttemptAllowance allowance;
  std::vector<TargetId> tried;
  OnReply on_reply;
};

Caller::Caller(World& world)
    : world_(world), router_(MakeRouter(world)), budget_({}) {}

void Caller::Call(std::size_t hop, const RequestPtr& request,
                  std::uint16_t extra, OnReply on_reply) {
  ++world_.counters.first_calls;
  budget_.RecordFirstAttempt(world_.deployment.services[hop],
                             world_.loop.now());
  Attempt(std::make_shared<Pending>(
      Pending{hop, request, AttemptAllowance(extra), {}, std::move(on_reply)}));
}

TargetId Caller::ChooseByEndpoint(std::size_t hop) {
  const auto& targets = world_.deployment.configuration->services
                            .at(world_.deployment.services[hop])
                            .targets;
  std::uniform_int_distribution<std::size_t> pick(0, targets.size() - 1);
  const std::size_t a = pick(world_.random);
  const std::size_t b = pick(world_.random);
  // Load endpoints say the opposite of the truth, so the slow targets look
  // idle; without a lie they say the same about all.
  const bool lie =
      world_.scenario.endpoints_lie && hop == world_.deployment.bottleneck();
  return targets[lie ? std::min(a, b) : a].id;
}

std::optional<TargetId> Caller::ChooseTarget(const Pending& pending) {
  if (world_.policy != Policy::kLentilcross) {
    return ChooseByEndpoint(pending.hop);
  }
  const auto pick = router_.Choose({world_.deployment.services[pending.hop]},
                                   world_.membership, pending.tried,
                                   world_.loop.now(), world_.random);
  if (!pick) return std::nullopt;
  return pick->target;
}

void Caller::Attempt(const PendingPtr& pending) {
  const auto target = ChooseTarget(*pending);
  if (!target) {
    pending->on_reply({CallEnd::kFailed, 0, {}});
    return;
  }
  ++world_.counters.calls;
  pending->tried.push_back(*target);
  router_.OnStart(*target);
  const std::uint16_t lent = pending->allowance.TakeAll();
  world_.NodeOf(*target).Receive(
      pending->request, lent,
      [this, pending, target = *target, lent,
       sent = world_.loop.now()](const CallReply& reply) {
        OnEnd(pending, target, lent, sent, reply);
      });
}

bool Caller::MayRepeat(Pending& pending, const CallReply& reply) {
  if (reply.end == CallEnd::kOk || reply.end == CallEnd::kLate) return false;
  if (world_.loop.now() >= pending.request->deadline) return false;
  if (world_.policy != Policy::kLentilcross) return pending.tried.size() < 2;
  const Importance importance = pending.request->importance;
  FailedAttempt attempt;
  attempt.failed_downstream = reply.end == CallEnd::kBehind;
  attempt.shed = reply.end == CallEnd::kShed;
  attempt.may_have_run = reply.end == CallEnd::kFailed;
  attempt.idempotent = importance != Importance::kCritical;
  attempt.rank = RankOf(importance, pending.request->id);
  attempt.level = reply.levels.empty() ? 0 : reply.levels.front().level;
  return MayRetryOnOtherTarget(attempt) &&
         pending.allowance.extra_attempts() > 0 &&
         budget_.TryRetry(world_.deployment.services[pending.hop],
                          world_.loop.now()) &&
         pending.allowance.TryConsume();
}

void Caller::OnEnd(const PendingPtr& pending, TargetId target,
                   std::uint16_t lent, Instant sent, CallReply reply) {
  const Instant now = world_.loop.now();
  router_.OnEnd(target, {world_.deployment.services[pending->hop]},
                CallResultOf(reply.end), now - sent, now);
  pending->allowance.ReturnUnused(reply.extra_left, lent);
  if (MayRepeat(*pending, reply)) {
    Attempt(pending);
    return;
  }
  reply.extra_left = pending->allowance.extra_attempts();
  pending->on_reply(reply);
}

}  // namespace lentilcross::bench
