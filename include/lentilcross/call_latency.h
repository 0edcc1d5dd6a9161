#pragma once

#include <unordered_map>
#include <vector>

#include "lentilcross/types.h"

namespace lentilcross {

/// Calls of one kind are expected to have similar latencies at one target.
struct CallKind {
  ServiceId service{};
  RouteId route{};
  Importance importance = Importance::kLookup;
  /// Latency that the caller wants; slower answers are worth less. 0: unknown.
  Duration target_latency{};
};

/// Estimates the latency of calls to each target of one service from the calls
/// of this process. It includes network, queues and onward calls.
class CallLatency {
 public:
  void Record(const CallKind& kind, TargetId target, Duration latency,
              Instant now);
  /// Uses the fastest target where recent calls are missing. 0 if there were no
  /// calls of this kind.
  Duration ExpectedLatency(const CallKind& kind, TargetId target,
                           Instant now) const;
  void Forget(TargetId target);

 private:
  struct Estimate {
    TargetId target;
    double seconds = 0;
    Instant updated_at{};
  };
  struct KindLatencies {
    RouteId route;
    Importance importance = Importance::kLookup;
    double fastest = 0;  ///< Seconds at the fastest target.
    Instant updated_at{};
    std::vector<Estimate> estimates;
  };

  std::size_t IndexOf(const CallKind& kind) const;
  KindLatencies& FindOrAdd(const CallKind& kind);

  std::vector<KindLatencies> kinds_;
};

}  // namespace lentilcross
