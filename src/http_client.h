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
  kConnect,  ///< No byte of the request was sent; in time or not.
  kClosed,   ///< Closed or malformed before the response was whole.
  kTimeout,
};

std::string_view ToString(HttpFailure failure);

struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  HttpResponse response;
};

/// HTTP/1.1 client of one endpoint with keep-alive connections. Opens a new
/// connection whenever no idle one is left, and never resends a request. Used
/// on the thread of its `io_context` only.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;
  using Cancel = std::function<void()>;

  static std::unique_ptr<HttpClient> Create(boost::asio::io_context& context,
                                            std::string address);
  virtual ~HttpClient() = default;

  /// Sends a request. The returned function closes the connection if the
  /// response is not there yet; the callback then never runs.
  virtual Cancel Send(HttpRequest request, std::chrono::milliseconds timeout,
                      Callback callback) = 0;
};

/// Sends one request and waits for its response.
HttpResult HttpCall(const std::string& address, HttpRequest request,
                    std::chrono::milliseconds timeout);

}  // namespace lentilcross::web
