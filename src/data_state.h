#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "daemon_init.h"
#include "daemon_stats.h"
#include "latency_summary.h"
#include "lentilcross/admission.h"
#include "lentilcross/configuration.h"
#include "lentilcross/context_tokens.h"
#include "lentilcross/dispatch.h"
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

/// What the thread `data` decides with. Owned and used by that thread only.
struct DataState {
  /// The error carries `Findings`.
  static Result<std::unique_ptr<DataState>> Create(const DaemonInit& init,
                                                   Incarnation incarnation,
                                                   Scheduler& scheduler);

  Scheduler& scheduler;

  HostId self;
  Incarnation incarnation;
  FailureDomainId failure_domain;

  std::shared_ptr<const Configuration> configuration;  ///< Null at start.
  bool ready = false;
  bool stale = false;
  bool draining = false;
  /// While draining: callers have not had time to learn of it and are served.
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
  /// Service of the targets on this host, for the callers here; may be empty.
  std::string local_service;
  /// Least range of the jitter on a time to come back.
  Duration retry_jitter{};

  LatencySummary request_latency{};
  LatencySummary target_latency{};
  PauseDetector pauses{};
  LogLimiter log_limiter{};

  Instant Now() const { return scheduler.Now(); }

  std::uint64_t last_call = 0;
  /// Numbers increase; the fence of the receiver relies on that.
  CallNumber NextCall() { return CallNumber(++last_call); }

  void Log(LogLevel level, const std::string& event, const LogFields& fields) {
    if (log) log(level, event, fields);
  }
  /// For events that come with requests: their lines are limited, and `fields`
  /// is called only for a line that is written.
  template <typename Fields>
  void LogDecision(LogLevel level, const std::string& event, Fields fields) {
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
