#pragma once

#include <unordered_map>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Hosts among which the owners of a part of every organisation's quota are
/// chosen: those of a region or of a failure domain.
using OwnerGroupId = Id<struct OwnerGroupTag>;

/// Hosts that own an organisation's quota by the published configuration.
class QuotaOwners {
 public:
  void Apply(const Configuration& configuration);

  /// Owners in a group, best ranked first: at most `rate_owners_per_region`, or
  /// `rate_owners_per_domain` if that is set.
  std::vector<HostId> Find(OrganisationId organisation,
                           OwnerGroupId group) const;
  /// Owners in all groups, best ranked first.
  std::vector<HostId> FindAll(OrganisationId organisation) const;
  /// Share of an organisation's rate and burst that each owner in the group
  /// holds, from 0 to 1.
  double ShareOfOwner(OwnerGroupId group) const;
  /// Invalid if the configuration does not list the failure domain.
  OwnerGroupId GroupOf(FailureDomainId domain) const;
  /// Invalid if the configuration does not list the host.
  OwnerGroupId GroupOf(HostId host) const;

  /// Order of preference among an organisation's owners; lower is better.
  static std::uint64_t RankOf(OrganisationId organisation, HostId owner) {
    return CombineHash(organisation.value(), owner.value());
  }

 private:
  struct Group {
    double share = 0;
    std::vector<HostId> hosts;
  };

  std::size_t owners_per_group_ = 0;
  std::unordered_map<OwnerGroupId, Group> groups_;
  std::unordered_map<FailureDomainId, OwnerGroupId> group_of_domain_;
  std::unordered_map<HostId, OwnerGroupId> group_of_host_;
};

}  // namespace lentilcross
