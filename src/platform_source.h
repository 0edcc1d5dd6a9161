#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "daemon_stats.h"
#include "endpoint.h"
#include "lentilcross/evacuation.h"
#include "lentilcross/findings.h"
#include "lentilcross/registry.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Reads what the platform publishes: the configuration document, the list of
/// leaving hosts and, if it has one, the registry of targets. Runs on the
/// thread `control`.
class PlatformSource {
 public:
  /// A document as text, in the platform's form, or parsed.
  using Document = std::variant<std::string, nlohmann::json>;
  struct HostState {
    std::string name;
    bool leaving = false;
  };
  struct Hooks {
    /// `source` is the "ip:port" that answered; `began` is when it was asked.
    std::function<void(const Document& document, const std::string& source,
                       Instant began)>
        on_document;
    /// There is nothing newer than what was last reported.
    std::function<void(Instant began)> on_unchanged;
    /// The newest document cannot be read. `version` is invalid if it is not
    /// known.
    std::function<void(Version version, const Findings& findings,
                       const std::string& source, Instant began)>
        on_refused;
    std::function<void(const std::string& cause)> on_failure;
    std::function<void(const std::vector<HostState>&)> on_hosts;
    /// The whole registry, or what changed up to a revision; nothing if that
    /// is only confirmed.
    std::function<void(const Fleet&)> on_registry;
    std::function<void(std::uint64_t to, const std::vector<RegistryChange>&)>
        on_registry_changes;
    std::function<void(const EvacuationNews&)> on_evacuations;
    /// A dependency was lost or is back, or an entry cannot be read.
    std::function<void(const std::string& event, const std::string& detail)>
        on_event;
  };

  virtual ~PlatformSource() = default;

  /// Asks for a version above `after`; the platform waits up to `wait` for one.
  /// Ends with one of the hooks. Only one read runs at a time.
  virtual void Read(Version after, Duration wait) = 0;
  virtual bool reading() const = 0;
  /// Asks for the list of hosts. A failure is only counted: the list is a hint.
  virtual void ReadHosts() = 0;
  /// True if targets register themselves at the platform.
  virtual bool has_registry() const { return false; }
  /// Whether to read and watch the registry; `known` is the revision to go on
  /// from, 0 for none. Called every 100 ms.
  virtual void FollowRegistry(bool /*follow*/, std::uint64_t /*known*/) {}

  virtual const PlatformClientStats& stats() const = 0;
};

using PlatformSourceFactory = std::function<std::unique_ptr<PlatformSource>(
    boost::asio::io_context& io, PlatformSource::Hooks hooks)>;

}  // namespace lentilcross
