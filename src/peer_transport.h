#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "daemon_init.h"
#include "lentilcross/error.h"

namespace lentilcross {

/// Handle of one websocket. 0 is invalid; numbers are never reused.
using SocketId = std::uint64_t;

/// Websockets between daemons: binary frames, no authentication. All calls and
/// hooks run on the thread of the `io_context`.
class PeerTransport {
 public:
  enum class CloseKind : std::uint8_t {
    kClean,     ///< Closed on purpose by either side.
    kProtocol,  ///< Broken or oversize frame.
    kBroken,    ///< Reset, refused, timeout.
  };
  struct Hooks {
    /// Asked before a handshake is accepted.
    std::function<bool()> may_accept;
    std::function<void(SocketId, bool inbound)> on_open;
    std::function<void(SocketId, std::string_view frame)> on_frame;
    std::function<void(SocketId, CloseKind)> on_closed;
  };

  PeerTransport(boost::asio::io_context& io, Hooks hooks);
  ~PeerTransport();

  /// The error carries `Findings`.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  void StopListening();

  /// Starts a connection; `on_open` or `on_closed` follows. 0 if the address is
  /// invalid.
  SocketId Dial(const Endpoint& endpoint);
  /// False if the socket is gone or too much is waiting to be written. Nothing
  /// was sent then.
  bool Send(SocketId id, const std::string& bytes);
  void SetMaxFrame(SocketId id, std::size_t bytes);
  /// Closes with a closing handshake. `on_closed` follows.
  void Close(SocketId id);
  /// Closes at once and without a hook.
  void Kill(SocketId id);
  /// Time since the kernel last received a byte; also sees parts of frames.
  Duration SinceLastByte(SocketId id) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
