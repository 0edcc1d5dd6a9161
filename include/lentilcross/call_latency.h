#pragma once

#include <unordered_map>
#include <vector>

#include "lentilcross/types.h"

namespace lentilcross {

/// Calls of one kind take similar time at one target.
struct CallKind {
  ServiceId service{};
  RouteId route{};
  Importance importance = Importance::kLookup;
  /// An answer that takes longer is worth less. 0: not known.
  Duration target_latency{};
};

/// Expected time from call to answer at each target of one service, from own
/// observations: network, queues and onward calls included.
class CallLatency {
 public:
  void Record(const CallKind& kind, TargetId target, Duration latency,
              Instant now);
  /// What is not known for lack of recent calls is assumed to be as at the
  /// fastest target, so that it gets calls again. 0: nothing is known.
  Duration ExpectedLatency(const CallKind& kind, TargetId target,
                           Instant now) const;
  void Forget(TargetId target);

 private:
  struct Estimate {
    TargetId target;
    double seconds = 0;
    Instant at{};
  };
  struct Observed {
    RouteId route;
    Importance importance = Importance::kLookup;
    double fastest = 0;  ///< Seconds at the fastest target.
    Instant at{};
    std::vector<Estimate> estimates;
  };

  std::size_t IndexOf(const CallKind& kind) const;
  Observed& FindOrAdd(const CallKind& kind);

  std::vector<Observed> observed_;
};

}  // namespace lentilcross
