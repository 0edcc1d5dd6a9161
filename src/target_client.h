#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "daemon_init.h"
#include "http_types.h"
#include "lentilcross/config.h"
#include "target_connections.h"

namespace lentilcross {

/// HTTP/1.1 connections to the targets on this host. A connection carries one
/// request at a time and is reused only after a complete response.
class TargetClient : public TargetConnections {
 public:
  struct Init {
    std::size_t max_connections = 1024;      ///< For each address.
    std::size_t max_idle_connections = 256;  ///< For each address.
    /// Idle time after which a connection is not reused. A shorter time stated
    /// by the target takes precedence.
    Duration max_idle_time = std::chrono::seconds(60);
    /// Bytes of incomplete responses, of all targets together. Above it, the
    /// requests with the largest ones fail.
    std::size_t max_held_bytes = LENTILCROSS_CONFIG_MAX_HELD_RESPONSES;
    HttpDialect dialect;
  };
  TargetClient(boost::asio::io_context& io, const Init& init);
  ~TargetClient() override;

  Handle Start(const Endpoint& address, const HttpRequest& request,
               std::function<bool()> may_write,
               std::function<void(Result&&)> done) override;
  Handle CheckHealth(const Endpoint& address, const std::string& path,
                     const std::function<void(Result&&)>& done) override;
  void Cancel(Handle handle) override;

  const TargetClientStats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
