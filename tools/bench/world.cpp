#include "world.h"

#include <random>

#include "node.h"

namespace lentilcross::bench {

World::World(Deployment given, Policy given_policy,
             const Scenario& given_scenario, std::uint64_t seed)
    : deployment(std::move(given)),
      policy(given_policy),
      scenario(given_scenario),
      random(seed),
      membership({HostId::FromName("self"), Incarnation(1)}) {
  nodes.resize(deployment.chain.size());
  for (std::size_t hop = 0; hop < nodes.size(); ++hop) {
    const auto& service =
        deployment.configuration->services.at(deployment.services[hop]);
    for (const TargetEntry& target : service.targets) {
      nodes[hop].push_back(std::make_unique<Node>(*this, hop));
      nodes_by_target[target.id] = nodes[hop].back().get();
    }
  }
}

World::~World() = default;

Node& World::NodeOf(TargetId target) { return *nodes_by_target.at(target); }

Duration World::DrawWork() {
  // Two phases: spread widely, but less than an exponential distribution.
  std::exponential_distribution<double> phase(2 / kMeanWorkSeconds);
  const std::chrono::duration<double> work(phase(random) + phase(random));
  return std::chrono::duration_cast<Duration>(work);
}

}  // namespace lentilcross::bench
