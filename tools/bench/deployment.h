#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lentilcross/configuration.h"

namespace lentilcross::bench {

inline constexpr int kTargetsPerService = 6;
inline constexpr double kMeanWorkSeconds = 0.02;

struct ServiceSize {
  std::string name;
  int slots = 0;        ///< Of each target.
  int connections = 0;  ///< Of each target.
};

struct OrganisationSize {
  OrganisationId id;
  double demand_share = 0;
  double weight = 1;
};

/// One of the two deployments of the design, as a chain of services. A chain
/// longer than the services repeats them as distinct services.
struct Deployment {
  std::string name;
  std::vector<ServiceSize> chain;
  std::vector<ServiceId> services;
  std::vector<OrganisationSize> organisations;
  std::shared_ptr<const Configuration> configuration;
  Duration client_latency = std::chrono::milliseconds(8);  ///< One way.
  Duration timeout{};

  static Deployment Make(const std::string& name, int depth);
  /// Whole requests per second that the narrowest service can complete.
  double capacity() const;
  /// Index of the deepest narrowest service.
  std::size_t bottleneck() const;
};

/// Part of the requests of each importance, lowest first.
const std::vector<double>& ImportanceMix();

/// What each organisation gets when `capacity` is given to the highest
/// importance first and, within one, in weighted max-min shares.
std::vector<double> FairShares(const Deployment& deployment,
                               const std::vector<double>& demands,
                               double capacity);

}  // namespace lentilcross::bench
