#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "daemon_init.h"
#include "ring.h"
#include "thread_messages.h"

namespace lentilcross {

/// What the thread `control` runs: the platform client, validation and spread
/// of the configuration, gossip.
class ControlLoop {
 public:
  static Result<std::unique_ptr<ControlLoop>> Create(const DaemonInit& init,
                                                     Incarnation incarnation);
  ~ControlLoop();

  /// Runs until `Stop`. `out` leads to the thread `data`.
  void Run(Ring<ToData>& out);
  /// Safe on any thread.
  void Stop();

  boost::asio::io_context& io();
  /// Consumes what the thread `data` sends.
  void OnMessage(ToControl&& message);

 private:
  struct Impl;
  explicit ControlLoop(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
