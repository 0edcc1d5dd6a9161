#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "daemon_init.h"
#include "lentilcross/error.h"
#include "ring.h"
#include "thread_messages.h"

namespace lentilcross {

/// Event loop of the `data` thread: listeners, peer links, target calls and
/// request processing.
class DataLoop {
 public:
  /// Opens the listeners. Fails with `Findings`.
  static Result<std::unique_ptr<DataLoop>> Create(const DaemonInit& init,
                                                  Incarnation incarnation);
  ~DataLoop();

  /// Runs until shutdown is complete. Returns the exit status. `out` carries
  /// messages to the `control` thread.
  int Run(Ring<ToControl>& out);
  /// Thread-safe.
  void RequestShutdown();

  boost::asio::io_context& io();
  /// Handles a message from the `control` thread.
  void OnMessage(ToData&& message);

  // Local endpoints of the listeners.
  Endpoint caller() const;
  Endpoint onward() const;
  Endpoint peer() const;

 private:
  struct Impl;
  explicit DataLoop(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
