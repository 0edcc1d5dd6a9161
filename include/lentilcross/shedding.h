#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Rank of a request for shedding; higher is kept longer. Importance first,
/// then a stable hash of the request id, so that all hops agree.
std::uint32_t RankOf(Importance importance, const RequestId& request);

/// Bits of a rank below the importance.
inline constexpr int kRankHashBits = 30;

/// Importance of the calls that a request needs, while they are not done. It is
/// above that of new requests that are no more important: refusing such a call
/// wastes the work done so far.
Importance ImportanceOfOnwardCalls(Importance request);

/// Level for requests of importance `to` that refuses the same share of them as
/// `level` refuses of importance `from`.
std::uint32_t TranslateLevel(std::uint32_t level, Importance from,
                             Importance to);

/// Refuses requests at entry that would be refused by a service behind their
/// route. Learns the services behind a route, and their levels for each
/// organisation, from replies. Never refuses a request on behalf of a service
/// while it admits requests of lower importance, on any route, to that service.
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

  Verdict Admit(RouteId route, OrganisationId organisation,
                Importance importance, const RequestId& request, Instant now,
                Random& random);
  /// `levels` are those that the targets stated for `organisation`.
  void OnReply(RouteId route, OrganisationId organisation,
               const std::vector<ServiceLevel>& levels, Instant now);
  /// Level in force for requests of the organisation on the route.
  std::uint32_t level(RouteId route, OrganisationId organisation,
                      Instant now) const;
  const Stats& stats() const { return stats_; }

 private:
  struct Level {
    ServiceId service;
    double level = 0;
    Instant heard{};
  };
  struct Key {
    RouteId route;
    OrganisationId organisation;
    friend bool operator==(const Key& a, const Key& b) {
      return a.route == b.route && a.organisation == b.organisation;
    }
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept {
      return key.route.value() ^ (key.organisation.value() * 31);
    }
  };
  /// When requests of each importance were last admitted to a service.
  using AdmittedAt = std::array<Instant, kImportanceCount>;
  static bool LowerAdmitted(const AdmittedAt& admitted, Importance importance,
                            Instant now);
  double Current(const Level& level, Instant now) const;
  /// A service states a level above the rank of the request, and no request of
  /// lower importance was admitted to it lately.
  bool Refuses(const Key& key, Importance importance, const RequestId& request,
               Instant now) const;
  void RecordAdmitted(RouteId route, Importance importance, Instant now);

  Init init_;
  Stats stats_;
  std::unordered_map<Key, std::vector<Level>, KeyHash> levels_;
  std::unordered_map<RouteId, std::vector<ServiceId>> services_;
  std::unordered_map<ServiceId, AdmittedAt> admitted_;
};

}  // namespace lentilcross
