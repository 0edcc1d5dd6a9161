#include "target_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lentilcross/config.h"

namespace lentilcross {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using Parser = http::response_parser<http::string_body>;

/// A connection is not reused this shortly before the idle timeout that its
/// target states, because the request could cross the target's close.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);

constexpr const char* kMissingRequestId = "the response carries no request id";
/// Interim responses, and responses to other requests, that are skipped while
/// waiting for one response.
constexpr int kMaxSkippedResponses = 16;
/// Ids of refused requests kept for one connection. The connection is closed
/// when their number reaches this limit.
constexpr std::size_t kMaxRefusedIds = 16;

std::string Serialize(const HttpRequest& request, const Endpoint& address,
                      bool forward_host) {
  std::string text;
  text.reserve(512 + request.body.size());
  text.append(request.method).append(" ").append(request.target);
  text.append(" HTTP/1.1\r\n");
  const bool has_host = forward_host && !request.header("Host").empty();
  if (!has_host) {
    text.append("Host: ").append(address.ip).append(":");
    text.append(std::to_string(address.port)).append("\r\n");
  }
  for (const auto& [name, value] : request.headers) {
    if (!has_host && EqualHeaderName(name, "Host")) continue;
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT" || request.method == "PATCH") {
    text.append("Content-Length: ")
        .append(std::to_string(request.body.size()))
        .append("\r\n");
  }
  return text.append("\r\n").append(request.body);
}

HttpResponse ToResponse(Parser& parser) {
  auto message = parser.release();
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.emplace_back(field.name_string(), field.value());
  }
  RemoveConnectionHeaders(response.headers);
  response.body = std::move(message.body());
  return response;
}

/// False for a status that no response to our requests may have. Nothing has to
/// follow such a response, so that it must not be skipped like an interim one.
bool IsExpectedStatus(unsigned status) {
  constexpr unsigned kSwitchingProtocols = 101;  // never asked for
  return status >= 100 && status <= 599 && status != kSwitchingProtocols;
}

/// Returns true if the other side has closed the connection or sent bytes
/// although no response is due.
bool HasUnexpectedInput(tcp::socket& socket) {
  char byte = 0;
  const auto count =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

struct Pool {
  std::size_t open = 0;
  std::vector<std::shared_ptr<struct Connection>> idle;
};

struct Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}

  tcp::socket socket;
  std::pair<std::string, std::uint16_t> key;
  boost::beast::flat_buffer buffer{web::kMaxBufferedBytes};
  std::optional<Parser> parser;
  std::string out;
  std::size_t held_bytes = 0;  ///< Of the response in progress.
  bool is_head_request = false;
  bool is_health_check = false;
  bool idle = false;
  std::string request_id;                 ///< Of the request in progress.
  int skipped_responses = 0;              ///< Since it was written.
  std::vector<std::string> refused_ids;   ///< Ids of refused requests.
  Instant usable_until = Instant::max();  ///< While idle.
  std::uint64_t idle_periods = 0;
  TargetClient::Handle handle = 0;
  std::function<bool()> may_write;
  std::function<void(TargetClient::Result&&)> done;
};

using ConnectionPtr = std::shared_ptr<Connection>;
using Failure = TargetClient::Failure;

}  // namespace

