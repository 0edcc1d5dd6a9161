#include "asio_scheduler.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

namespace lentilcross {
namespace {

class AsioTimer : public Timer {
 public:
  explicit AsioTimer(boost::asio::io_context& io)
      : timer_(io), current_(std::make_shared<std::uint64_t>(0)) {}

  ~AsioTimer() override { ++*current_; }

  void Start(Instant at, std::function<void()> work) override {
    const std::uint64_t number = ++*current_;
    timer_.expires_at(at);
    // A handler that is already queued cannot be cancelled, so it compares
    // numbers.
    timer_.async_wait([current = current_, number, work = std::move(work)](
                          boost::system::error_code error) {
      if (!error && *current == number) work();
    });
  }

  void Stop() override {
    ++*current_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::uint64_t> current_;
};

}  // namespace

std::unique_ptr<Timer> AsioScheduler::MakeTimer() {
  return std::make_unique<AsioTimer>(io_);
}

}  // namespace lentilcross
