#include "fake_target.h"

#include <algorithm>
#include <memory>

namespace lentilcross::bench {

using Seconds = std::chrono::duration<double>;

void FakeTarget::WarmUp(double from, Duration period) {
  cold_speed_ = from;
  cold_since_ = loop_.now();
  warm_up_ = period;
}

double FakeTarget::SpeedNow() const {
  if (warm_up_ == Duration::zero()) return speed_;
  const double warm =
      std::min(1.0, Seconds(loop_.now() - cold_since_) / Seconds(warm_up_));
  return speed_ * (cold_speed_ + (1 - cold_speed_) * warm);
}

void FakeTarget::Restart() {
  ++life_;
  busy_ = 0;
  std::deque<Item> lost;
  lost.swap(queue_);
  for (Item& item : lost) item.done(End::kLost);
}

void FakeTarget::Submit(Duration work, Instant deadline, Done done) {
  Item item{work, deadline, loop_.now(), std::move(done)};
  if (busy_ < slots_) {
    Serve(std::move(item));
  } else {
    queue_.push_back(std::move(item));
  }
}

void FakeTarget::Serve(Item item) {
  ++busy_;
  const Seconds time = Seconds(item.work) / SpeedNow();
  auto done = std::make_shared<Done>(std::move(item.done));
  loop_.After(std::chrono::duration_cast<Duration>(time),
              [this, done, life = life_] {
                if (life != life_) {
                  (*done)(End::kLost);
                  return;
                }
                --busy_;
                ServeNext();
                (*done)(End::kDone);
              });
}

void FakeTarget::ServeNext() {
  while (busy_ < slots_ && !queue_.empty()) {
    Item item = std::move(queue_.front());
    queue_.pop_front();
    const bool waited_long = longest_wait_ > Duration::zero() &&
                             loop_.now() - item.arrived > longest_wait_;
    if (waited_long || loop_.now() > item.deadline) {
      item.done(End::kDropped);
    } else {
      Serve(std::move(item));
    }
  }
}

}  // namespace lentilcross::bench
