#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "daemon_stats.h"
#include "endpoint.h"
#include "http_dialect.h"
#include "lentilcross/types.h"
#include "platform_source.h"

namespace lentilcross {

/// A target on the daemon's own host.
struct LocalTarget {
  std::string name;
  std::string service;
  Endpoint address;
};

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// A log event: level, event name (words with hyphens), fields. Called on the
/// threads `data` and `control`; must not block. Fields carry no secret.
using LogHook =
    std::function<void(LogLevel, const std::string& event, const LogFields&)>;

struct AuditKey {
  std::string name;
  std::string organisation;
  bool withdrawn = false;
};

struct AuditRate {
  std::string organisation;
  double rate = 0;
  double burst = 0;
};

/// One configuration version taken over.
struct AuditRecord {
  Version version;
  std::string preset;
  std::vector<AuditKey> keys;
  std::size_t unnamed_keys = 0;  ///< Number of further keys.
  std::vector<AuditRate> rates;
  std::string source;  ///< Host name of a peer, or "ip:port" of the platform.
  std::chrono::system_clock::time_point taken_over{};
};

/// Called on the thread `control`; must not block.
using AuditHook = std::function<void(const AuditRecord&)>;

/// Called on the thread `data` once per second and at each change of the
/// readiness; must not block.
using StatsHook = std::function<void(const DaemonStats&)>;

/// Everything a daemon needs to start. The settings file fills it; see section
/// 11 of the design.
struct DaemonInit {
  std::string host;
  std::string failure_domain;
  std::string region;

  Endpoint caller;
  /// Without it the targets make their onward calls on the listener `caller`.
  std::optional<Endpoint> onward = Endpoint{};
  Endpoint peer;

  std::vector<LocalTarget> targets;
  std::vector<Endpoint> platform;
  std::vector<std::string> peer_keys;  ///< One or two, raw bytes. The first
                                       ///< signs, all are accepted.
  /// False where no key can be handed out: any process may join as a peer.
  bool peer_authentication = true;
  std::vector<Endpoint> seeds;  ///< Peers to ask at start.

  Duration startup_wait = std::chrono::seconds(3);
  Duration key_staleness_limit = std::chrono::seconds(600);  ///< 0: never.
  Duration rate_handover = std::chrono::seconds(10);
  Duration loan_term = std::chrono::seconds(2);
  std::optional<Duration> rate_start_wait;  ///< See `RateLimiter::Init`.
  Duration rate_wait = RateLimiter::Init{}.longest_wait;
  Duration drain_timeout{};  ///< 0: no limit.
  /// After a stop request, time in which callers are still served while they
  /// learn of it.
  Duration drain_notice{};
  /// Least range of the jitter on a time to come back.
  Duration retry_jitter = std::chrono::seconds(2);
  RetryBudget::Init retry_budget;
  int readers_per_domain = ConfigDistributor::Init{}.readers_per_domain;
  Duration watch_wait = ConfigDistributor::Init{}.watch_wait;
  /// Time without a confirmation by a reader of the platform after which a
  /// standby reads it; by default `watch_wait` and a second.
  std::optional<Duration> takeover_after;

  HttpDialect dialect;
  /// Makes the client of the platform; by default one of section 3.2 of the
  /// design.
  PlatformSourceFactory make_platform_source;

  std::uint64_t random_seed = 0;  ///< 0: from the system's random source.

  LogHook on_log;
  AuditHook on_audit;
  StatsHook on_stats;
};

/// Longest time between two digests to peers, and between two heartbeats of a
/// link within the failure domain. Own quotas are in force for half of
/// `rate_handover` after a contact; with an eighth a digest that is lost or
/// late suspends none.
inline Duration LongestContactInterval(const DaemonInit& init) {
  return init.rate_handover / 8;
}

inline Duration TakeoverAfter(const DaemonInit& init) {
  return init.takeover_after.value_or(init.watch_wait +
                                      std::chrono::seconds(1));
}

}  // namespace lentilcross
