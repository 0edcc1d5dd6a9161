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
};

struct TargetEntry {
  TargetId id;
  std::string name;
  HostId host;
};

struct ServiceEntry {
  ServiceId id;
  std::string name;
  std::vector<TargetEntry> targets;
};

struct RouteEntry {
  RouteId id;
  std::string prefix;
  ServiceId service;
  Importance importance = Importance::kLookup;
  bool idempotent = true;
  bool open = false;
  Duration timeout{};
};

struct OrganisationEntry {
  OrganisationId id;
  std::string name;
  double rate = 0;    ///< Whole requests per second.
  double burst = 0;   ///< Whole requests.
  double weight = 1;  ///< For weighted max-min sharing of a target.
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
  double rate_factor = 1.0;  ///< Multiplies every rate and burst.
  int extra_attempts = 2;    ///< End-to-end allowance of a request.
  Duration queue{};          ///< Longest wait in a target's queue.
  Importance refuse_below = Importance::kBackground;
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
  /// Index into `routes`.
  std::unordered_map<RouteId, std::size_t> route_index;
  std::unordered_map<OrganisationId, OrganisationEntry> organisations;
  std::unordered_map<KeyId, KeyEntry> keys;
  std::map<std::string, PresetEntry> presets;

  /// Route with the longest prefix of `path`, on a segment boundary; null if
  /// none. A query is ignored. A path with a "." or ".." segment, also percent
  /// encoded, has no route: a target could resolve it to another one.
  const RouteEntry* FindRoute(std::string_view path) const;

  /// Parses and validates a document in JSON with comments. The error carries
  /// all `Findings`.
  static Result<std::shared_ptr<const Configuration>> Parse(
      std::string_view text);
};

/// Organisation of requests on open routes.
inline constexpr std::string_view kPublicOrganisation = "public";

}  // namespace lentilcross
