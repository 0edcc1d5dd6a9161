#include "http_front.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

#include "lentilcross/config.h"
#include "lentilcross/findings.h"

namespace lentilcross {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Wait after a failed accept, for example when no file descriptor is left.
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

/// Longest wait for a caller to close after the last response.
constexpr Duration kLinger = std::chrono::seconds(1);
constexpr std::size_t kDiscardBytes = 4096;

using Parser = http::request_parser<http::string_body>;

struct Session {
  explicit Session(tcp::socket socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<Parser> parser;
  http::response<http::string_body> response;
  HttpFront::ExchangeId exchange = 0;
  bool keep_alive = true;
  bool head = false;
  bool writing = false;
  bool lingering = false;  ///< The last response is sent.
  std::uint64_t number = 0;

  /// True if a part of a request has arrived, also if it is not read yet.
  bool HasBytes() const {
    if (buffer.size() > 0 || parser->got_some()) return true;
    error_code ignored;
    return stream.socket().available(ignored) > 0;
  }
};

using SessionPtr = std::shared_ptr<Session>;

HttpRequest ToRequest(Parser& parser) {
  auto message = parser.release();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.emplace_back(field.name_string(), field.value());
  }
  RemoveConnectionHeaders(request.headers);
  request.body = std::move(message.body());
  return request;
}

bool IsBodyTooLarge(const error_code& error) {
  return error == http::error::body_limit;
}

bool IsMalformed(const error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace

struct HttpFront::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context, const Init& front_init, Hooks front_hooks)
      : io(context),
        init(front_init),
        hooks(std::move(front_hooks)),
        acceptor(context),
        accept_timer(context) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](error_code error, tcp::socket socket) {
          if (error == asio::error::operation_aborted) return;
          if (error) {
            self->PauseAccept();
            return;
          }
          self->OnAccepted(std::move(socket));
          self->Accept();
        });
  }

  void PauseAccept() {
    accept_timer.expires_after(kAcceptPause);
    accept_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error && self->acceptor.is_open()) self->Accept();
    });
  }

  void OnAccepted(tcp::socket socket) {
    if (sessions.size() >= init.max_connections) {
      ++stats.refused_connections;
      return;
    }
    ++stats.connections;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(std::move(socket));
    session->number = ++last_session;
    sessions[session->number] = session;
    Read(session);
  }

  void Read(const SessionPtr& session) {
    session->parser.emplace();
    session->parser->body_limit(LENTILCROSS_CONFIG_MAX_BODY);
    session->parser->header_limit(kMaxHeaderBytes);
    session->stream.expires_after(init.idle);
    ReadHeader(session);
  }

  void ReadHeader(const SessionPtr& session) {
    http::async_read_header(
        session->stream, session->buffer, *session->parser,
        [self = shared_from_this(), session](error_code error, std::size_t) {
          if (error == asio::error::operation_aborted && session->HasBytes()) {
            self->ReadHeader(session);
          } else if (error) {
            self->OnReadFailed(session, error);
          } else {
            self->ReadBody(session);
          }
        });
  }

  void ReadBody(const SessionPtr& session) {
    session->stream.expires_after(init.read);
    http::async_read(
        session->stream, session->buffer, *session->parser,
        [self = shared_from_this(), session](error_code error, std::size_t) {
          if (error) {
            self->OnReadFailed(session, error);
          } else {
            self->OnRequest(session);
          }
        });
  }

  void OnReadFailed(const SessionPtr& session, const error_code& error) {
    if (!IsBodyTooLarge(error) && !IsMalformed(error)) {
      End(session);
      return;
    }
    ++stats.malformed;
    Begin(session);
    session->keep_alive = false;
    Refusal refusal;
    refusal.reason =
        IsBodyTooLarge(error) ? Reason::kPayloadTooLarge : Reason::kBadRequest;
    refusal.outcome = Outcome::kNotRun;
    refusal.detail = error.message();
    Write(session, MakeProblem(refusal));
  }

  void Begin(const SessionPtr& session) {
    session->exchange = ++last_exchange;
    exchanges[session->exchange] = session;
  }

  void OnRequest(const SessionPtr& session) {
    ++stats.requests;
    session->stream.expires_never();
    session->keep_alive = session->parser->keep_alive();
    session->head = session->parser->get().method() == http::verb::head;
    Begin(session);
    WatchForClose(session, session->exchange);
    hooks.on_request(session->exchange, ToRequest(*session->parser));
  }

  void WatchForClose(const SessionPtr& session, ExchangeId exchange) {
    session->stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), session, exchange](error_code error) {
          if (error || session->exchange != exchange) return;
          char byte = 0;
          const int handle = session->stream.socket().native_handle();
          const auto count = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
          // Bytes of a further request say nothing; they stay in the socket.
          if (count > 0) return;
          if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
          self->OnCallerGone(session);
        });
  }

  void OnCallerGone(const SessionPtr& session) {
    const ExchangeId exchange = session->exchange;
    const auto it = exchanges.find(exchange);
    // Once the response is being written, the write reports the failure.
    if (it == exchanges.end() || session->writing) return;
    ++stats.disconnects;
    exchanges.erase(it);
    End(session);
    hooks.on_abandoned(exchange);
  }

  void Write(const SessionPtr& session, HttpResponse response) {
    auto& message = session->response;
    message = {};
    session->writing = true;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (auto& [name, value] : response.headers) message.insert(name, value);
    message.body() = std::move(response.body);
    const bool keep_alive = session->keep_alive && !draining;
    message.keep_alive(keep_alive);
    if (!session->head) message.prepare_payload();
    session->stream.expires_after(init.read);
    http::async_write(session->stream, message,
                      [self = shared_from_this(), session, keep_alive](
                          error_code error, std::size_t) {
                        self->OnWritten(session, !error && keep_alive);
                      });
  }

  void OnWritten(const SessionPtr& session, bool again) {
    exchanges.erase(session->exchange);
    session->exchange = 0;
    session->writing = false;
    if (again && acceptor.is_open()) {
      Read(session);
      return;
    }
    session->lingering = true;
    error_code ignored;
    session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    session->stream.expires_after(kLinger);
    Discard(session);
  }

  /// Reads until the caller closes: a close with unread bytes would reset the
  /// connection before the caller has read the response.
  void Discard(const SessionPtr& session) {
    session->buffer.clear();
    session->stream.async_read_some(
        session->buffer.prepare(kDiscardBytes),
        [self = shared_from_this(), session](error_code error, std::size_t) {
          if (error) {
            self->End(session);
          } else {
            self->Discard(session);
          }
        });
  }

  void End(const SessionPtr& session) {
    error_code ignored;
    session->stream.socket().close(ignored);
    sessions.erase(session->number);
  }

  void Close() {
    AcceptWaiting();
    error_code ignored;
    acceptor.close(ignored);
    accept_timer.cancel();
    // Bytes may have been read already although the handler has not run yet.
    // Cancelling the reads tells: only those without bytes end.
    for (const auto& [number, session] : sessions) {
      const bool waits = session->exchange == 0 && !session->lingering &&
                         !session->parser->is_header_done();
      if (waits) session->stream.cancel();
    }
  }

  /// Takes over connections that are established but not accepted yet: closing
  /// the acceptor would reset them.
  void AcceptWaiting() {
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(io);
      acceptor.accept(socket, error);
      if (!error) OnAccepted(std::move(socket));
    }
  }

  void CloseAtOnce() {
    error_code ignored;
    acceptor.close(ignored);
    accept_timer.cancel();
    auto open = std::exchange(sessions, {});
    for (const auto& [number, session] : open) {
      session->stream.socket().close(ignored);
    }
    exchanges.clear();
  }

  asio::io_context& io;
  Init init;
  Hooks hooks;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  HttpFrontStats stats;
  bool draining = false;
  std::uint64_t last_session = 0;
  ExchangeId last_exchange = 0;
  std::unordered_map<std::uint64_t, SessionPtr> sessions;
  std::unordered_map<ExchangeId, SessionPtr> exchanges;
};

