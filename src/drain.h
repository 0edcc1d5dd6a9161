#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "lentilcross/types.h"

namespace lentilcross {

/// Steps of a graceful shutdown on the thread `data`: give notice, refuse new
/// work, wait for running work, close, end.
class Drain {
 public:
  struct Hooks {
    std::function<void()> begin;
    std::function<void()> refuse;  ///< The notice to callers has passed.
    std::function<std::size_t()> running;
    std::function<void()> abort;  ///< The drain timeout passed.
    std::function<void()> close;
    std::function<bool()> closed;
    std::function<void(int status)> end;
  };

  struct Init {
    Duration notice{};   ///< Callers are still served for so long.
    Duration timeout{};  ///< 0: no limit.
  };
  Drain(boost::asio::io_context& io, const Init& init, Hooks hooks);

  /// Ignored if it has begun before.
  void Begin();

 private:
  enum class Step : std::uint8_t { kIdle, kDraining, kAborting, kClosing };

  void Schedule();
  void Check();
  void RefuseAfterNotice(Instant now);
  void CheckDraining(Instant now);

  boost::asio::steady_timer timer_;
  Init init_;
  Hooks hooks_;
  Step step_ = Step::kIdle;
  Instant began_{};
  Instant step_began_{};
  Instant last_busy_{};
  bool refusing_ = false;
  int status_ = 0;
};

}  // namespace lentilcross
