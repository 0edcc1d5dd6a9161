#pragma once

#include <unordered_map>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Hosts that own an organisation's quota by the published configuration.
class QuotaOwners {
 public:
  void Apply(const Configuration& configuration);

  /// Owners in a failure domain, best ranked first: at most
  /// `rate_owners_per_domain`.
  std::vector<HostId> Find(OrganisationId organisation,
                           FailureDomainId domain) const;
  /// Share of an organisation's rate and burst that each owner in the domain
  /// holds, from 0 to 1.
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
