#include "http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "tcp_endpoint.h"

namespace lentilcross::web {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr int kBacklog = asio::socket_base::max_listen_connections;

struct ServerState {
  HttpServer::Init init;
  std::size_t open = 0;
  std::uint64_t refused = 0;
};

class Connection;

class Exchange final : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Connection> connection, HttpRequest request)
      : connection_(std::move(connection)) {
    request_ = std::move(request);
  }
  void Reply(HttpResponse response) override;
  void Abort() override;
  void OnDisconnect() {
    connection_.reset();
    const auto action = std::move(on_closed);
    on_closed = nullptr;
    if (action) action();
  }

 private:
  std::shared_ptr<Connection> connection_;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Tcp::socket socket, std::shared_ptr<ServerState> state)
      : stream_(std::move(socket)), state_(std::move(state)) {
    ++state_->open;
  }
  ~Connection() { --state_->open; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Read() {
    parser_.emplace();
    parser_->body_limit(state_->init.max_body);
    stream_.expires_after(state_->init.idle_timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code code, std::size_t) {
          if (!code) self->Handle();
        });
  }

  void Write(HttpResponse response) {
    exchange_.reset();
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(response.status));
    for (const auto& [name, value] : response.headers) {
      response_.set(name, value);
    }
    response_.body() = std::move(response.body);
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    beast::error_code ignored;
    stream_.socket().cancel(ignored);  // ends WatchForClose
    stream_.expires_after(state_->init.idle_timeout);
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code code, std::size_t) {
          if (!code && self->keep_alive_) self->Read();
        });
  }

  void Close() {
    beast::error_code ignored;
    stream_.socket().close(ignored);
  }

 private:
  void Handle() {
    const auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.emplace_back(field.name_string(), field.value());
    }
    request.body = message.body();
    stream_.expires_never();
    auto exchange =
        std::make_shared<Exchange>(shared_from_this(), std::move(request));
    exchange_ = exchange;
    WatchForClose();
    state_->init.handler(std::move(exchange));
  }

  // Detects a disconnect while a request is handled: the socket becomes
  // readable without any bytes. Bytes belong to the next request and stay in
  // the socket.
  void WatchForClose() {
    stream_.socket().async_wait(
        Tcp::socket::wait_read,
        [self = shared_from_this()](beast::error_code code) {
          const auto exchange = self->exchange_.lock();
          if (code || exchange == nullptr) return;
          char byte = 0;
          const auto size = self->stream_.socket().receive(
              asio::buffer(&byte, 1), Tcp::socket::message_peek, code);
          if (!code && size > 0) return;
          self->Close();
          exchange->OnDisconnect();
        });
  }

  beast::tcp_stream stream_;
  std::shared_ptr<ServerState> state_;
  beast::flat_buffer buffer_{kMaxBufferedBytes};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  std::weak_ptr<Exchange> exchange_;
  bool keep_alive_ = true;
};

void Exchange::Reply(HttpResponse response) {
  if (const auto connection = std::move(connection_)) {
    connection->Write(std::move(response));
  }
}

void Exchange::Abort() {
  if (const auto connection = std::move(connection_)) connection->Close();
}

class Server final : public HttpServer {
 public:
  Server(asio::io_context& context, Init init)
      : acceptor_(context), state_(std::make_shared<ServerState>()) {
    state_->init = std::move(init);
  }

  bool Listen(std::string* error) {
    const auto endpoint = ParseTcpEndpoint(state_->init.address);
    if (!endpoint) {
      *error = "not an ip:port: " + state_->init.address;
      return false;
    }
    beast::error_code code;
    acceptor_.open(endpoint->protocol(), code);
    if (!code) acceptor_.set_option(Tcp::acceptor::reuse_address(true), code);
    if (!code) acceptor_.bind(*endpoint, code);
    if (!code) acceptor_.listen(kBacklog, code);
    if (code) *error = state_->init.address + ": " + code.message();
    return !code;
  }

  void Accept() {
    acceptor_.async_accept([this](beast::error_code code, Tcp::socket socket) {
      if (code == asio::error::operation_aborted) return;
      if (!code) Start(std::move(socket));
      Accept();
    });
  }

  std::uint16_t port() const override {
    beast::error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
  }
  std::uint64_t refused_connections() const override { return state_->refused; }

 private:
  void Start(Tcp::socket socket) {
    if (state_->open >= state_->init.max_connections) {
      ++state_->refused;
      return;
    }
    beast::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    std::make_shared<Connection>(std::move(socket), state_)->Read();
  }

  Tcp::acceptor acceptor_;
  std::shared_ptr<ServerState> state_;
};

}  // namespace

std::unique_ptr<HttpServer> HttpServer::Create(asio::io_context& context,
                                               Init init, std::string* error) {
  auto server = std::make_unique<Server>(context, std::move(init));
  if (!server->Listen(error)) return nullptr;
  server->Accept();
  return server;
}

}  // namespace lentilcross::web
