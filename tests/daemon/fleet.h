#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemon.h"
#include "daemon/fakes.h"

namespace lentilcross::testing {

/// A daemon that runs on its own threads.
class RunningDaemon {
 public:
  explicit RunningDaemon(DaemonInit init);
  ~RunningDaemon();

  Daemon& daemon() { return *daemon_; }
  void Start();
  /// Waits for a published snapshot that fits.
  bool WaitStats(const std::function<bool(const DaemonStats&)>& fits) const;
  DaemonStats stats() const;
  bool WaitLog(const std::string& event) const;
  /// Waits for the end of a shutdown. Returns the exit status.
  int Join();

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  DaemonStats stats_;
  std::vector<std::string> events_;
  int status_ = -1;
  std::unique_ptr<Daemon> daemon_;
  std::thread thread_;
};

/// Daemons with their targets, a platform and one configuration for all.
class Fleet {
 public:
  struct TargetSpec {
    std::string name;
    std::string service;
    FakeTarget::Handler handler;
  };

  /// Adds a host before `Start`. The target listens at once.
  void AddHost(const std::string& host, const std::string& domain,
               std::vector<TargetSpec> targets,
               const std::function<void(DaemonInit&)>& change = {});
  void SetOwnersPerDomain(int owners);
  /// Publishes another peer address for a host, for example that of a relay.
  void SetPeerAddress(const std::string& host, const Endpoint& endpoint);
  /// Adds a route that is open, unless `fields` says otherwise.
  void AddRoute(const std::string& prefix, const std::string& service,
                const Json& fields = Json::object());
  /// Adds an organisation with one key of the same name, and the given text.
  void AddKey(const std::string& organisation, const std::string& key);

  /// Publishes the configuration, starts all daemons and waits until they are
  /// ready.
  void Start();
  /// Changes the document and publishes it with the next version.
  void Publish(const std::function<void(Json&)>& change);

  RunningDaemon& at(const std::string& host) { return *daemons_.at(host); }
  FakeTarget& target(const std::string& name) { return *targets_.at(name); }
  FakePlatform& platform() { return platform_; }
  std::uint64_t version() const { return document_.at("version"); }

  /// Sends one request to the caller listener of a host.
  web::HttpResult Call(const std::string& host, const std::string& path,
                       web::HttpHeaders headers = {},
                       const std::string& method = "GET");

 private:
  FakePlatform platform_;
  Json document_ = {{"version", 1},
                    {"preset", "ordinary"},
                    {"failure_domains", Json::object()},
                    {"hosts", Json::object()},
                    {"services", Json::object()},
                    {"routes", Json::object()},
                    {"organisations", Json::object()},
                    {"keys", Json::object()},
                    {"presets", {{"ordinary", {{"queue_ms", 50}}}}}};
  std::map<std::string, std::unique_ptr<FakeTarget>> targets_;
  std::map<std::string, std::vector<std::string>> targets_of_;
  std::map<std::string, std::unique_ptr<RunningDaemon>> daemons_;
};

/// Member `name` of a problem+json body; empty if it is none.
std::string ProblemMember(const web::HttpResponse& response,
                          const std::string& name);

/// Settings that tests of links share with the fleet's daemons.
inline const std::string kPeerKey = "peer key of the tests";

}  // namespace lentilcross::testing
