#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "http_message.h"

namespace lentilcross::web {

/// A request and the handle to answer it. Must be used on the thread of its
/// `io_context`.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  const HttpRequest& request() const { return request_; }
  /// Sends the response. Does nothing if already answered or closed.
  virtual void Reply(HttpResponse response) = 0;
  /// Closes the connection without an answer.
  virtual void Abort() = 0;
  /// Called once if the client closes the connection before the answer.
  std::function<void()> on_closed;

 protected:
  HttpRequest request_;
};

/// Small HTTP/1.1 server with keep-alive for the operator endpoint and the
/// test programs. Handles the requests of one connection in sequence.
class HttpServer {
 public:
  struct Init {
    std::string address;  ///< "ip:port"; port 0 picks a free one.
    std::size_t max_body = std::size_t{1024} * 1024;
    std::size_t max_connections = 1024;
    std::chrono::milliseconds idle_timeout{30'000};
    std::function<void(std::shared_ptr<HttpExchange>)> handler;
  };

  /// Starts to listen. Returns null and sets `error` on failure.
  static std::unique_ptr<HttpServer> Create(boost::asio::io_context& context,
                                            Init init, std::string* error);
  virtual ~HttpServer() = default;

  virtual std::uint16_t port() const = 0;
  /// Connections refused because `max_connections` were open.
  virtual std::uint64_t refused_connections() const = 0;
};

}  // namespace lentilcross::web
