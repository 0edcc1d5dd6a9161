// Time of one decision of the core: gate, route, admission and completion.
#include <benchmark/benchmark.h>

#include "deployment.h"
#include "lentilcross/admission.h"
#include "lentilcross/membership.h"
#include "lentilcross/routing.h"
#include "lentilcross/shedding.h"

namespace lentilcross::bench {
namespace {

constexpr Duration kStep = std::chrono::microseconds(20);
constexpr std::uint64_t kDecisionsPerTick = 250;  // each 5 ms

/// State that one decision reads: levels of a chain of 21 services, one
/// service's targets, and a target with calls in service.
struct Core {
  Core() : deployment(Deployment::Make("cedarhoop", 21)) {
    router.Apply(deployment.configuration, now);
    for (const ServiceId service : deployment.services) {
      levels.push_back({service, 1U << 29});
    }
    entry.weight = 1;
    entry.importance = Importance::kCritical;
  }
  const OrganisationSize& NextOrganisation() {
    return deployment.organisations[number % deployment.organisations.size()];
  }

  Deployment deployment;
  Random random{1};
  Instant now{std::chrono::hours(1)};
  EntryGate gate{EntryGate::Init{}};
  Router router = *Router::Create(
      {HostId::FromName("self"), FailureDomainId::FromName("domain")});
  Membership membership{{HostId::FromName("self"), Incarnation(1)}};
  TargetAdmission admission{TargetAdmission::Init{}};
  std::vector<ServiceLevel> levels;
  TargetAdmission::Entry entry;
  std::uint64_t number = 0;
};

TargetAdmission::Actions Decide(Core& core, RouteId route) {
  ++core.number;
  core.now += kStep;
  auto& entry = core.entry;
  entry.number = core.number;
  entry.request = RequestId::Make(core.random);
  entry.organisation = core.NextOrganisation().id;
  entry.deadline = core.now + std::chrono::seconds(1);
  const auto verdict =
      core.gate.Admit(route, entry.organisation, entry.importance,
                      entry.request, core.now, core.random);
  benchmark::DoNotOptimize(verdict);
  const CallKind kind{core.deployment.services[0]};
  const auto pick =
      core.router.Choose(kind, core.membership, {}, core.now, core.random);
  core.router.OnStart(pick->target);
  auto offered = core.admission.Offer(entry, core.now);
  core.router.OnEnd(pick->target, kind, Router::CallResult::kOk, kStep,
                    core.now);
  return offered;
}

void BenchmarkDecision(benchmark::State& state) {
  Core core;
  const RouteId route = RouteId::FromName("/");
  for (auto step : state) {
    static_cast<void>(step);
    if (core.number % 64 == 0) {
      for (const auto& organisation : core.deployment.organisations) {
        core.gate.OnReply(route, organisation.id, core.levels, core.now);
      }
    }
    benchmark::DoNotOptimize(Decide(core, route));
    benchmark::DoNotOptimize(core.admission.Finish(
        core.number, ConcurrencyLimit::Sample::kOk, core.now));
  }
}
BENCHMARK(BenchmarkDecision);

/// A call starts and ends for each arrival while the queue stands full.
void BenchmarkDecisionUnderOverload(benchmark::State& state) {
  Core core;
  const RouteId route = RouteId::FromName("/");
  std::vector<std::uint64_t> running;
  std::size_t oldest = 0;
  const auto keep = [&](const TargetAdmission::Actions& actions) {
    running.insert(running.end(), actions.start.begin(), actions.start.end());
  };
  for (auto step : state) {
    static_cast<void>(step);
    keep(Decide(core, route));
    // Half of the arrivals run: the other half is shed.
    if (core.number % 2 == 0 && oldest < running.size()) {
      keep(core.admission.Finish(running[oldest++],
                                 ConcurrencyLimit::Sample::kOk, core.now));
    }
    if (core.number % kDecisionsPerTick == 0) {
      keep(core.admission.Tick(core.now));
    }
  }
}
BENCHMARK(BenchmarkDecisionUnderOverload);

}  // namespace
}  // namespace lentilcross::bench

BENCHMARK_MAIN();
