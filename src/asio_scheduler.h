#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "scheduler.h"

namespace lentilcross {

/// Steady clock and timers of an `io_context`.
class AsioScheduler : public Scheduler {
 public:
  explicit AsioScheduler(boost::asio::io_context& io) : io_(io) {}

  Instant Now() const override { return std::chrono::steady_clock::now(); }
  std::unique_ptr<Timer> MakeTimer() override;

 private:
  boost::asio::io_context& io_;
};

}  // namespace lentilcross
