#include "deployment.h"

#include <algorithm>
#include <numeric>

namespace lentilcross::bench {
namespace {

const std::vector<ServiceSize> kCedarhoop = {{"stock", 60, 470},
                                             {"deposits", 60, 470},
                                             {"catalogue", 60, 470},
                                             {"freight", 10, 170}};
const std::vector<ServiceSize> kBrierley = {{"collections", 100, 750},
                                            {"bookings", 100, 750},
                                            {"workshop", 100, 750},
                                            {"stores", 20, 230}};
// A few large organisations. Weights differ from demand, so that equal
// treatment of all requests does not give fair shares by accident.
const std::vector<double> kDemandShares = {0.30, 0.25, 0.15, 0.10,
                                           0.08, 0.06, 0.04, 0.02};
const std::vector<double> kWeights = {4, 4, 2, 2, 1, 1, 1, 1};
constexpr int kShallowDepth = 4;

std::shared_ptr<const Configuration> MakeConfiguration(
    const Deployment& deployment) {
  auto configuration = std::make_shared<Configuration>();
  const auto domain = FailureDomainId::FromName("domain");
  configuration->failure_domains[domain] = {domain, "domain", "region", 1};
  for (std::size_t hop = 0; hop < deployment.services.size(); ++hop) {
    ServiceEntry service;
    service.id = deployment.services[hop];
    for (int i = 0; i < kTargetsPerService; ++i) {
      const std::string name = std::to_string(hop) + "-" + std::to_string(i);
      const auto host = HostId::FromName(name);
      configuration->hosts[host] = {host, name, domain, ""};
      service.targets.push_back({TargetId::FromName(name), name, host});
    }
    configuration->services[service.id] = service;
  }
  return configuration;
}

}  // namespace

const std::vector<double>& ImportanceMix() {
  static const std::vector<double> mix = {0.1, 0.6, 0.2, 0.1};
  return mix;
}

Deployment Deployment::Make(const std::string& name, int depth) {
  const auto& sizes = name == "cedarhoop" ? kCedarhoop : kBrierley;
  Deployment deployment;
  deployment.name = name;
  deployment.timeout =
      std::chrono::milliseconds(depth > kShallowDepth ? 2000 : 800);
  for (int hop = 0; hop < depth; ++hop) {
    const auto& size = sizes[static_cast<std::size_t>(hop) % sizes.size()];
    deployment.chain.push_back(size);
    deployment.services.push_back(
        ServiceId::FromName(size.name + std::to_string(hop)));
  }
  for (std::size_t i = 0; i < kWeights.size(); ++i) {
    deployment.organisations.push_back(
        {OrganisationId::FromName("organisation-" + std::to_string(i)),
         kDemandShares[i], kWeights[i]});
  }
  deployment.configuration = MakeConfiguration(deployment);
  return deployment;
}

std::size_t Deployment::bottleneck() const {
  std::size_t narrowest = 0;
  for (std::size_t hop = 0; hop < chain.size(); ++hop) {
    if (chain[hop].slots <= chain[narrowest].slots) narrowest = hop;
  }
  return narrowest;
}

double Deployment::capacity() const {
  return kTargetsPerService * chain[bottleneck()].slots / kMeanWorkSeconds;
}

namespace {

// Fills `gains` up to `wants`, so that (held + gain) / weight is equal where
// the want is not met.
std::vector<double> Fill(const Deployment& deployment,
                         const std::vector<double>& held,
                         const std::vector<double>& wants, double capacity) {
  std::vector<double> gains(wants.size());
  double low = 0;
  double high = 1e9;
  for (int step = 0; step < 200; ++step) {
    const double fill = (low + high) / 2;
    for (std::size_t i = 0; i < wants.size(); ++i) {
      const double weight = deployment.organisations[i].weight;
      gains[i] = std::clamp(fill * weight - held[i], 0.0, wants[i]);
    }
    const double sum = std::accumulate(gains.begin(), gains.end(), 0.0);
    (sum < capacity ? low : high) = fill;
  }
  return gains;
}

}  // namespace

std::vector<double> FairShares(const Deployment& deployment,
                               const std::vector<double>& demands,
                               double capacity) {
  std::vector<double> held(demands.size());
  for (std::size_t level = ImportanceMix().size(); level-- > 0;) {
    std::vector<double> wants(demands.size());
    for (std::size_t i = 0; i < demands.size(); ++i) {
      wants[i] = demands[i] * ImportanceMix()[level];
    }
    const auto gains = Fill(deployment, held, wants, capacity);
    for (std::size_t i = 0; i < held.size(); ++i) {
      held[i] += gains[i];
      capacity -= gains[i];
    }
  }
  return held;
}

}  // namespace lentilcross::bench
