#pragma once

#include <unordered_map>

#include "lentilcross/types.h"

namespace lentilcross {

/// Decides at the sender whether a target without room may hand a call back, so
/// that another target is tried before the call waits in a queue. That pays
/// only while other targets have room, which each process learns from its calls
/// that were handed back.
class HandBackPolicy {
 public:
  struct Stats {
    std::uint64_t moved = 0;       ///< Calls that were handed back.
    std::uint64_t found_room = 0;  ///< Of those, calls that did not wait then.
  };

  /// Whether the target may hand back the next call.
  bool Allows(ServiceId service, std::size_t body_size, Random& random) const;
  /// A call that was handed back has ended. `had_room`: the second target
  /// started it at once.
  void Record(ServiceId service, bool had_room);
  const Stats& stats() const { return stats_; }

 private:
  /// Moving average of `had_room`; absent: nothing was handed back yet.
  std::unordered_map<ServiceId, double> room_ratio_;
  Stats stats_;
};

}  // namespace lentilcross
