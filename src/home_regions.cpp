#include "lentilcross/home_regions.h"

#include <algorithm>
#include <iterator>

namespace lentilcross {

bool AllowsRegion(const HomeRegions& homes, RegionId region) {
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), region) != homes.end();
}

std::optional<HomeRegions> CombineHomes(const HomeRegions& a,
                                        const HomeRegions& b) {
  if (a.empty()) return b;
  if (b.empty()) return a;
  HomeRegions both;
  std::copy_if(a.begin(), a.end(), std::back_inserter(both),
               [&b](RegionId region) { return AllowsRegion(b, region); });
  if (both.empty()) return std::nullopt;
  return both;
}

RegionId RegionOf(HostId host, const Configuration& configuration) {
  const auto found = configuration.hosts.find(host);
  if (found == configuration.hosts.end()) return {};
  return RegionOf(found->second.failure_domain, configuration);
}

RegionId RegionOf(FailureDomainId domain, const Configuration& configuration) {
  const auto found = configuration.failure_domains.find(domain);
  if (found == configuration.failure_domains.end()) return {};
  return RegionId::FromName(found->second.region);
}

bool IsEvacuated(HostId host, const Configuration& configuration) {
  const auto found = configuration.hosts.find(host);
  if (found == configuration.hosts.end()) return false;
  const auto domain =
      configuration.failure_domains.find(found->second.failure_domain);
  return domain != configuration.failure_domains.end() &&
         domain->second.evacuated;
}

std::string RegionNames(const HomeRegions& homes,
                        const Configuration& configuration) {
  std::vector<std::string> names;
  for (const auto& [id, domain] : configuration.failure_domains) {
    const RegionId region = RegionId::FromName(domain.region);
    if (!homes.empty() && AllowsRegion(homes, region)) {
      names.push_back(domain.region);
    }
  }
  // Several domains are in one region, and the order of a hash table varies.
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  std::string joined;
  for (const std::string& name : names) {
    joined += (joined.empty() ? "" : ",") + name;
  }
  return joined;
}

void HomeRefusals::Add(const std::string& organisation,
                       const std::string& regions) {
  const auto find = [this](const std::string& name, const std::string& where) {
    return std::find_if(
        counts_.begin(), counts_.end(), [&](const Count& count) {
          return count.organisation == name && count.regions == where;
        });
  };
  auto count = find(organisation, regions);
  // One place is kept for all that do not fit.
  if (count == counts_.end() && counts_.size() + 1 < kMaxCounts) {
    count = counts_.insert(counts_.end(), {organisation, regions, 0});
  }
  if (count == counts_.end()) count = find(kOthers, kOthers);
  if (count == counts_.end()) {
    count = counts_.insert(counts_.end(), {kOthers, kOthers, 0});
  }
  ++count->refused;
}

}  // namespace lentilcross
