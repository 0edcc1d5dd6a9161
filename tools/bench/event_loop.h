#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "lentilcross/types.h"

namespace lentilcross::bench {

/// Virtual time: runs events in order of time, then of scheduling.
class EventLoop {
 public:
  using Event = std::function<void()>;

  Instant now() const { return now_; }
  void At(Instant when, Event event) {
    events_.push({std::max(when, now_), next_++, std::move(event)});
  }
  void After(Duration delay, Event event) {
    At(now_ + delay, std::move(event));
  }
  void RunUntil(Instant end) {
    while (!events_.empty() && events_.top().when <= end) {
      // The top is popped right after, so moving out of it is safe.
      auto item = std::move(const_cast<Item&>(events_.top()));
      events_.pop();
      now_ = item.when;
      item.event();
    }
    now_ = end;
  }

 private:
  struct Item {
    Instant when;
    std::uint64_t order;
    Event event;
    friend bool operator<(const Item& a, const Item& b) {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };
  // Virtual time starts well after the epoch, which means "never" to the core.
  Instant now_{std::chrono::hours(1)};
  std::uint64_t next_ = 0;
  std::priority_queue<Item> events_;
};

}  // namespace lentilcross::bench
