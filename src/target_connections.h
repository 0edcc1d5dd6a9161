#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "daemon_init.h"
#include "http_types.h"

namespace lentilcross {

/// Sends requests to targets on this host.
class TargetConnections {
 public:
  enum class Failure : std::uint8_t {
    kNone,
    kNotAllowed,  ///< `may_write` refused.
    kUnsent,      ///< No byte was written.
    kSent,        ///< At least one byte may have reached the target.
    kPoolFull,    ///< No connection is free; no byte was written.
  };
  struct Result {
    Failure failure = Failure::kNone;
    HttpResponse response;
    std::string detail;
  };
  /// Handle of a request in progress. 0 is invalid.
  using Handle = std::uint64_t;

  virtual ~TargetConnections() = default;

  /// `may_write` is asked right before the first byte is written. `done` is
  /// called once, never inside `Start`, unless the request is cancelled.
  virtual Handle Start(const Endpoint& address, const HttpRequest& request,
                       std::function<bool()> may_write,
                       std::function<void(Result&&)> done) = 0;
  /// Closes the connection of a request; `done` is not called.
  virtual void Cancel(Handle handle) = 0;
};

}  // namespace lentilcross
