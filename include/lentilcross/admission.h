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

/// Adaptive limit on concurrent calls at one target.
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
  /// Feeds back one finished call.
  void Record(Sample sample, Duration latency, int in_flight, Instant now);
  /// The target restarted: starts again from `initial`.
  void Reset(Instant now);

 private:
  Init init_;
  double limit_;
};

/// Admission of calls at one target: concurrency limit, bounded queue, order of
/// shedding.
class TargetAdmission {
 public:
  struct Init {
    ConcurrencyLimit::Init limit;
    std::size_t max_queued = LENTILCROSS_CONFIG_MAX_QUEUED_CALLS;
    Duration longest_queue = std::chrono::milliseconds(50);
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

  /// `longest_queue` comes from the preset in force.
  void SetLongestQueue(Duration longest_queue);
  Actions Offer(const Entry& entry, Instant now);
  /// A started call ended.
  Actions Finish(std::uint64_t number, ConcurrencyLimit::Sample sample,
                 Instant now);
  /// A queued call was cancelled. False if it is not queued.
  bool Cancel(std::uint64_t number);
  /// Drops expired entries. Call every 5 ms while something is queued.
  Actions Tick(Instant now);
  void OnTargetRestart(Instant now);

  /// Shedding level of this target: requests that rank below are refused.
  std::uint32_t level(Instant now) const;
  int limit() const;
  int in_flight() const;
  std::size_t queued() const;
  const Stats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
