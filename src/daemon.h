#pragma once

#include <memory>

#include "daemon_init.h"
#include "lentilcross/error.h"

namespace lentilcross {

/// One daemon process: all listeners and the threads `data` and `control`.
class Daemon {
 public:
  /// Opens the listeners. The error carries `Findings`.
  static Result<std::unique_ptr<Daemon>> Create(DaemonInit init);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Serves until shutdown. Returns the exit status: 0, or 1 when the drain
  /// timeout cut requests.
  int Run();
  /// Starts a graceful shutdown. Safe on any thread, also more than once.
  void RequestShutdown();

  /// Addresses in use, with the ports that the system chose.
  Endpoint caller() const;
  Endpoint onward() const;
  Endpoint peer() const;

 private:
  struct Impl;
  explicit Daemon(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
