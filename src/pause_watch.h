#pragma once

#include "lentilcross/types.h"

namespace lentilcross {

/// Notices that the process did not run for a while (stopped, suspended or
/// starved). A message read after that may have arrived long before.
class PauseDetector {
 public:
  /// Call it every 20 ms or so.
  void Tick(Instant now) {
    if (last_tick_ != Instant{} && now - last_tick_ > kShortest) {
      pause_ = now - last_tick_;
      resumed_ = now;
    }
    last_tick_ = now;
  }

  /// Longest time for which a message that is read now may have waited.
  Duration MaxReadDelay(Instant now) const {
    if (last_tick_ != Instant{} && now - last_tick_ > kShortest) {
      return now - last_tick_;
    }
    if (resumed_ != Instant{} && now - resumed_ < kBacklog) return pause_;
    return Duration::zero();
  }

 private:
  // Peers give up a busy link after 300 ms of silence. New calls come on other
  // links after that, so what is left on the old ones is late.
  static constexpr Duration kShortest = std::chrono::milliseconds(300);
  // Time to read what the sockets hold when the process resumes.
  static constexpr Duration kBacklog = std::chrono::milliseconds(50);

  Instant last_tick_{};
  Instant resumed_{};
  Duration pause_{};
};

}  // namespace lentilcross
