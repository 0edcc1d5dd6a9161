#pragma once

#include <unordered_map>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Which hosts own an organisation's quota, by the published configuration.
class QuotaOwners {
 public:
  void Apply(const Configuration& configuration);

  /// At most `rate_owners_per_domain` hosts of the domain, best first.
  std::vector<HostId> Find(OrganisationId organisation,
                           FailureDomainId domain) const;
  /// Share of the organisation's rate and burst that each owner in the domain
  /// holds, 0 to 1.
  double ShareOfOwner(FailureDomainId domain) const;
  std::vector<FailureDomainId> domains() const;
  /// Invalid if the configuration does not list the host.
  FailureDomainId DomainOf(HostId host) const;

 private:
  struct Domain {
    double share = 0;
    std::vector<HostId> hosts;
  };

  std::size_t owners_per_domain_ = 0;
  std::unordered_map<FailureDomainId, Domain> domains_;
  std::unordered_map<HostId, FailureDomainId> domain_of_;
};

}  // namespace lentilcross
