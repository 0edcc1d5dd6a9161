#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "daemon_init.h"
#include "http_types.h"
#include "lentilcross/configuration.h"

namespace lentilcross {

/// One HTTP listener for callers or for the targets on this host. Requests that
/// a caller sends before the first is answered are handled side by side.
class HttpFront {
 public:
  /// Handle of one request that waits for its response. 0 is invalid.
  using ExchangeId = std::uint64_t;

  struct Init {
    std::size_t max_connections = 16384;
    Duration idle = std::chrono::seconds(60);   ///< Between two requests.
    Duration read = std::chrono::seconds(10);   ///< For one whole request.
    Duration write = std::chrono::seconds(10);  ///< For one response.
    /// Requests of one connection that are read before the first is answered.
    std::size_t max_pipelined = 16;
    HttpDialect dialect;
  };
  struct Hooks {
    std::function<void(ExchangeId, HttpRequest&&)> on_request;
    /// The caller closed its connection before the response.
    std::function<void(ExchangeId)> on_client_disconnect;
  };

  HttpFront(boost::asio::io_context& io, const Init& init, Hooks hooks);
  ~HttpFront();

  /// The error carries `Findings`.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// From the configuration; for requests that are not read yet.
  void SetLimits(const CallerLimits& limits);
  /// Answers a request. Ignored if the caller is gone. Responses leave in the
  /// order of the requests of their connection.
  void Respond(ExchangeId exchange, HttpResponse response);
  /// From now on each response closes its connection.
  void BeginDrain();
  /// Stops listening and closes idle connections. A request that has arrived in
  /// part or unread is still read and answered.
  void Close();
  /// True once no connection is left after `Close`.
  bool closed() const;

  /// Requests that are not completely answered yet.
  std::size_t running() const;
  const HttpFrontStats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
