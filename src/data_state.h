#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "daemon_init.h"
#include "daemon_stats.h"
#include "latency_summary.h"
#include "lentilcross/admission.h"
#include "lentilcross/configuration.h"
#include "lentilcross/context_tokens.h"
#include "lentilcross/dispatch.h"
#include "lentilcross/hand_back.h"
#include "lentilcross/home_regions.h"
#include "lentilcross/keys.h"
#include "lentilcross/membership.h"
#include "lentilcross/rate.h"
#include "lentilcross/retry.h"
#include "lentilcross/routing.h"
#include "lentilcross/shedding.h"
#include "lentilcross/tickets.h"
#include "log_limiter.h"
#include "pause_watch.h"
#include "scheduler.h"

namespace lentilcross {

/// State for request processing. Owned and used by the `data` thread only.
struct DataState {
  /// Fails with `Findings`.
  static Result<std::unique_ptr<DataState>> Create(const DaemonInit& init,
                                                   Incarnation incarnation,
                                                   Scheduler& scheduler);

  Scheduler& scheduler;

  HostId self;
  Incarnation incarnation;
  FailureDomainId failure_domain;

  /// Null until the first one is received.
  std::shared_ptr<const Configuration> configuration;
  bool ready = false;
  bool stale = false;
  bool draining = false;
  /// Drain notice period: requests are still served, so that callers have time
  /// to learn that the daemon is draining.
  bool in_drain_notice = false;

  KeyRing keys;
  RateLimiter rate;
  RetryBudget retry;
  TicketStore tickets;
  DispatchFence fence;
  ContextTokens tokens;
  EntryGate gate;
  Router router;
  Membership membership;
  Random random;
  PipelineStats stats;
  LogHook log;
  HttpDialect dialect;
  /// Service of the targets on this host, for local callers; may be empty.
  std::string local_service;
  /// Minimum range of the jitter added to `Retry-After` times.
  Duration retry_jitter{};

  HandBackPolicy hand_backs{};
  HomeRefusals home_refusals{};
  LatencySummary request_latency{};
  LatencySummary target_latency{};
  PauseDetector pauses{};
  LogLimiter log_limiter{};

  Instant Now() const { return scheduler.Now(); }

  /// Whether the configuration in force lists the route and requires no key on
  /// it.
  bool IsOpen(RouteId route) const;
  /// Rechecks a request after a wait, in which a new configuration may have
  /// come into force. False if its key does not hold any more and its route
  /// still requires one. True without a key.
  bool StillAdmits(const std::optional<KeyRing::Lookup>& key,
                   RouteId route) const;

  std::uint64_t last_call = 0;
  /// Returns increasing numbers, as the receiver's `DispatchFence` requires.
  CallNumber NextCall() { return CallNumber(++last_call); }

  void Log(LogLevel level, const std::string& event, const LogFields& fields) {
    if (log) log(level, event, fields);
  }
  /// Rate-limited log for events of requests. `fields` is called only if the
  /// line is written.
  template <typename Fields>
  void LogRateLimited(LogLevel level, const std::string& event, Fields fields) {
    if (!log) return;
    const LogLimiter::Verdict verdict = log_limiter.Admit(event, Now());
    if (!verdict.write) return;
    LogFields list = fields();
    if (verdict.left_out > 0) {
      list.emplace_back("left_out", std::to_string(verdict.left_out));
    }
    log(level, event, list);
  }
};

}  // namespace lentilcross
