#include "rate_owners.h"

#include <algorithm>
#include <utility>

namespace lentilcross {

void QuotaOwners::Apply(const Configuration& configuration) {
  owners_per_domain_ = static_cast<std::size_t>(
      std::max(1, configuration.rate_owners_per_domain));
  domains_.clear();
  domain_of_.clear();
  for (const auto& [id, domain] : configuration.failure_domains) {
    domains_[id].share = domain.share;
  }
  for (const auto& [id, host] : configuration.hosts) {
    domains_[host.failure_domain].hosts.push_back(id);
    domain_of_[id] = host.failure_domain;
  }
}

std::vector<HostId> QuotaOwners::Find(OrganisationId organisation,
                                      FailureDomainId domain) const {
  const auto it = domains_.find(domain);
  if (it == domains_.end()) return {};
  std::vector<std::pair<std::uint64_t, HostId>> scored;
  scored.reserve(it->second.hosts.size());
  for (const HostId host : it->second.hosts) {
    scored.emplace_back(CombineHash(organisation.value(), host.value()), host);
  }
  const std::size_t count = std::min(owners_per_domain_, scored.size());
  const auto end = scored.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(scored.begin(), end, scored.end());
  std::vector<HostId> owners;
  for (auto entry = scored.begin(); entry != end; ++entry) {
    owners.push_back(entry->second);
  }
  return owners;
}

double QuotaOwners::ShareOfOwner(FailureDomainId domain) const {
  const auto it = domains_.find(domain);
  if (it == domains_.end() || it->second.hosts.empty()) return 0;
  const std::size_t count =
      std::min(owners_per_domain_, it->second.hosts.size());
  return it->second.share / static_cast<double>(count);
}

std::vector<FailureDomainId> QuotaOwners::domains() const {
  std::vector<FailureDomainId> list;
  list.reserve(domains_.size());
  for (const auto& [id, domain] : domains_) list.push_back(id);
  std::sort(list.begin(), list.end());
  return list;
}

FailureDomainId QuotaOwners::DomainOf(HostId host) const {
  const auto it = domain_of_.find(host);
  return it == domain_of_.end() ? FailureDomainId() : it->second;
}

}  // namespace lentilcross
