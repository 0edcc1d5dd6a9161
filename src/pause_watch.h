#pragma once

#include "lentilcross/types.h"

namespace lentilcross {

/// Detects that the process did not run for a while (stopped, suspended or
/// starved). A message read after a pause may have arrived long before.
class PauseDetector {
 public:
  /// Must be called about every 20 ms.
  void Tick(Instant now) {
    if (last_tick_ != Instant{} && now - last_tick_ > kMinPause) {
      pause_ = now - last_tick_;
      resumed_ = now;
    }
    last_tick_ = now;
  }

  /// Maximum time that a message read at `now` may have been in a socket
  /// buffer. Zero without a recent pause.
  Duration MaxReadDelay(Instant now) const {
    if (last_tick_ != Instant{} && now - last_tick_ > kMinPause) {
      return now - last_tick_;
    }
    if (resumed_ != Instant{} && now - resumed_ < kBacklogReadTime)
      return pause_;
    return Duration::zero();
  }

 private:
  // Peers close a busy link after 300 ms of silence and send new calls on other
  // links, so messages still unread on the old link are late.
  static constexpr Duration kMinPause = std::chrono::milliseconds(300);
  // Time to read the socket buffers after the process resumes.
  static constexpr Duration kBacklogReadTime = std::chrono::milliseconds(50);

  Instant last_tick_{};
  Instant resumed_{};
  Duration pause_{};
};

}  // namespace lentilcross
