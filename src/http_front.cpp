#include "http_front.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lentilcross/config.h"
#include "lentilcross/findings.h"

namespace lentilcross {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

/// Delay after a failed accept, for example when no file descriptor is left.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

/// Maximum wait for the caller to close after the last response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kDiscardBytes = 4096;

/// Interval of the checks for connection timeouts.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);

using Parser = http::request_parser<http::string_body>;

/// One request of a connection and its response.
struct Exchange {
  HttpFront::ExchangeId id = 0;
  bool keep_alive = true;
  bool head = false;
  std::optional<HttpResponse> response;
};

struct Session {
  explicit Session(tcp::socket socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{web::kMaxBufferedBytes};
  std::optional<Parser> parser;
  http::response<http::string_body> response;
  std::deque<Exchange> exchanges;  ///< Not completely answered, in order.
  bool reading = false;
  bool body_begun = false;  ///< The header was read; the body is being read.
  bool writing = false;
  bool last_request_read = false;  ///< No further request is read.
  bool lingering = false;  ///< Sent the last response; waits for the close.
  std::uint64_t number = 0;
  Instant read_since{};  ///< Start of the read, including the idle time.
  Instant write_since{};
  Instant linger_since{};

  /// True if any byte of a request is in the buffer or the socket.
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
        accept_timer(context),
        timeout_timer(context) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](error_code error, tcp::socket socket) {
          if (error == asio::error::operation_aborted) return;
          if (error) {
            self->RetryAcceptLater();
            return;
          }
          self->OnAccepted(std::move(socket));
          self->Accept();
        });
  }

  void RetryAcceptLater() {
    accept_timer.expires_after(kAcceptRetryDelay);
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

  // ----- Requests

  /// Reads the next request; earlier ones may be unanswered.
  void Read(const SessionPtr& session) {
    session->parser.emplace();
    session->parser->body_limit(LENTILCROSS_CONFIG_MAX_BODY);
    session->parser->header_limit(kMaxHeaderBytes);
    session->body_begun = false;
    session->read_since = steady_clock::now();
    session->reading = true;
    ReadHeader(session);
  }

  void ReadHeader(const SessionPtr& session) {
    http::async_read_header(
        session->stream, session->buffer, *session->parser,
        [self = shared_from_this(), session](error_code error, std::size_t) {
          if (session->lingering) {
            self->Discard(session);
          } else if (error == asio::error::operation_aborted &&
                     session->HasBytes()) {
            self->ReadHeader(session);
          } else if (error) {
            self->OnReadFailed(session, error);
          } else {
            self->ReadBody(session);
          }
        });
  }

  void ReadBody(const SessionPtr& session) {
    session->body_begun = true;
    http::async_read(
        session->stream, session->buffer, *session->parser,
        [self = shared_from_this(), session](error_code error, std::size_t) {
          if (session->lingering) {
            self->Discard(session);
          } else if (error) {
            self->OnReadFailed(session, error);
          } else {
            self->OnRequest(session);
          }
        });
  }

  void OnReadFailed(const SessionPtr& session, const error_code& error) {
    session->reading = false;
    if (!IsBodyTooLarge(error) && !IsMalformed(error)) {
      Disconnect(session);
      return;
    }
    ++stats.malformed;
    session->last_request_read = true;
    Refusal refusal;
    refusal.reason =
        IsBodyTooLarge(error) ? Reason::kPayloadTooLarge : Reason::kBadRequest;
    refusal.outcome = Outcome::kNotRun;
    refusal.detail = error.message();
    const ExchangeId id =
        AddExchange(session, /*keep_alive=*/false, /*head=*/false);
    Respond(id, MakeProblem(refusal, init.dialect));
  }

  ExchangeId AddExchange(const SessionPtr& session, bool keep_alive,
                         bool head) {
    const ExchangeId id = ++last_exchange;
    session->exchanges.push_back({id, keep_alive, head, std::nullopt});
    exchanges[id] = session;
    return id;
  }

  void OnRequest(const SessionPtr& session) {
    ++stats.requests;
    session->reading = false;
    const bool keep_alive = session->parser->keep_alive();
    session->last_request_read = !keep_alive;
    const bool head = session->parser->get().method() == http::verb::head;
    HttpRequest request = ToRequest(*session->parser);
    const ExchangeId id = AddExchange(session, keep_alive, head);
    // Reading the next request also detects a disconnect.
    ReadNext(session);
    hooks.on_request(id, std::move(request));
  }

  /// Reads the next request unless `max_pipelined` is reached or the connection
  /// closes. Otherwise watches for a disconnect.
  void ReadNext(const SessionPtr& session) {
    if (session->reading || session->lingering) return;
    if (!session->last_request_read &&
        session->exchanges.size() < init.max_pipelined) {
      Read(session);
    } else if (!session->exchanges.empty()) {
      WatchForClose(session, session->exchanges.front().id);
    }
  }

  void WatchForClose(const SessionPtr& session, ExchangeId exchange) {
    session->stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), session, exchange](error_code error) {
          const bool answered = session->exchanges.empty() ||
                                session->exchanges.front().id != exchange;
          if (error || answered || session->reading) return;
          char byte = 0;
          const int handle = session->stream.socket().native_handle();
          const auto count = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
          // Bytes of a further request are no disconnect and stay in the
          // socket.
          if (count > 0) return;
          if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
          self->Disconnect(session);
        });
  }

  /// Drops the connection and its unanswered requests: the caller can't receive
  /// the responses.
  void Disconnect(const SessionPtr& session) {
    const auto open = std::exchange(session->exchanges, {});
    if (!open.empty()) ++stats.disconnects;
    CloseSession(session);
    for (const Exchange& exchange : open) {
      exchanges.erase(exchange.id);
      if (!exchange.response) hooks.on_client_disconnect(exchange.id);
    }
  }

  // ----- Responses

  void Respond(ExchangeId id, HttpResponse response) {
    const auto it = exchanges.find(id);
    if (it == exchanges.end()) return;
    const SessionPtr session = it->second;
    const auto exchange = std::find_if(
        session->exchanges.begin(), session->exchanges.end(),
        [id](const Exchange& candidate) { return candidate.id == id; });
    if (exchange == session->exchanges.end()) return;
    exchange->response = std::move(response);
    WriteNext(session);
  }

  void WriteNext(const SessionPtr& session) {
    if (session->writing || session->exchanges.empty()) return;
    Exchange& exchange = session->exchanges.front();
    if (!exchange.response) return;
    auto& message = session->response;
    message = {};
    session->writing = true;
    message.version(11);
    message.result(static_cast<unsigned>(exchange.response->status));
    for (auto& [name, value] : exchange.response->headers) {
      message.insert(name, value);
    }
    message.body() = std::move(exchange.response->body);
    const bool keep_alive = exchange.keep_alive && !draining;
    message.keep_alive(keep_alive);
    if (!exchange.head) message.prepare_payload();
    session->write_since = steady_clock::now();
    http::async_write(session->stream, message,
                      [self = shared_from_this(), session, keep_alive](
                          error_code error, std::size_t) {
                        self->OnWritten(session, error, keep_alive);
                      });
  }

  void OnWritten(const SessionPtr& session, const error_code& error,
                 bool keep_alive) {
    session->writing = false;
    if (session->exchanges.empty()) return;  // disconnected
    exchanges.erase(session->exchanges.front().id);
    session->exchanges.pop_front();
    const bool closing = session->exchanges.empty() && !acceptor.is_open() &&
                         !(session->reading && session->HasBytes());
    if (error) {
      Disconnect(session);
    } else if (!keep_alive || closing) {
      FinishSession(session);
    } else {
      WriteNext(session);
      ReadNext(session);
    }
  }

  /// Ends the connection after its last response. The caller takes later
  /// pipelined requests as unread, so they are cancelled.
  void FinishSession(const SessionPtr& session) {
    session->lingering = true;
    const auto unanswered = std::exchange(session->exchanges, {});
    error_code ignored;
    session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    session->linger_since = steady_clock::now();
    if (session->reading) {
      session->stream.cancel();  // the read handler calls Discard
    } else {
      Discard(session);
    }
    for (const Exchange& exchange : unanswered) {
      exchanges.erase(exchange.id);
      if (!exchange.response) hooks.on_client_disconnect(exchange.id);
    }
  }

  /// Reads and drops bytes until the caller closes. Closing the socket with
  /// unread bytes would reset the connection before the caller has read the
  /// response.
  void Discard(const SessionPtr& session) {
    session->buffer.clear();
    session->stream.async_read_some(
        session->buffer.prepare(kDiscardBytes),
        [self = shared_from_this(), session](error_code error, std::size_t) {
          if (error) {
            self->CloseSession(session);
          } else {
            self->Discard(session);
          }
        });
  }

  void CloseSession(const SessionPtr& session) {
    error_code ignored;
    session->stream.socket().close(ignored);
    sessions.erase(session->number);
  }

  // ----- Timeouts

  void StartTimeoutTimer() {
    timeout_timer.expires_after(kTimeoutCheckInterval);
    timeout_timer.async_wait([weak = weak_from_this()](error_code error) {
      auto self = weak.lock();
      if (error || !self) return;
      self->CloseTimedOut();
      if (self->acceptor.is_open() || !self->sessions.empty()) {
        self->StartTimeoutTimer();
      }
    });
  }

  void CloseTimedOut() {
    const Instant now = steady_clock::now();
    std::vector<SessionPtr> timed_out;
    for (const auto& [number, session] : sessions) {
      if (IsTimedOut(*session, now)) timed_out.push_back(session);
    }
    for (const SessionPtr& session : timed_out) Disconnect(session);
  }

  bool IsTimedOut(const Session& session, Instant now) const {
    if (session.lingering) return now - session.linger_since > kLingerTimeout;
    if (session.writing && now - session.write_since > init.write) return true;
    if (!session.reading) return false;
    const Duration waited = now - session.read_since;
    const bool begun = session.body_begun || session.parser->got_some();
    if (begun) return waited > init.idle + init.read;
    return session.exchanges.empty() && waited > init.idle;
  }

  // ----- Shutdown

  void Close() {
    AcceptBacklog();
    error_code ignored;
    acceptor.close(ignored);
    accept_timer.cancel();
    // A read may have received bytes although its handler has not run yet.
    // Cancelling is safe: `ReadHeader` reads on if any byte has arrived.
    for (const auto& [number, session] : sessions) {
      const bool idle = session->exchanges.empty() && !session->lingering &&
                        session->reading && !session->body_begun;
      if (idle) session->stream.cancel();
    }
  }

  /// Accepts the connections in the backlog; closing the acceptor would reset
  /// them.
  void AcceptBacklog() {
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(io);
      acceptor.accept(socket, error);
      if (!error) OnAccepted(std::move(socket));
    }
  }

  void CloseImmediately() {
    error_code ignored;
    acceptor.close(ignored);
    accept_timer.cancel();
    timeout_timer.cancel();
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
  asio::steady_timer timeout_timer;
  HttpFrontStats stats;
  bool draining = false;
  std::uint64_t last_session = 0;
  ExchangeId last_exchange = 0;
  std::unordered_map<std::uint64_t, SessionPtr> sessions;
  std::unordered_map<ExchangeId, SessionPtr> exchanges;
};

HttpFront::HttpFront(asio::io_context& io, const Init& init, Hooks hooks)
    : impl_(std::make_shared<Impl>(io, init, std::move(hooks))) {}

HttpFront::~HttpFront() { impl_->CloseImmediately(); }

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
  impl_->StartTimeoutTimer();
  return Endpoint{endpoint.ip, acceptor.local_endpoint().port()};
}

void HttpFront::Respond(ExchangeId exchange, HttpResponse response) {
  impl_->Respond(exchange, std::move(response));
}

void HttpFront::SetLimits(const CallerLimits& limits) {
  impl_->init.idle = limits.idle_timeout;
  impl_->init.read = limits.header_timeout;
}

void HttpFront::BeginDrain() { impl_->draining = true; }

void HttpFront::Close() { impl_->Close(); }

bool HttpFront::closed() const {
  return !impl_->acceptor.is_open() && impl_->sessions.empty();
}

std::size_t HttpFront::running() const { return impl_->exchanges.size(); }

const HttpFrontStats& HttpFront::stats() const { return impl_->stats; }

}  // namespace lentilcross
