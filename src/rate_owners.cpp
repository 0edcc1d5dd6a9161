#include "rate_owners.h"

#include <algorithm>
#include <utility>

namespace lentilcross {

void QuotaOwners::Apply(const Configuration& configuration) {
  const bool by_domain = configuration.rate_owners_per_domain > 0;
  owners_per_group_ = static_cast<std::size_t>(
      by_domain ? configuration.rate_owners_per_domain
                : std::max(1, configuration.rate_owners_per_region));
  groups_.clear();
  group_of_domain_.clear();
  group_of_host_.clear();
  for (const auto& [id, domain] : configuration.failure_domains) {
    const auto group =
        OwnerGroupId::FromName(by_domain ? domain.name : domain.region);
    group_of_domain_[id] = group;
    groups_[group].share += domain.share;
  }
  for (const auto& [id, host] : configuration.hosts) {
    const OwnerGroupId group = GroupOf(host.failure_domain);
    group_of_host_[id] = group;
    groups_[group].hosts.push_back(id);
  }
}

std::vector<HostId> QuotaOwners::Find(OrganisationId organisation,
                                      OwnerGroupId group) const {
  const auto it = groups_.find(group);
  if (it == groups_.end()) return {};
  std::vector<std::pair<std::uint64_t, HostId>> ranked;
  ranked.reserve(it->second.hosts.size());
  for (const HostId host : it->second.hosts) {
    ranked.emplace_back(RankOf(organisation, host), host);
  }
  const std::size_t count = std::min(owners_per_group_, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), end, ranked.end());
  std::vector<HostId> owners;
  for (auto entry = ranked.begin(); entry != end; ++entry) {
    owners.push_back(entry->second);
  }
  return owners;
}

std::vector<HostId> QuotaOwners::FindAll(OrganisationId organisation) const {
  std::vector<HostId> all;
  for (const auto& [id, group] : groups_) {
    const std::vector<HostId> owners = Find(organisation, id);
    all.insert(all.end(), owners.begin(), owners.end());
  }
  std::sort(all.begin(), all.end(), [organisation](HostId a, HostId b) {
    return RankOf(organisation, a) < RankOf(organisation, b);
  });
  return all;
}

double QuotaOwners::ShareOfOwner(OwnerGroupId group) const {
  const auto it = groups_.find(group);
  if (it == groups_.end() || it->second.hosts.empty()) return 0;
  const std::size_t count =
      std::min(owners_per_group_, it->second.hosts.size());
  return it->second.share / static_cast<double>(count);
}

OwnerGroupId QuotaOwners::GroupOf(FailureDomainId domain) const {
  const auto it = group_of_domain_.find(domain);
  return it == group_of_domain_.end() ? OwnerGroupId() : it->second;
}

OwnerGroupId QuotaOwners::GroupOf(HostId host) const {
  const auto it = group_of_host_.find(host);
  return it == group_of_host_.end() ? OwnerGroupId() : it->second;
}

}  // namespace lentilcross