HttpFront::HttpFront(asio::io_context& io, const Init& init, Hooks hooks)
    : impl_(std::make_shared<Impl>(io, init, std::move(hooks))) {}

HttpFront::~HttpFront() { impl_->CloseAtOnce(); }

Result<Endpoint> HttpFront::Listen(const Endpoint& endpoint) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.ip, error);
  const tcp::endpoint local(address, endpoint.port);
  tcp::acceptor& acceptor = impl_->acceptor;
  if (!error) acceptor.open(local.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(local, error);
  if (!error) acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    Findings findings;
    findings.Add("", "cannot listen on " + endpoint.ip + ":" +
                         std::to_string(endpoint.port) + ": " +
                         error.message());
    return boost::leaf::new_error(findings);
  }
  impl_->Accept();
  return Endpoint{endpoint.ip, acceptor.local_endpoint().port()};
}

void HttpFront::Respond(ExchangeId exchange, HttpResponse response) {
  const auto it = impl_->exchanges.find(exchange);
  if (it == impl_->exchanges.end()) return;
  impl_->Write(it->second, std::move(response));
}

void HttpFront::BeginDrain() { impl_->draining = true; }

void HttpFront::Close() { impl_->Close(); }

bool HttpFront::closed() const {
  return !impl_->acceptor.is_open() && impl_->sessions.empty();
}

std::size_t HttpFront::running() const { return impl_->exchanges.size(); }

const HttpFrontStats& HttpFront::stats() const { return impl_->stats; }

}  // namespace lentilcross
