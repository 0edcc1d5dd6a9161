#pragma once

#include <functional>
#include <memory>

#include "lentilcross/types.h"

namespace lentilcross {

/// One-shot timer. `work` is not called after `Stop` or destruction.
class Timer {
 public:
  virtual ~Timer() = default;

  /// Calls `work` once at `at`. Replaces a pending call.
  virtual void Start(Instant at, std::function<void()> work) = 0;
  virtual void Stop() = 0;
};

/// Clock and timers of the `data` thread. Tests substitute virtual time.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  virtual Instant Now() const = 0;
  virtual std::unique_ptr<Timer> MakeTimer() = 0;
};

}  // namespace lentilcross
