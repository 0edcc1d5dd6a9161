#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "daemon_init.h"
#include "http_types.h"

namespace lentilcross {

/// One HTTP listener for callers or for the targets on this host.
class HttpFront {
 public:
  /// Handle of one request that waits for its response. 0 is invalid.
  using ExchangeId = std::uint64_t;

  struct Init {
    std::size_t max_connections = 16384;
    Duration idle = std::chrono::seconds(60);  ///< Between two requests.
    Duration read = std::chrono::seconds(10);  ///< For one whole request.
  };
  struct Hooks {
    std::function<void(ExchangeId, HttpRequest&&)> on_request;
    /// The caller closed its connection before the response.
    std::function<void(ExchangeId)> on_abandoned;
  };

  HttpFront(boost::asio::io_context& io, const Init& init, Hooks hooks);
  ~HttpFront();

  /// The error carries `Findings`.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// Answers a request. Ignored if the caller is gone.
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
