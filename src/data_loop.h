#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "daemon_init.h"
#include "lentilcross/error.h"
#include "ring.h"
#include "thread_messages.h"

namespace lentilcross {

/// What the thread `data` runs: listeners, peer links, targets, and all
/// decisions for requests.
class DataLoop {
 public:
  /// Opens the listeners. The error carries `Findings`.
  static Result<std::unique_ptr<DataLoop>> Create(const DaemonInit& init,
                                                  Incarnation incarnation);
  ~DataLoop();

  /// Runs until a shutdown is complete. Returns the exit status. `out` leads to
  /// the thread `control`.
  int Run(Ring<ToControl>& out);
  /// Safe on any thread.
  void RequestShutdown();

  boost::asio::io_context& io();
  /// Consumes what the thread `control` sends.
  void OnMessage(ToData&& message);

  Endpoint caller() const;
  Endpoint onward() const;
  Endpoint peer() const;

 private:
  struct Impl;
  explicit DataLoop(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
