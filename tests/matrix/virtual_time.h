#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "scheduler.h"

namespace lentilcross::matrix {

/// Event queue in virtual time. Events at one instant run in order of entry.
class VirtualTime {
 public:
  using Key = std::pair<Instant, std::uint64_t>;

  Instant Now() const { return now_; }

  Key At(Instant when, std::function<void()> work) {
    const Key key{std::max(when, now_), ++last_};
    events_.emplace(key, std::move(work));
    return key;
  }
  void Remove(const Key& key) { events_.erase(key); }

  /// Runs all events up to `end`.
  void RunUntil(Instant end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto node = events_.extract(events_.begin());
      now_ = node.key().first;
      node.mapped()();
    }
    now_ = end;
  }

 private:
  Instant now_ = Instant() + std::chrono::hours(1);
  std::uint64_t last_ = 0;
  std::map<Key, std::function<void()>> events_;
};

/// Time of one process, which can be paused: its events wait until it resumes.
class ProcessTime : public Scheduler {
 public:
  explicit ProcessTime(VirtualTime& time)
      : time_(time), alive_(std::make_shared<bool>(true)) {}
  ~ProcessTime() override { *alive_ = false; }

  Instant Now() const override { return time_.Now(); }
  std::unique_ptr<Timer> MakeTimer() override;

  /// Runs `work` at `when`, or when the process resumes, or never if the
  /// process has ended by then.
  VirtualTime::Key At(Instant when, std::function<void()> work) {
    return time_.At(when, [this, alive = alive_, work = std::move(work)] {
      if (*alive) RunOrDefer(work);
    });
  }
  void Remove(const VirtualTime::Key& key) { time_.Remove(key); }

  void PauseUntil(Instant end) { resume_ = end; }
  bool paused() const { return time_.Now() < resume_; }

 private:
  void RunOrDefer(const std::function<void()>& work) {
    if (paused()) {
      At(resume_, work);
    } else {
      work();
    }
  }

  VirtualTime& time_;
  std::shared_ptr<bool> alive_;
  Instant resume_{};
};

class VirtualTimer : public Timer {
 public:
  explicit VirtualTimer(ProcessTime& time)
      : time_(time), current_(std::make_shared<std::uint64_t>(0)) {}
  ~VirtualTimer() override { ++*current_; }

  void Start(Instant at, std::function<void()> work) override {
    const std::uint64_t number = ++*current_;
    time_.At(at, [current = current_, number, work = std::move(work)] {
      if (*current == number) work();
    });
  }
  void Stop() override { ++*current_; }

 private:
  ProcessTime& time_;
  std::shared_ptr<std::uint64_t> current_;
};

inline std::unique_ptr<Timer> ProcessTime::MakeTimer() {
  return std::make_unique<VirtualTimer>(*this);
}

}  // namespace lentilcross::matrix
