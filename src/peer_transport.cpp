#include "peer_transport.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <unordered_map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include "lentilcross/config.h"
#include "lentilcross/findings.h"

namespace lentilcross {
namespace {

/// websocketpp finds out the byte order at the first call and keeps it in a
/// static variable without synchronisation, a data race if two daemons of one
/// process send their first frames at the same time.
void PrepareByteOrder() {
  static const std::uint64_t prepared = websocketpp::lib::net::_htonll(1);
  static_cast<void>(prepared);
}

/// Bytes of frames that may wait for one socket.
constexpr std::size_t kMaxBufferedBytes =
    std::size_t{8} * LENTILCROSS_CONFIG_MAX_PEER_MESSAGE;
/// Largest frame before the peer has proved its identity.
constexpr std::size_t kMaxFrameBeforeProof = 1024;
constexpr long kHandshakeMs = 1000;  // NOLINT(google-runtime-int)

struct PeerConfig : public websocketpp::config::core {
  using type = PeerConfig;
  using concurrency_type = websocketpp::concurrency::none;
  using elog_type = websocketpp::log::stub;
  using alog_type = websocketpp::log::stub;
  // websocketpp looks up this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transport_config : public websocketpp::config::core::transport_config {
    using concurrency_type = PeerConfig::concurrency_type;
    using elog_type = PeerConfig::elog_type;
    using alog_type = PeerConfig::alog_type;
    using request_type = PeerConfig::request_type;
    using response_type = PeerConfig::response_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static const bool enable_multithreading = false;
    // NOLINTNEXTLINE(google-runtime-int)
    static const long timeout_connect = kHandshakeMs;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;
  static const std::size_t max_message_size = kMaxFrameBeforeProof;
  static const std::size_t max_http_body_size = 0;
  // A malformed frame ends the connection.
  static const bool drop_on_protocol_error = true;
  // NOLINTNEXTLINE(google-runtime-int)
  static const long timeout_open_handshake = kHandshakeMs;
  // NOLINTNEXTLINE(google-runtime-int)
  static const long timeout_close_handshake = kHandshakeMs;
};

using Server = websocketpp::server<PeerConfig>;
using Client = websocketpp::client<PeerConfig>;
using Connection = websocketpp::connection<PeerConfig>;
using ConnectionPtr = std::shared_ptr<Connection>;
using websocketpp::connection_hdl;
namespace close_status = websocketpp::close::status;

Findings ListenFinding(const Endpoint& endpoint, const std::string& text) {
  Findings findings;
  findings.Add("/peer", "cannot listen on " + endpoint.ip + ":" +
                            std::to_string(endpoint.port) + ": " + text);
  return findings;
}

PeerTransport::CloseKind KindOf(const ConnectionPtr& connection) {
  const auto remote = connection->get_remote_close_code();
  if (remote == close_status::normal || remote == close_status::going_away) {
    return PeerTransport::CloseKind::kClean;
  }
  const auto local = connection->get_local_close_code();
  if (local == close_status::message_too_big ||
      local == close_status::protocol_error ||
      local == close_status::unsupported_data) {
    return PeerTransport::CloseKind::kProtocol;
  }
  const auto category =
      websocketpp::processor::error::get_processor_category().name();
  if (std::string_view(connection->get_ec().category().name()) == category) {
    return PeerTransport::CloseKind::kProtocol;
  }
  return PeerTransport::CloseKind::kBroken;
}

}  // namespace

struct PeerTransport::Impl : std::enable_shared_from_this<Impl> {
  Impl(boost::asio::io_context& context, Hooks transport_hooks)
      : io(context), hooks(std::move(transport_hooks)) {
    PrepareByteOrder();
    server.init_asio(&io);
    server.set_reuse_addr(true);
    client.init_asio(&io);
  }

  template <typename Role>
  void SetHandlers(Role& role, bool inbound) {
    std::weak_ptr<Impl> weak = weak_from_this();
    role.set_tcp_pre_init_handler([weak, &role](const connection_hdl& handle) {
      websocketpp::lib::error_code error;
      const auto connection = role.get_con_from_hdl(handle, error);
      boost::system::error_code ignored;
      if (!error) {
        connection->get_raw_socket().set_option(
            boost::asio::ip::tcp::no_delay(true), ignored);
      }
    });
    role.set_open_handler([weak, &role, inbound](const connection_hdl& handle) {
      if (auto self = weak.lock()) {
        self->OnOpen(role.get_con_from_hdl(handle), inbound);
      }
    });
    const auto on_end = [weak, &role](const connection_hdl& handle) {
      if (auto self = weak.lock()) self->OnEnd(role.get_con_from_hdl(handle));
    };
    role.set_close_handler(on_end);
    role.set_fail_handler(on_end);
    role.set_message_handler(
        [weak](const connection_hdl& handle, const Server::message_ptr& frame) {
          if (auto self = weak.lock()) self->OnFrame(handle, frame);
        });
  }

