#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http_message.h"

namespace lentilcross::web {

enum class HttpFailure : std::uint8_t {
  kNone,
  kConnect,  ///< Not connected, also after a timeout; no byte was sent.
  kClosed,   ///< Closed or malformed before the response was complete.
  kTimeout,
};

std::string_view ToString(HttpFailure failure);

struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  HttpResponse response;
};

/// HTTP/1.1 client for one endpoint with keep-alive connections. Opens a new
/// connection if none is idle, and never resends a request. Must be used on the
/// thread of its `io_context`.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;
  using Cancel = std::function<void()>;

  static std::unique_ptr<HttpClient> Create(boost::asio::io_context& context,
                                            std::string address);
  virtual ~HttpClient() = default;

  /// Sends a request. The returned function cancels it: if the response hasn't
  /// arrived yet, the connection is closed and the callback never runs.
  virtual Cancel Send(HttpRequest request, std::chrono::milliseconds timeout,
                      Callback callback) = 0;
};

/// Sends one request and waits for its response.
HttpResult HttpCall(const std::string& address, HttpRequest request,
                    std::chrono::milliseconds timeout);

}  // namespace lentilcross::web
