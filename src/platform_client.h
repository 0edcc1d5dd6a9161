#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon_init.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Reads and watches the platform's configuration and its list of hosts. Runs
/// on the thread `control`.
class PlatformClient {
 public:
  struct Init {
    std::vector<Endpoint> endpoints;
    Duration timeout = std::chrono::seconds(2);  ///< On top of a wait.
  };
  struct HostState {
    std::string name;
    bool leaving = false;
  };
  struct Hooks {
    /// `source` is the "ip:port" that answered; `began` is when it was asked.
    std::function<void(const std::string& text, const std::string& source,
                       Instant began)>
        on_document;
    std::function<void(Instant began)> on_unchanged;
    std::function<void(const std::string& cause)> on_failure;
    std::function<void(const std::vector<HostState>&)> on_hosts;
  };

  PlatformClient(boost::asio::io_context& io, const Init& init, Hooks hooks);
  ~PlatformClient();

  /// Asks for a version above `after`; the platform waits up to `wait` for one.
  /// Ends with one of the hooks. Only one read runs at a time.
  void Read(Version after, Duration wait);
  bool reading() const;
  /// Asks for the list of hosts. A failure is only counted: the list is a hint.
  void ReadHosts();

  const PlatformClientStats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