  SocketId IdOf(const connection_hdl& handle) const {
    const auto it = ids.find(handle.lock().get());
    return it == ids.end() ? 0 : it->second;
  }

  SocketId Add(const ConnectionPtr& connection) {
    const SocketId id = ++last_id;
    ids[static_cast<void*>(connection.get())] = id;
    sockets[id] = connection;
    return id;
  }

  void Forget(SocketId id) {
    const auto it = sockets.find(id);
    if (it == sockets.end()) return;
    ids.erase(static_cast<void*>(it->second.get()));
    sockets.erase(it);
  }

  void OnOpen(const ConnectionPtr& connection, bool inbound) {
    SocketId id = IdOf(connection->get_handle());
    if (id == 0) {
      if (!inbound) return;  // killed while it was being opened
      id = Add(connection);
    }
    hooks.on_open(id, inbound);
  }

  void OnFrame(const connection_hdl& handle, const Server::message_ptr& frame) {
    const SocketId id = IdOf(handle);
    if (id == 0) return;
    if (frame->get_opcode() == websocketpp::frame::opcode::binary) {
      hooks.on_frame(id, frame->get_payload());
    } else {
      hooks.on_frame(id, {});  // refused as malformed
    }
  }

  void OnEnd(const ConnectionPtr& connection) {
    const SocketId id = IdOf(connection->get_handle());
    if (id == 0) return;
    const CloseKind kind = KindOf(connection);
    Forget(id);
    hooks.on_closed(id, kind);
  }

  boost::asio::io_context& io;
  Hooks hooks;
  Server server;
  Client client;
  SocketId last_id = 0;
  std::unordered_map<SocketId, ConnectionPtr> sockets;
  std::unordered_map<void*, SocketId> ids;
};

PeerTransport::PeerTransport(boost::asio::io_context& io, Hooks hooks)
    : impl_(std::make_shared<Impl>(io, std::move(hooks))) {
  impl_->SetHandlers(impl_->server, true);
  impl_->SetHandlers(impl_->client, false);
  std::weak_ptr<Impl> weak = impl_;
  impl_->server.set_validate_handler([weak](const connection_hdl&) {
    auto self = weak.lock();
    return self && self->hooks.may_accept();
  });
}

PeerTransport::~PeerTransport() {
  StopListening();
  for (auto& [id, connection] : impl_->sockets) {
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
  }
}

Result<Endpoint> PeerTransport::Listen(const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.ip, error);
  if (error) {
    return boost::leaf::new_error(ListenFinding(endpoint, error.message()));
  }
  websocketpp::lib::error_code failed;
  impl_->server.listen({address, endpoint.port}, failed);
  if (!failed) impl_->server.start_accept(failed);
  if (failed) {
    return boost::leaf::new_error(ListenFinding(endpoint, failed.message()));
  }
  const auto local = impl_->server.get_local_endpoint(error);
  return Endpoint{endpoint.ip, local.port()};
}

void PeerTransport::StopListening() {
  websocketpp::lib::error_code ignored;
  if (impl_->server.is_listening()) impl_->server.stop_listening(ignored);
}

SocketId PeerTransport::Dial(const Endpoint& endpoint) {
  websocketpp::lib::error_code error;
  const auto connection = impl_->client.get_connection(
      "ws://" + endpoint.ip + ":" + std::to_string(endpoint.port) + "/", error);
  if (error) return 0;
  const SocketId id = impl_->Add(connection);
  impl_->client.connect(connection);
  return id;
}

bool PeerTransport::Send(SocketId id, const std::string& bytes) {
  const auto it = impl_->sockets.find(id);
  if (it == impl_->sockets.end()) return false;
  if (it->second->get_buffered_amount() > kMaxBufferedBytes) return false;
  return !it->second->send(bytes.data(), bytes.size(),
                           websocketpp::frame::opcode::binary);
}

void PeerTransport::SetMaxFrame(SocketId id, std::size_t bytes) {
  const auto it = impl_->sockets.find(id);
  if (it != impl_->sockets.end()) it->second->set_max_message_size(bytes);
}

void PeerTransport::Close(SocketId id) {
  const auto it = impl_->sockets.find(id);
  if (it == impl_->sockets.end()) return;
  websocketpp::lib::error_code error;
  it->second->close(close_status::normal, "", error);
}

void PeerTransport::Kill(SocketId id) {
  const auto it = impl_->sockets.find(id);
  if (it == impl_->sockets.end()) return;
  const ConnectionPtr connection = it->second;
  impl_->Forget(id);
  // Closing the socket alone would leave websocketpp's timers running.
  boost::asio::post(impl_->io, [connection] {
    boost::system::error_code ignored;
    connection->terminate(websocketpp::lib::error_code());
    connection->get_raw_socket().close(ignored);
  });
}

Duration PeerTransport::SinceLastByte(SocketId id) const {
  const auto it = impl_->sockets.find(id);
  if (it == impl_->sockets.end()) return Duration::max();
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int socket = it->second->get_raw_socket().native_handle();
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return Duration::max();
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace lentilcross
