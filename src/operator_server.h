#pragma once

#include <functional>
#include <memory>
#include <string>

#include "audit.h"
#include "daemon_init.h"

namespace lentilcross {

/// Read-only HTTP endpoint for operators on its own thread: /live, /ready,
/// /status, /metrics, /audit?since=N.
class OperatorServer {
 public:
  struct Init {
    Endpoint address;
    const AuditTrail* audit = nullptr;
    std::function<std::uint64_t()> log_dropped;  ///< Called on any thread.
  };

  /// Listens and starts the thread. The error carries `Findings`.
  static Result<std::unique_ptr<OperatorServer>> Create(Init init);
  /// Ends the thread.
  virtual ~OperatorServer() = default;

  /// Hands over the newest snapshot. One producer thread; never blocks. A
  /// snapshot that does not fit in the ring is dropped: a newer one follows.
  virtual void Update(const DaemonStats& stats) = 0;
  virtual std::uint16_t port() const = 0;
};

}  // namespace lentilcross
