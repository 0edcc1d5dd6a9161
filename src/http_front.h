#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "daemon_init.h"
#include "http_types.h"
#include "lentilcross/configuration.h"

namespace lentilcross {

/// HTTP listener for callers or for the targets on this host. Pipelined
/// requests of one connection are processed concurrently.
class HttpFront {
 public:
  /// Identifies a request that awaits its response. 0 is invalid.
  using ExchangeId = std::uint64_t;

  struct Init {
    std::size_t max_connections = 16384;
    Duration idle = std::chrono::seconds(60);   ///< Wait for the next request.
    Duration read = std::chrono::seconds(10);   ///< For one whole request.
    Duration write = std::chrono::seconds(10);  ///< For one response.
    /// Unanswered requests per connection.
    std::size_t max_pipelined = 16;
    HttpDialect dialect;
  };
  struct Hooks {
    std::function<void(ExchangeId, HttpRequest&&)> on_request;
    /// The connection closed before the response was set.
    std::function<void(ExchangeId)> on_client_disconnect;
  };

  HttpFront(boost::asio::io_context& io, const Init& init, Hooks hooks);
  ~HttpFront();

  /// Fails with `Findings`.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// Applies the timeouts of the configuration, to open connections, too.
  void SetLimits(const CallerLimits& limits);
  /// Sets the response of a request. Ignored if the connection is closed.
  /// Responses are sent in the order of the requests of their connection.
  void Respond(ExchangeId exchange, HttpResponse response);
  /// From now on each response closes its connection.
  void BeginDrain();
  /// Stops listening and closes idle connections. Requests of which any byte
  /// has arrived are still read and answered.
  void Close();
  /// True once no connection is left after `Close`.
  bool closed() const;

  /// Requests whose responses are not completely sent.
  std::size_t running() const;
  const HttpFrontStats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
