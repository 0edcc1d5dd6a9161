#pragma once

#include <deque>
#include <functional>

#include "event_loop.h"

namespace lentilcross::bench {

/// A target: slots, a queue in order of arrival, and service times. A slot is
/// held for the own work of a call, not while it waits for an onward call.
class FakeTarget {
 public:
  enum class End { kDone, kDropped, kLost };
  using Done = std::function<void(End)>;

  FakeTarget(EventLoop& loop, int slots) : loop_(loop), slots_(slots) {}

  /// Slowness: work takes 1 / speed times as long. Applies to work that starts
  /// afterwards.
  void set_speed(double speed) { speed_ = speed; }
  /// Warms up linearly from `from` to full speed over `period`.
  void WarmUp(double from, Duration period);
  /// Loses all calls in service and in the queue.
  void Restart();
  void set_up(bool up) { up_ = up; }
  bool up() const { return up_; }
  /// Drops a call that waited longer when its turn comes. 0: never.
  void set_longest_wait(Duration wait) { longest_wait_ = wait; }

  /// Drops the call if its turn comes after `deadline`.
  void Submit(Duration work, Instant deadline, Done done);

 private:
  struct Item {
    Duration work;
    Instant deadline;
    Instant arrived;
    Done done;
  };
  void Serve(Item item);
  void ServeNext();
  double SpeedNow() const;

  EventLoop& loop_;
  int slots_;
  int busy_ = 0;
  bool up_ = true;
  double speed_ = 1;
  double cold_speed_ = 1;
  Instant cold_since_{};
  Duration warm_up_{};
  Duration longest_wait_{};
  std::uint64_t life_ = 0;
  std::deque<Item> queue_;
};

}  // namespace lentilcross::bench
