#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "daemon_init.h"
#include "http_types.h"

namespace lentilcross {

/// HTTP/1.1 connections to the targets on this host. A connection carries one
/// request at a time and is reused only after a complete answer.
class TargetClient {
 public:
  struct Init {
    std::size_t max_connections = 1024;  ///< For each address.
    std::size_t max_idle = 256;          ///< For each address.
  };
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

  TargetClient(boost::asio::io_context& io, const Init& init);
  ~TargetClient();

  /// `may_write` is asked right before the first byte is written. `done` is
  /// called once, never inside `Start`, unless the request is cancelled.
  Handle Start(const Endpoint& address, const HttpRequest& request,
               std::function<bool()> may_write,
               std::function<void(Result&&)> done);
  /// Closes the connection of a request; `done` is not called.
  void Cancel(Handle handle);

  const TargetClientStats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
