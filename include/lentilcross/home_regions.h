#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// True if a request with these home regions may be served in `region`.
bool AllowsRegion(const HomeRegions& homes, RegionId region);

/// Home regions of a request to which both apply. Empty result if they have no
/// region in common, so that the request can be served nowhere.
std::optional<HomeRegions> CombineHomes(const HomeRegions& a,
                                        const HomeRegions& b);

/// Invalid id if the configuration does not list the host or domain.
RegionId RegionOf(HostId host, const Configuration& configuration);
RegionId RegionOf(FailureDomainId domain, const Configuration& configuration);

/// Whether the failure domain of the host is evacuated.
bool IsEvacuated(HostId host, const Configuration& configuration);

/// Names of the regions, joined by commas, for logs and metrics.
std::string RegionNames(const HomeRegions& homes,
                        const Configuration& configuration);

/// Counts the requests that were refused because none of their home regions
/// could be reached, by organisation and home regions.
class HomeRefusals {
 public:
  struct Count {
    std::string organisation;  ///< Empty: none.
    std::string regions;
    std::uint64_t refused = 0;
  };

  void Add(const std::string& organisation, const std::string& regions);
  /// At most `kMaxCounts`. Refusals beyond them are counted together, with
  /// `kOthers` for both names.
  const std::vector<Count>& counts() const { return counts_; }

  static constexpr std::size_t kMaxCounts = 64;
  static constexpr const char* kOthers = "others";

 private:
  std::vector<Count> counts_;
};

}  // namespace lentilcross
