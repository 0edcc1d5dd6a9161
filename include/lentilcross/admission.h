#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "lentilcross/config.h"
#include "lentilcross/error.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Adaptive limit on concurrent calls at one target. Estimates how many calls
/// the target serves at once as throughput times latency without queueing, both
/// observed; a short phase below the estimate refreshes the latency.
class ConcurrencyLimit {
 public:
  struct Init {
    double initial = 8;
    double min = 1;
    double max = 4096;
  };
  enum class Sample : std::uint8_t { kOk, kRefused, kTimedOut, kFailed };

  explicit ConcurrencyLimit(const Init& init);

  int limit() const;
  /// Calls that the target is estimated to serve at once; the limit is above.
  double estimate() const;
  /// Latency of a call that does not queue inside the target; 0 if unknown or
  /// not observed lately.
  Duration base_latency(Instant now) const;
  /// Feeds back one finished call. `in_flight` counts it too.
  void Record(Sample sample, Duration latency, int in_flight, Instant now);
  /// The target restarted: starts again from `initial`.
  void Reset(Instant now);

 private:
  struct Window {
    Instant start{};
    int finished = 0;
    int ok = 0;
    int refused = 0;
    double latency_sum = 0;  ///< Seconds, of calls that ended well.
    int bound = 0;           ///< Calls that ended while the limit was reached.
  };
  /// Slow start doubles the limit until latency rises. To refresh the latency
  /// without queueing, calls in flight are first drained below the estimate and
  /// then measured for one window.
  enum class Phase : std::uint8_t {
    kStarting,
    kRunning,
    kDraining,
    kMeasuring
  };
  bool WindowIsComplete(Instant now) const;
  void CloseWindow(Instant now);
  void Adjust(double latency, double throughput, double bound_share);
  void FinishProbe(double latency, double throughput);
  void MoveLimit(double bound_share);

  Init init_;
  double limit_;
  double base_ = 0;        ///< Seconds; 0: unknown.
  double throughput_ = 0;  ///< Calls per second while the limit was reached.
  double latency_ = 0;     ///< Seconds, mean of the last window.
  Phase phase_ = Phase::kStarting;
  int until_probe_ = 0;  ///< Windows in which the limit is reached.
  Instant last_sample_{};
  Window window_;
};

/// Admission of calls at one target: concurrency limit, bounded queue, order of
/// shedding.
class TargetAdmission {
 public:
  struct Init {
    ConcurrencyLimit::Init limit;
    std::size_t max_queued = LENTILCROSS_CONFIG_MAX_QUEUED_CALLS;
    Duration max_queue_time = std::chrono::milliseconds(50);
    /// Most started calls, those that wait for onward calls included.
    std::size_t max_started = LENTILCROSS_CONFIG_MAX_STARTED_CALLS;
  };
  struct Stats {
    std::uint64_t admitted = 0;
    std::uint64_t queued = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t evicted = 0;
  };
  /// One call that wants to run. `number` is the caller's handle for it.
  struct Entry {
    std::uint64_t number = 0;
    RequestId request;
    RouteId route;  ///< Calls of one route take similar time.
    OrganisationId organisation;
    double weight = 1;
    Importance importance = Importance::kLookup;
    Instant deadline{};
  };
  struct Refused {
    std::uint64_t number = 0;
    Reason reason = Reason::kOverloaded;
    Duration retry_after{};
  };
  /// What to do after an event: start and refuse these calls.
  struct Actions {
    std::vector<std::uint64_t> start;
    std::vector<Refused> refuse;
  };

  explicit TargetAdmission(const Init& init);

  /// Number of calls that the target serves at once, from the target itself,
  /// those included that wait for onward calls. It replaces the estimate. 0:
  /// not known.
  void SetSlots(int slots);
  /// `max_queue_time` comes from the preset in force.
  void SetMaxQueueTime(Duration max_queue_time);
  Actions Offer(const Entry& entry, Instant now);
  /// A started call ended.
  Actions Finish(std::uint64_t number, ConcurrencyLimit::Sample sample,
                 Instant now);
  /// A started call waits for an onward call of its target, or goes on. The
  /// wait does not count as latency of this target, so that a slow service
  /// behind it does not shrink its limit, and takes no room unless the number
  /// of slots is known. Nested waits are counted.
  Actions BeginOnwardWait(std::uint64_t number, Instant now);
  void EndOnwardWait(std::uint64_t number, Instant now);
  /// A queued call was cancelled. False if it is not queued.
  bool Cancel(std::uint64_t number);
  /// Drops expired entries. Call every 5 ms while something is queued.
  Actions Tick(Instant now);
  void OnTargetRestart(Instant now);

  /// Shedding level of this target for one organisation, as replies carry it:
  /// requests of the organisation that rank below it should be refused at
  /// entry. 0: none.
  std::uint32_t level(OrganisationId organisation, Instant now) const;
  int limit() const;
  /// Started calls that do not wait for an onward call.
  int in_flight() const;
  std::size_t started() const;
  std::size_t queued() const;
  const Stats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
