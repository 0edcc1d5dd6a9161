#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/membership.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Chooses the target for a call from own observations.
class Router {
 public:
  struct Init {
    HostId self;
    FailureDomainId failure_domain;
    double max_ejected = 0.5;  ///< Fraction of a service's targets.
    Duration slow_start = std::chrono::seconds(5);
  };
  struct Stats {
    std::uint64_t picks = 0;
    std::uint64_t remote_picks = 0;  ///< Outside the own failure domain.
    std::uint64_t ejections = 0;
    std::uint64_t probes = 0;
    std::uint64_t no_target = 0;
  };
  enum class Observation : std::uint8_t {
    kOk,
    kShed,     ///< Refused as overloaded.
    kRefused,  ///< Draining or not ready.
    kFailed,   ///< Connection or target failure, timeout.
  };
  struct Pick {
    TargetId target;
    HostId host;
  };

  static Result<Router> Create(const Init& init);

  void Apply(std::shared_ptr<const Configuration> configuration, Instant now);
  /// Avoids the targets in `tried` unless nothing else is left.
  std::optional<Pick> Choose(ServiceId service, const Membership& membership,
                             const std::vector<TargetId>& tried, Instant now,
                             Random& random);
  void OnStart(TargetId target);
  void OnEnd(TargetId target, Observation observation, Duration latency,
             Instant now);
  const Stats& stats() const { return stats_; }

 private:
  explicit Router(const Init& init) : init_(init) {}
  Init init_;
  Stats stats_;
};

}  // namespace lentilcross
