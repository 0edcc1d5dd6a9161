#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Rank of a request for shedding; the lowest rank is shed first. Ordered by
/// importance, then by a hash of the request id, so that all hops agree.
std::uint32_t RankOf(Importance importance, const RequestId& request);

/// Bits of the hash in a rank, below the importance.
inline constexpr int kRankHashBits = 30;

/// Importance of the onward calls of a request. It is raised above that of new
/// requests, at most to critical: refusing an onward call wastes the work that
/// was already done.
Importance ImportanceOfOnwardCalls(Importance request);

/// Level that refuses the same fraction of the requests of importance `to` as
/// `level` refuses of those of importance `from`.
std::uint32_t TranslateLevel(std::uint32_t level, Importance from,
                             Importance to);

/// Refuses requests where they enter the system if a service that they need
/// would shed them. Learns from replies which services a route needs and their
/// shedding levels for each organisation. Never refuses a request because of a
/// service while it admits requests of lower importance, on any route, to that
/// service.
class EntryGate {
 public:
  struct Init {
    /// A level that no reply confirms fades out after this time.
    Duration level_lifetime = std::chrono::milliseconds(500);
    /// Fraction of the requests below the level that is admitted to notice when
    /// the level falls.
    double probe_fraction = 0.01;
  };
  struct Stats {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t probes = 0;
  };
  struct Decision {
    bool admitted = true;
    Duration retry_after{};
  };

  explicit EntryGate(const Init& init) : init_(init) {}

  Decision Admit(RouteId route, OrganisationId organisation,
                 Importance importance, const RequestId& request, Instant now,
                 Random& random);
  /// `levels` are the levels for `organisation` in the reply.
  void OnReply(RouteId route, OrganisationId organisation,
               const std::vector<ServiceLevel>& levels, Instant now);
  /// Highest current level for requests of the organisation on the route.
  std::uint32_t level(RouteId route, OrganisationId organisation,
                      Instant now) const;
  const Stats& stats() const { return stats_; }

 private:
  struct Level {
    ServiceId service;
    double level = 0;
    Instant received_at{};
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
  /// True if the level of a service is above the rank of the request, and no
  /// request of lower importance was recently admitted to that service.
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
