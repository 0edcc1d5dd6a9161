#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Rank of a request for shedding; higher is kept longer. Importance first,
/// then a stable hash of the request id, so that all hops agree.
std::uint32_t RankOf(Importance importance, const RequestId& request);

/// Refuses requests at entry that would be refused by a service behind their
/// route. Learns the services behind a route, and their levels, from replies.
class EntryGate {
 public:
  struct Init {
    Duration level_lifetime = std::chrono::milliseconds(500);
    double probe_fraction = 0.01;  ///< Let through below the level, to learn.
  };
  struct Stats {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t probes = 0;
  };
  struct Verdict {
    bool admitted = true;
    Duration retry_after{};
  };

  explicit EntryGate(const Init& init) : init_(init) {}

  Verdict Admit(RouteId route, Importance importance, const RequestId& request,
                Instant now, Random& random);
  void OnReply(RouteId route, const std::vector<ServiceLevel>& levels,
               Instant now);
  const Stats& stats() const { return stats_; }

 private:
  struct Level {
    std::uint32_t level = 0;
    Instant heard{};
  };
  Init init_;
  Stats stats_;
  std::unordered_map<RouteId, std::unordered_map<ServiceId, Level>> routes_;
};

}  // namespace lentilcross
