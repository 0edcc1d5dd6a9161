#pragma once

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
  /// Part of every organisation's rate and burst, 0 to 1. By default equal in
  /// all domains.
  double share = 0;
};

struct HostEntry {
  HostId id;
  std::string name;
  FailureDomainId failure_domain;
  std::string peer;  ///< "ip:port" of the daemon's peer listener.
  /// The registration of its target lapsed. The daemon may run on: it keeps its
  /// part in quotas and hears from peers, but does not read for others.
  bool lapsed = false;
};

struct TargetEntry {
  TargetId id;
  std::string name;
  HostId host;
  int slots = 0;          ///< Calls that it serves at once; 0: not known.
  bool draining = false;  ///< It leaves and gets no new call.
  Instant cold_until{};   ///< Slow until then, after its start.
};

struct ServiceEntry {
  ServiceId id;
  std::string name;
  std::vector<TargetEntry> targets;
};

struct WeightedService {
  ServiceId service;
  double weight = 1;
};

struct RouteEntry {
  RouteId id;
  std::string host;  ///< Lower case, without a port. Empty: every host.
  std::string prefix;
  ServiceId service;  ///< The first one of `split`, if that is not empty.
  /// Services that share the requests in proportion to their weights.
  std::vector<WeightedService> split;
  Importance importance = Importance::kLookup;
  bool idempotent = true;
  bool open = false;
  /// A non-idempotent request needs a ticket, which lets its caller repeat it.
  bool ticket_required = true;
  int max_attempts = 0;  ///< Targets for one request; 0: by the preset.
  Duration timeout{};
  Duration target_latency{};  ///< Later answers are worth less; 0: not set.
};

struct OrganisationEntry {
  OrganisationId id;
  std::string name;
  double rate = 0;         ///< Whole requests per second.
  double burst = 0;        ///< Whole requests.
  double weight = 1;       ///< For weighted max-min sharing of a target.
  bool unlimited = false;  ///< No rate; `rate` and `burst` are unused.
  /// Raises its requests of low importance by so many classes.
  int precedence = 0;
};

struct KeyEntry {
  KeyId id;
  std::string name;
  OrganisationId organisation;
  Sha256Digest sha256{};
  bool withdrawn = false;
};

struct PresetEntry {
  std::string name;
  double rate_factor = 1.0;   ///< Multiplies every rate and burst.
  int extra_attempts = 2;     ///< End-to-end allowance of a request.
  Duration max_queue_wait{};  ///< Longest wait in a target's queue.
  Importance refuse_below = Importance::kBackground;
};

/// Bounds for what callers send. The defaults are those of the listeners.
struct CallerLimits {
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// One published configuration. Immutable once parsed; shared between threads
/// as `std::shared_ptr<const Configuration>`.
struct Configuration {
  Version version;
  PresetEntry preset;  ///< The active preset.
  int rate_owners_per_domain = 2;
  std::unordered_map<FailureDomainId, FailureDomainEntry> failure_domains;
  std::unordered_map<HostId, HostEntry> hosts;
  std::unordered_map<ServiceId, ServiceEntry> services;
  std::vector<RouteEntry> routes;  ///< Longest prefix first.
  /// Lengths of the prefixes of each host's routes, longest first.
  std::unordered_map<std::string, std::vector<std::size_t>> prefix_lengths;
  /// Index into `routes`.
  std::unordered_map<RouteId, std::size_t> route_index;
  std::unordered_map<OrganisationId, OrganisationEntry> organisations;
  std::unordered_map<KeyId, KeyEntry> keys;
  std::map<std::string, PresetEntry> presets;
  CallerLimits limits;

  /// Route of the host with the longest prefix that begins the path, else as
  /// `FindRoute(path)`. A port in `host` is ignored.
  const RouteEntry* FindRoute(std::string_view host,
                              std::string_view path) const;
  /// Among the routes without a host, the one with the longest prefix of
  /// `path`, on a segment boundary; null if none. A query is ignored. A path
  /// with a "." or ".." segment, also percent encoded, has no route: a target
  /// could resolve it to another one.
  const RouteEntry* FindRoute(std::string_view path) const;

  /// Parses and validates a document in JSON with comments. The error carries
  /// all `Findings`.
  static Result<std::shared_ptr<const Configuration>> Parse(
      std::string_view text);
};

/// Organisation of requests on open routes.
inline constexpr std::string_view kPublicOrganisation = "public";

}  // namespace lentilcross
