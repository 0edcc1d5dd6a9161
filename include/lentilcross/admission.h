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

/// Adaptive limit on concurrent calls at one target. By Little's law the target
/// serves as many calls at once as its throughput times its latency without
/// queueing. Both are measured; a short probe with fewer calls in flight
/// refreshes the latency.
class ConcurrencyLimit {
 public:
  struct Init {
    double initial = 8;
    double min = 1;
    double max = 4096;
  };
  /// How a finished call ended.
  enum class Sample : std::uint8_t { kOk, kRefused, kTimedOut, kFailed };

  explicit ConcurrencyLimit(const Init& init);

  int limit() const;
  /// Estimated number of calls that the target serves at once. `limit` adds a
  /// margin.
  double estimate() const;
  /// Latency of a call that does not queue inside the target; 0 if no call
  /// succeeded recently.
  Duration base_latency(Instant now) const;
  /// Records a finished call. `in_flight` includes this call.
  void Record(Sample sample, Duration latency, int in_flight, Instant now);
  /// Discards all measurements and starts again from `Init::initial`.
  void Reset(Instant now);

 private:
  struct Window {
    Instant start{};
    int finished = 0;
    int ok = 0;
    int refused = 0;
    double latency_sum = 0;  ///< Seconds, of calls that succeeded or timed out.
    int at_limit = 0;        ///< Calls that ended while the limit was reached.
  };
  enum class Phase : std::uint8_t {
    kSlowStart,  ///< Doubles the limit until the latency rises.
    kRunning,
    kDraining,   ///< Probe: one window to get below the estimate.
    kMeasuring,  ///< Probe: one window to measure without queueing.
  };
  bool WindowIsComplete(Instant now) const;
  void CloseWindow(Instant now);
  void ProcessWindow(double latency, double throughput, double at_limit_share);
  void FinishProbe(double latency, double throughput);
  void UpdateLimit(double at_limit_share);

  Init init_;
  double limit_;
  double base_latency_ = 0;  ///< Seconds; 0: unknown.
  double throughput_ = 0;    ///< Calls per second while the limit was reached.
  double mean_latency_ = 0;  ///< Seconds, of the last window.
  Phase phase_ = Phase::kSlowStart;
  int windows_until_probe_ = 0;  ///< Counts windows that reached the limit.
  Instant last_success_{};
  Window window_;
};

/// Admission control for the calls to one target: a concurrency limit, a
/// bounded queue and the order in which excess calls are shed.
class TargetAdmission {
 public:
  struct Init {
    ConcurrencyLimit::Init limit;
    std::size_t max_queued = LENTILCROSS_CONFIG_MAX_QUEUED_CALLS;
    Duration max_queue_time = std::chrono::milliseconds(50);
    /// Includes calls that wait for onward calls.
    std::size_t max_started = LENTILCROSS_CONFIG_MAX_STARTED_CALLS;
  };
  struct Stats {
    std::uint64_t admitted = 0;
    std::uint64_t queued = 0;
    std::uint64_t shed = 0;     ///< Refused on arrival, the queue being full.
    std::uint64_t expired = 0;  ///< Refused because of deadline or queue time.
    std::uint64_t evicted = 0;  ///< Removed from the queue for other calls.
  };
  struct Entry {
    std::uint64_t number = 0;  ///< Identifies the call; unique at this target.
    RequestId request;
    RouteId route;  ///< Calls of one route have similar latencies.
    OrganisationId organisation;
    double weight = 1;
    Importance importance = Importance::kLookup;
    Instant deadline{};
    /// May only be served in its home regions: other regions cannot take it.
    bool pinned = false;
  };
  struct Refused {
    std::uint64_t number = 0;
    Reason reason = Reason::kOverloaded;
    Duration retry_after{};
  };
  /// Calls that the caller must start or refuse now.
  struct Actions {
    std::vector<std::uint64_t> start;
    std::vector<Refused> refuse;
  };

  explicit TargetAdmission(const Init& init);

  /// Sets the number of calls that the target says it serves at once, including
  /// those that wait for onward calls. Replaces the estimated limit; 0 goes
  /// back to it.
  void SetSlots(int slots);
  /// The time is part of the active preset.
  void SetMaxQueueTime(Duration max_queue_time);
  /// Starts, queues or refuses a new call.
  Actions Offer(const Entry& entry, Instant now);
  /// Reports the end of a started call.
  Actions Finish(std::uint64_t number, ConcurrencyLimit::Sample sample,
                 Instant now);
  /// Marks a started call as waiting for an onward call, which its target makes
  /// to another service. The wait is left out of the latency of this target, so
  /// that a slow service behind it does not lower its limit, and frees room for
  /// another call unless the number of slots is known. Waits of one call may
  /// overlap and are counted; `Finish` ends open ones.
  Actions BeginOnwardWait(std::uint64_t number, Instant now);
  void EndOnwardWait(std::uint64_t number, Instant now);
  /// Removes a cancelled call from the queue. False if it is not queued.
  bool Cancel(std::uint64_t number);
  /// Refuses queued calls that waited too long or cannot meet their deadline.
  /// Call every 5 ms while calls are queued.
  Actions Tick(Instant now);
  void OnTargetRestart(Instant now);

  /// Shedding level of this target for one organisation, which replies carry:
  /// requests of the organisation that rank below it should be refused where
  /// they enter the system. 0 refuses none.
  std::uint32_t level(OrganisationId organisation, Instant now) const;
  /// Whether a call would start at once.
  bool has_room() const;
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
