#pragma once

#include <memory>
#include <string>

#include "lentilcross/configuration.h"

namespace lentilcross {

struct FleetSize {
  int hosts = 0;
  int organisations = 8;
  int keys_per_organisation = 2;
  int failure_domains = 10;
};

/// Published document of a made-up fleet with one target on each host and about
/// 21 targets in each service, as 10,000 upstreams in 470 services have.
std::string FleetDocument(const FleetSize& size, std::uint64_t version);

std::shared_ptr<const Configuration> FleetConfiguration(const FleetSize& size);

inline std::string DomainName(int index) {
  return "domain-" + std::to_string(index);
}
inline std::string HostName(int index) {
  return "host-" + std::to_string(index);
}
inline std::string OrganisationName(int index) {
  return "organisation-" + std::to_string(index);
}

}  // namespace lentilcross
