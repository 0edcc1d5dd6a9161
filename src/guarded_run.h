#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>

#include "daemon_init.h"

namespace lentilcross {

/// Runs `io` until it is stopped. A handler that throws ends alone: the error
/// is logged as `unexpected-error`, and the other handlers go on. Timers must
/// therefore be started again before the work of their handler.
inline void RunGuarded(boost::asio::io_context& io, const char* thread,
                       const LogHook& log) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      if (log) {
        log(LogLevel::kError, "unexpected-error",
            {{"thread", thread}, {"cause", error.what()}});
      }
    }
  }
}

}  // namespace lentilcross
