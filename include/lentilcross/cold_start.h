#pragma once

#include <deque>

#include "lentilcross/types.h"

namespace lentilcross {

/// Limits the calls to one target while it is cold. It runs in the daemon
/// beside the target, through which all calls pass, so that the limit holds for
/// the whole fleet without any shared state.
class ColdStartLimit {
 public:
  struct Stats {
    std::uint64_t starts = 0;   ///< Calls while the target was cold.
    std::uint64_t refused = 0;  ///< Calls above the limit.
    std::uint64_t doubts = 0;
  };

  /// `rate`: calls that a cold target bears in any second; 0: any number.
  /// `duration`: longest time that a target stays cold.
  void Configure(double rate, Duration duration);
  /// The registration of the target says that it stays cold for `left`. It may
  /// be seconds old, so that it never ends the limit.
  void OnRegistration(Duration left, Instant now);
  /// The target itself says that it stays cold for `left`; 0: it is warm.
  void OnHealth(Duration left, Instant now);
  /// The target may have restarted: it counts as cold until `OnHealth`, at most
  /// for the longest cold time.
  void OnDoubt(Instant now);

  bool IsLimited(Instant now) const {
    return rate_ > 0 && now < limited_until_;
  }
  /// Whether a health check of the target would settle a doubt.
  bool InDoubt(Instant now) const { return in_doubt_ && IsLimited(now); }
  /// Time for which the limit stays in force as far as known.
  Duration Remaining(Instant now) const;
  /// Whether `TryStart` would succeed now.
  bool HasRoom(Instant now);
  /// Counts a call that is about to be sent. False if it must not be.
  bool TryStart(Instant now);
  /// Counts a call that was refused because there is no room.
  void CountRefused() { ++stats_.refused; }
  const Stats& stats() const { return stats_; }

 private:
  std::size_t bound() const;

  double rate_ = 0;
  Duration duration_{};
  bool in_doubt_ = false;
  Instant limited_until_{};
  std::deque<Instant> starts_;  ///< Within the last second.
  Stats stats_;
};

}  // namespace lentilcross
