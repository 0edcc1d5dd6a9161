#include "http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>

#include "tcp_endpoint.h"

namespace lentilcross::web {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

/// Largest response body. A page of a store is about 1 MB; the changes after an
/// outage may take several times that.
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{32} << 20;

struct IdlePool;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(asio::io_context& context, std::weak_ptr<IdlePool> pool)
      : stream_(context), pool_(std::move(pool)) {}

  /// Returns the number of this request on this connection.
  std::uint64_t Start(HttpRequest request, std::chrono::milliseconds timeout,
                      HttpClient::Callback callback) {
    callback_ = std::move(callback);
    ++request_number_;
    BuildRequest(std::move(request));
    stream_.expires_after(timeout);
    if (connected_) {
      Write();
    } else {
      Connect();
    }
    return request_number_;
  }

  void Cancel(std::uint64_t request_number) {
    if (request_number != request_number_ || callback_ == nullptr) return;
    callback_ = nullptr;
    Close();
  }

  bool usable() {
    // A readable idle connection was closed by the server or holds bytes that
    // belong to no request.
    beast::error_code code;
    return stream_.socket().is_open() &&
           stream_.socket().available(code) == 0 && !code &&
           !closed_by_server();
  }

  void set_endpoint(Tcp::endpoint endpoint) { endpoint_ = std::move(endpoint); }

 private:
  bool closed_by_server() {
    beast::error_code code;
    char byte = 0;
    stream_.socket().non_blocking(true, code);
    stream_.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek,
                             code);
    return code != asio::error::would_block;
  }

  void BuildRequest(HttpRequest request) {
    request_ = {};
    request_.version(11);
    request_.method_string(request.method);
    request_.target(request.target);
    request_.set(http::field::host, "localhost");
    for (const auto& [name, value] : request.headers) {
      request_.set(name, value);
    }
    request_.body() = std::move(request.body);
    request_.prepare_payload();
  }

  void Connect() {
    stream_.async_connect(
        endpoint_, [self = shared_from_this()](beast::error_code code) {
          if (code) return self->Fail(HttpFailure::kConnect, code);
          beast::error_code ignored;
          self->stream_.socket().set_option(Tcp::no_delay(true), ignored);
          self->connected_ = true;
          self->Write();
        });
  }

  void Write() {
    http::async_write(
        stream_, request_,
        [self = shared_from_this()](beast::error_code code, std::size_t) {
          if (code) return self->Fail(HttpFailure::kClosed, code);
          self->Read();
        });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxResponseBytes);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code code, std::size_t) {
          if (code) return self->Fail(HttpFailure::kClosed, code);
          self->Finish();
        });
  }

  void Fail(HttpFailure failure, beast::error_code code) {
    Close();
    // A timeout while connecting stays `kConnect`: no request was sent.
    const bool opened = failure != HttpFailure::kConnect;
    if (opened && code == beast::error::timeout) {
      failure = HttpFailure::kTimeout;
    }
    const auto callback = std::move(callback_);
    callback_ = nullptr;
    if (callback) callback({failure, {}});
  }

  void Finish();

  void Close() {
    beast::error_code ignored;
    stream_.socket().close(ignored);
  }

  beast::tcp_stream stream_;
  std::weak_ptr<IdlePool> pool_;
  Tcp::endpoint endpoint_;
  bool connected_ = false;
  std::uint64_t request_number_ = 0;
  beast::flat_buffer buffer_{kMaxBufferedBytes};
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  HttpClient::Callback callback_;
};

struct IdlePool {
  std::vector<std::shared_ptr<ClientConnection>> idle;
};

void ClientConnection::Finish() {
  auto message = parser_->release();
  HttpResult result;
  result.response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    result.response.headers.emplace_back(field.name_string(), field.value());
  }
  result.response.body = std::move(message.body());
  stream_.expires_never();
  const auto callback = std::move(callback_);
  callback_ = nullptr;
  const auto pool = pool_.lock();
  if (message.keep_alive() && buffer_.size() == 0 && pool != nullptr) {
    pool->idle.push_back(shared_from_this());
  } else {
    Close();
  }
  if (callback) callback(std::move(result));
}

class Client final : public HttpClient {
 public:
  Client(asio::io_context& context, std::string address)
      : context_(context), address_(std::move(address)) {}

  Cancel Send(HttpRequest request, std::chrono::milliseconds timeout,
              Callback callback) override {
    const auto endpoint = ParseTcpEndpoint(address_);
    if (!endpoint) {
      asio::post(context_, [callback = std::move(callback)] {
        callback({HttpFailure::kConnect, {}});
      });
      return [] {};
    }
    auto connection = TakeConnection();
    connection->set_endpoint(*endpoint);
    const auto number =
        connection->Start(std::move(request), timeout, std::move(callback));
    return [weak = std::weak_ptr(connection), number] {
      if (const auto connection = weak.lock()) connection->Cancel(number);
    };
  }

 private:
  std::shared_ptr<ClientConnection> TakeConnection() {
    while (!pool_->idle.empty()) {
      auto connection = std::move(pool_->idle.back());
      pool_->idle.pop_back();
      if (connection->usable()) return connection;
    }
    return std::make_shared<ClientConnection>(context_, pool_);
  }

  asio::io_context& context_;
  std::string address_;
  std::shared_ptr<IdlePool> pool_ = std::make_shared<IdlePool>();
};

}  // namespace

std::string_view ToString(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNone:
      return "none";
    case HttpFailure::kConnect:
      return "connect-failed";
    case HttpFailure::kClosed:
      return "connection-closed";
    case HttpFailure::kTimeout:
      return "timeout";
  }
  return "none";
}

std::unique_ptr<HttpClient> HttpClient::Create(asio::io_context& context,
                                               std::string address) {
  return std::make_unique<Client>(context, std::move(address));
}

HttpResult HttpCall(const std::string& address, HttpRequest request,
                    std::chrono::milliseconds timeout) {
  asio::io_context context;
  const auto client = HttpClient::Create(context, address);
  HttpResult result;
  client->Send(std::move(request), timeout, [&result](HttpResult received) {
    result = std::move(received);
  });
  context.run();
  return result;
}

}  // namespace lentilcross::web