struct TargetClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& context, const Init& client_init)
      : io(context), init(client_init) {}

  Handle Start(const Endpoint& address, const HttpRequest& request,
               std::function<bool()> may_write,
               std::function<void(TargetClient::Result&&)> done) {
    ++stats.requests;
    const Handle handle = ++last_handle;
    const auto key = std::make_pair(address.ip, address.port);
    Pool& pool = pools[key];
    std::string request_id;
    if (!init.dialect.request_id.empty()) {
      request_id = request.header(init.dialect.request_id);
    }
    ConnectionPtr connection = TakeIdle(pool, request_id);
    const bool reused = connection != nullptr;
    if (!reused && pool.open >= init.max_connections) {
      ++stats.pool_full;
      asio::post(io, [done = std::move(done)] {
        done({Failure::kPoolFull, {}, "connection pool of the target is full"});
      });
      return handle;
    }
    if (!reused) connection = Open(pool, key);
    connection->handle = handle;
    connection->out = Serialize(request, address, init.dialect.forward_host);
    connection->request_id = std::move(request_id);
    connection->skipped_responses = 0;
    connection->is_head_request = request.method == "HEAD";
    connection->is_health_check = false;
    connection->may_write = std::move(may_write);
    connection->done = std::move(done);
    running[handle] = connection;
    if (reused) {
      ++stats.reused;
      Write(connection);
    } else {
      Connect(connection, address);
    }
    return handle;
  }

  ConnectionPtr TakeIdle(Pool& pool, const std::string& request_id) {
    while (!pool.idle.empty()) {
      ConnectionPtr connection = pool.idle.back();
      pool.idle.pop_back();
      connection->idle = false;
      const bool not_expired =
          std::chrono::steady_clock::now() < connection->usable_until;
      // A faulty target may repeat an earlier refusal. For a retry of the same
      // request, the copy could not be told from a new refusal.
      const auto& refused_ids = connection->refused_ids;
      const bool was_refused = std::find(refused_ids.begin(), refused_ids.end(),
                                         request_id) != refused_ids.end();
      if (not_expired && !was_refused &&
          !HasUnexpectedInput(connection->socket)) {
        return connection;
      }
      Close(connection);
    }
    return nullptr;
  }

  ConnectionPtr Open(Pool& pool,
                     const std::pair<std::string, std::uint16_t>& key) {
    auto connection = std::make_shared<Connection>(io);
    connection->key = key;
    ++pool.open;
    return connection;
  }

  void Close(const ConnectionPtr& connection) {
    if (!connection->socket.is_open() && connection->key.second == 0) return;
    error_code ignored;
    connection->socket.close(ignored);
    const auto it = pools.find(connection->key);
    if (it != pools.end()) --it->second.open;
    connection->key = {};
  }

  void Connect(const ConnectionPtr& connection, const Endpoint& address) {
    ++stats.connects;
    error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error) {
      asio::post(io, [self = shared_from_this(), connection] {
        self->Fail(connection, Failure::kUnsent,
                   "invalid IP address of the target");
      });
      return;
    }
    connection->socket.async_connect(
        {ip, address.port},
        [self = shared_from_this(), connection](error_code failed) {
          if (connection->handle == 0) return;  // Cancelled.
          if (failed) {
            ++self->stats.connect_failures;
            self->Fail(connection, Failure::kUnsent,
                       "cannot connect to the target: " + failed.message());
            return;
          }
          error_code ignored;
          connection->socket.set_option(tcp::no_delay(true), ignored);
          self->Write(connection);
        });
  }

  void Write(const ConnectionPtr& connection) {
    if (!connection->may_write()) {
      // Nothing was written, so the connection can be reused.
      asio::post(io, [self = shared_from_this(), connection] {
        if (connection->handle == 0) return;
        auto done = self->Detach(connection);
        self->ReturnToPool(connection);
        done(
            {Failure::kNotAllowed, {}, "the request may no longer be written"});
      });
      return;
    }
    asio::async_write(connection->socket, asio::buffer(connection->out),
                      [self = shared_from_this(), connection](
                          error_code error, std::size_t written) {
                        if (connection->handle == 0) return;
                        if (!error) {
                          self->Read(connection);
                          return;
                        }
                        self->Fail(
                            connection,
                            written == 0 ? Failure::kUnsent : Failure::kSent,
                            "cannot write to the target: " + error.message());
                      });
  }

  void Read(const ConnectionPtr& connection) {
    connection->parser.emplace();
    connection->parser->body_limit(LENTILCROSS_CONFIG_MAX_BODY);
    connection->parser->header_limit(kMaxHeaderBytes);
    connection->parser->skip(connection->is_head_request);
    connection->parser->eager(true);
    ReadMore(connection);
  }

  /// Reads in parts, because what all responses hold is limited.
  void ReadMore(const ConnectionPtr& connection) {
    http::async_read_some(
        connection->socket, connection->buffer, *connection->parser,
        [self = shared_from_this(), connection](error_code error, std::size_t) {
          if (connection->handle == 0) return;
          if (error) {
            self->Fail(
                connection, Failure::kSent,
                "incomplete response from the target: " + error.message());
            return;
          }
          if (connection->parser->is_done()) {
            self->OnResponse(connection);
            return;
          }
          self->SetHeldBytes(*connection,
                             connection->buffer.size() +
                                 connection->parser->get().body().capacity());
          self->LimitHeldBytes();
          if (connection->handle != 0) self->ReadMore(connection);
        });
  }

  void SetHeldBytes(Connection& connection, std::size_t bytes) {
    stats.held_bytes = stats.held_bytes - connection.held_bytes + bytes;
    connection.held_bytes = bytes;
  }

  void LimitHeldBytes() {
    while (stats.held_bytes > init.max_held_bytes) {
      const auto largest = std::max_element(
          running.begin(), running.end(),
          [](const auto& one, const auto& other) {
            return one.second->held_bytes < other.second->held_bytes;
          });
      ++stats.held_full;
      // Copied, because `Fail` erases the entry.
      const ConnectionPtr connection = largest->second;
      Fail(connection, Failure::kSent,
           "incomplete responses of targets hold too many bytes");
    }
  }

  void OnResponse(const ConnectionPtr& connection) {
    Parser& parser = *connection->parser;
    const unsigned status = parser.get().result_int();
    if (!IsExpectedStatus(status)) {
      ++stats.impossible_statuses;
      Fail(connection, Failure::kSent,
           "the response has the status " + std::to_string(status));
      return;
    }
    const bool interim = status < 200;
    if (interim || IsForOtherRequest(connection)) {
      // The response to this request follows on the same connection.
      if (!interim) ++stats.foreign_answers;
      if (++connection->skipped_responses > kMaxSkippedResponses) {
        Fail(connection, Failure::kSent,
             "too many interim responses or responses to other requests");
        return;
      }
      Read(connection);
      return;
    }
    if (const char* fault = FindFault(connection)) {
      Fail(connection, Failure::kSent, fault);
      return;
    }
    if (IsRefusal(parser))
      connection->refused_ids.push_back(connection->request_id);
    // Extra bytes could be taken for the response to a later request.
    const bool reusable = parser.keep_alive() &&
                          connection->buffer.size() == 0 &&
                          connection->refused_ids.size() < kMaxRefusedIds;
    connection->usable_until =
        std::chrono::steady_clock::now() + IdleLimit(parser);
    HttpResponse response = ToResponse(parser);
    auto done = Detach(connection);
    if (reusable) {
      ReturnToPool(connection);
    } else {
      Close(connection);
    }
    done({Failure::kNone, std::move(response), {}});
  }

  bool IsForOtherRequest(const ConnectionPtr& connection) const {
    const std::string& name = init.dialect.request_id;
    if (name.empty()) return false;
    const auto& message = connection->parser->get();
    const auto echoed = message.find(name);
    return echoed != message.end() && echoed->value() != connection->request_id;
  }

  bool IsRefusal(const Parser& parser) const {
    const std::string& name = init.dialect.not_run;
    const auto& message = parser.get();
    return !name.empty() &&
           (message.find(name) != message.end() ||
            message.result() == http::status::misdirected_request);
  }

  /// Returns an error text if the dialect has a signature and the response
  /// cannot be trusted to be the target's whole response to this request, else
  /// null.
  const char* FindFault(const ConnectionPtr& connection) const {
    const HttpDialect& dialect = init.dialect;
    if (dialect.signature.empty() || connection->is_health_check) {
      return nullptr;
    }
    const Parser& parser = *connection->parser;
    const auto& message = parser.get();
    const bool has_request_id =
        dialect.request_id.empty() ||
        message.find(dialect.request_id) != message.end();
    // A response without an id may repeat one to an earlier request.
    if (!has_request_id && !connection->request_id.empty()) {
      return kMissingRequestId;
    }
    if (IsRefusal(parser)) return nullptr;
    if (message.find(http::field::content_encoding) != message.end()) {
      return "the response has a content encoding, which was not requested";
    }
    const bool good = message.result_int() < 300;
    if (!good) return nullptr;
    if (message.find(dialect.signature) == message.end()) {
      return "the response carries no signature";
    }
    return has_request_id ? nullptr : kMissingRequestId;
  }

  /// Returns the idle time after which the connection is not reused: the
  /// timeout that the target states, less a margin, but at most
  /// `max_idle_time`.
  Duration IdleLimit(const Parser& parser) const {
    const auto& message = parser.get();
    const auto field = message.find(http::field::keep_alive);
    if (field == message.end()) return init.max_idle_time;
    const std::string_view value(field->value().data(), field->value().size());
    const std::size_t at = value.find("timeout=");
    if (at == std::string_view::npos) return init.max_idle_time;
    int seconds = 0;
    const char* begin = value.data() + at + std::string_view("timeout=").size();
    std::from_chars(begin, value.data() + value.size(), seconds);
    const Duration stated = std::chrono::seconds(seconds);
    return std::min(init.max_idle_time,
                    std::max(Duration::zero(), stated - kIdleMargin));
  }

  void ReturnToPool(const ConnectionPtr& connection) {
    Pool& pool = pools[connection->key];
    if (pool.idle.size() >= init.max_idle_connections) {
      Close(connection);
      return;
    }
    connection->idle = true;
    const std::uint64_t period = ++connection->idle_periods;
    pool.idle.push_back(connection);
    connection->socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), connection, period](error_code) {
          if (!connection->idle || connection->idle_periods != period) return;
          self->RemoveIdle(connection);
        });
  }

  void RemoveIdle(const ConnectionPtr& connection) {
    auto& idle = pools[connection->key].idle;
    idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
    connection->idle = false;
    Close(connection);
  }

  std::function<void(TargetClient::Result&&)> Detach(
      const ConnectionPtr& connection) {
    running.erase(connection->handle);
    SetHeldBytes(*connection, 0);
    connection->handle = 0;
    connection->may_write = nullptr;
    return std::exchange(connection->done, nullptr);
  }

  void Fail(const ConnectionPtr& connection, Failure failure,
            std::string detail) {
    if (connection->handle == 0) return;
    ++(failure == Failure::kUnsent ? stats.failed_unsent : stats.failed_sent);
    auto done = Detach(connection);
    Close(connection);
    done({failure, {}, std::move(detail)});
  }

  asio::io_context& io;
  Init init;
  TargetClientStats stats;
  Handle last_handle = 0;
  std::map<std::pair<std::string, std::uint16_t>, Pool> pools;
  std::unordered_map<Handle, ConnectionPtr> running;
};

