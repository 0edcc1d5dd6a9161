#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "daemon_init.h"
#include "http_types.h"

namespace lentilcross {

/// Interface that sends HTTP requests to targets on this host.
class TargetConnections {
 public:
  enum class Failure : std::uint8_t {
    kNone,
    kNotAllowed,  ///< `may_write` refused.
    kUnsent,      ///< No byte was written.
    kSent,        ///< The target may have received at least one byte.
    kPoolFull,    ///< Too many connections; no byte was written.
  };
  struct Result {
    Failure failure = Failure::kNone;
    HttpResponse response;
    std::string detail;
  };
  /// Handle of a request in progress. 0 is invalid.
  using Handle = std::uint64_t;

  virtual ~TargetConnections() = default;

  /// Calls `may_write` right before the first byte is written; the request is
  /// dropped if it returns false. Calls `done` once, never inside `Start`,
  /// unless the request is cancelled.
  virtual Handle Start(const Endpoint& address, const HttpRequest& request,
                       std::function<bool()> may_write,
                       std::function<void(Result&&)> done) = 0;
  /// Asks a target for its health. `done` follows as for a request, unless
  /// `Cancel` comes first. The response need not be signed.
  virtual Handle CheckHealth(const Endpoint& /*address*/,
                             const std::string& /*path*/,
                             const std::function<void(Result&&)>& /*done*/) {
    return 0;  // never answers
  }
  /// Closes the connection of a request, without a call of `done`.
  virtual void Cancel(Handle handle) = 0;
};

}  // namespace lentilcross
