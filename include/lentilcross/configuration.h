#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lentilcross/error.h"
#include "lentilcross/findings.h"
#include "lentilcross/types.h"

namespace lentilcross {

struct FailureDomainEntry {
  FailureDomainId id;
  std::string name;
  std::string region;
  /// Fraction of every organisation's rate and burst, 0 to 1. Defaults to an
  /// equal share for each domain.
  double share = 0;
  /// The operator wants no new work there. Not part of the published document.
  bool evacuated = false;
};

struct HostEntry {
  HostId id;
  std::string name;
  FailureDomainId failure_domain;
  std::string peer;  ///< "ip:port" of the daemon's peer listener.
  /// The registration of its target lapsed, but the daemon may still run. The
  /// host keeps its share of quotas and still gets peer messages, but does not
  /// read the platform for other hosts.
  bool lapsed = false;
};

struct TargetEntry {
  TargetId id;
  std::string name;
  HostId host;
  int slots = 0;          ///< Maximum concurrent calls; 0: unknown.
  bool draining = false;  ///< Shutting down; gets no new calls.
  Instant cold_until{};   ///< End of its cold start.
};

struct ServiceEntry {
  ServiceId id;
  std::string name;
  std::vector<TargetEntry> targets;
  /// Calls in any second that a cold target bears; 0: any number.
  double cold_rate = 0;
  Duration cold_time{};          ///< Longest time that a target stays cold.
  std::string health_path = "";  ///< Of its targets; empty: none.
};

struct WeightedService {
  ServiceId service;
  double weight = 1;
};

struct RouteEntry {
  RouteId id;
  std::string host;  ///< Lower case, without a port. Empty: every host.
  std::string prefix;
  ServiceId service;  ///< The first of `split`, unless that is empty.
  /// Services among which requests are divided in proportion to the weights.
  std::vector<WeightedService> split;
  Importance importance = Importance::kLookup;
  bool idempotent = true;
  bool open = false;  ///< Requests need no API key.
  /// A non-idempotent request needs a ticket, with which its caller can safely
  /// repeat it. Ignored on idempotent routes.
  bool ticket_required = true;
  int max_attempts = 0;  ///< Attempts for one request; 0: set by the preset.
  Duration timeout{};
  /// Latency objective, used to choose targets: a later answer is worth less.
  /// 0: none.
  Duration target_latency{};
  HomeRegions home_regions{};  ///< Those of the organisation apply as well.
};

struct OrganisationEntry {
  OrganisationId id;
  std::string name;
  double rate = 0;         ///< Requests of its callers per second.
  double burst = 0;        ///< Requests of its callers.
  double weight = 1;       ///< For weighted max-min sharing of a target.
  bool unlimited = false;  ///< No rate limit; ignores `rate` and `burst`.
  /// Number of classes by which its requests below `kStandard` are raised, up
  /// to `kLookup`.
  int precedence = 0;
  HomeRegions home_regions{};  ///< Those of the route apply as well.
};

struct KeyEntry {
  KeyId id;
  std::string name;
  OrganisationId organisation;
  Sha256Digest sha256{};
  bool withdrawn = false;  ///< Revoked; requests with it are refused.
};

/// The first bytes of the SHA-256 of a key.
using KeyDigest = std::array<std::uint8_t, 18>;

/// A key that is known by its digest alone. It is withdrawn by leaving it out.
struct UnnamedKey {
  KeyDigest digest{};
  OrganisationId organisation;
};

struct PresetEntry {
  std::string name;
  double rate_factor = 1.0;   ///< Multiplies all rates and bursts.
  int extra_attempts = 2;     ///< Beyond the first, end to end.
  Duration max_queue_time{};  ///< In the queue of a target.
  /// Requests of lower importance are refused.
  Importance refuse_below = Importance::kBackground;
};

/// Timeouts of caller connections. The defaults match those of the listeners.
struct CallerLimits {
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// One version of the published configuration. Immutable after parsing; shared
/// between threads as `std::shared_ptr<const Configuration>`.
struct Configuration {
  Version version;
  PresetEntry preset;  ///< The active preset.
  /// Hosts in each region that own an organisation's rate quota.
  int rate_owners_per_region = 2;
  /// Hosts in each failure domain that own it, instead of those in each region;
  /// 0: not set. More owners keep more of the rate usable in a failure domain
  /// that is cut off, and exchange more messages.
  int rate_owners_per_domain = 0;
  std::unordered_map<FailureDomainId, FailureDomainEntry> failure_domains;
  std::unordered_map<HostId, HostEntry> hosts;
  std::unordered_map<ServiceId, ServiceEntry> services;
  std::vector<RouteEntry> routes;  ///< Longest prefix first.
  /// Distinct prefix lengths of the routes of each route host, longest first.
  std::unordered_map<std::string, std::vector<std::size_t>> prefix_lengths;
  /// Index into `routes`.
  std::unordered_map<RouteId, std::size_t> route_index;
  std::unordered_map<OrganisationId, OrganisationEntry> organisations;
  std::unordered_map<KeyId, KeyEntry> keys;
  /// Sorted by digest; never null. Shared by copies of the configuration, as
  /// there may be many times as many keys as other entries.
  std::shared_ptr<const std::vector<UnnamedKey>> unnamed_keys =
      std::make_shared<std::vector<UnnamedKey>>();
  std::map<std::string, PresetEntry> presets;
  CallerLimits limits;

  /// The route for `host` with the longest prefix of `path`, which may end
  /// within a segment; if there is none, `FindRoute(path)`. Ignores the query
  /// and a port in `host`.
  const RouteEntry* FindRoute(std::string_view host,
                              std::string_view path) const;
  /// The route without a host that has the longest prefix of `path` ending on
  /// a segment boundary; null if none. Ignores the query. A path with a "." or
  /// ".." segment, plain or percent encoded, matches no route, because a target
  /// could resolve it to the path of another route.
  const RouteEntry* FindRoute(std::string_view path) const;

  /// Parses and validates JSON with comments, plain or compressed with gzip.
  /// The error carries all `Findings`.
  static Result<std::shared_ptr<const Configuration>> Parse(
      std::string_view text);
};

/// Reserved name of the organisation of requests on open routes.
inline constexpr std::string_view kPublicOrganisation = "public";

}  // namespace lentilcross