TargetClient::TargetClient(asio::io_context& io, const Init& init)
    : impl_(std::make_shared<Impl>(io, init)) {}

TargetClient::~TargetClient() {
  for (auto& [key, pool] : impl_->pools) {
    for (const auto& connection : pool.idle) connection->idle = false;
    pool.idle.clear();
  }
}

TargetClient::Handle TargetClient::Start(const Endpoint& address,
                                         const HttpRequest& request,
                                         std::function<bool()> may_write,
                                         std::function<void(Result&&)> done) {
  return impl_->Start(address, request, std::move(may_write), std::move(done));
}

TargetClient::Handle TargetClient::CheckHealth(
    const Endpoint& address, const std::string& path,
    const std::function<void(Result&&)>& done) {
  HttpRequest request;
  request.target = path;
  const Handle handle = impl_->Start(
      address, request, [] { return true; }, done);
  const auto it = impl_->running.find(handle);
  if (it != impl_->running.end()) it->second->is_health_check = true;
  return handle;
}

void TargetClient::Cancel(Handle handle) {
  const auto it = impl_->running.find(handle);
  if (it == impl_->running.end()) return;
  const ConnectionPtr connection = it->second;
  ++impl_->stats.cancelled;
  impl_->Detach(connection);
  impl_->Close(connection);
}

const TargetClientStats& TargetClient::stats() const { return impl_->stats; }

}  // namespace lentilcross
