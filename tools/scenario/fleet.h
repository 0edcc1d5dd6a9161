#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilcross::scenario {

struct Host {
  std::string name;
  std::string domain;
  std::string service;
  int index = 0;          ///< Number of its block of ports.
  bool late = false;      ///< Not started by `start`.
  bool outsider = false;  ///< Has another peer key than the fleet.
};

/// Slots per target of a deployment (section 2.5 of the design).
struct Deployment {
  std::string name = "cedarhoop";
  int wide_slots = 60;
  int narrow_slots = 10;
  int phases = 2;  ///< As the fake targets of lentilcross_bench.
};

/// Empty if there is no deployment of this name.
std::optional<Deployment> DeploymentOf(const std::string& name);

struct Service {
  int slots = 8;
  int service_ms = 5;
  std::vector<std::string> calls;  ///< Routes called onward.
  int queue = 64;  ///< Requests that wait for a slot; more are refused.
  int phases = 1;  ///< Exponential phases of the service time.
};

struct Route {
  std::string service;
  bool once = false;  ///< Non-idempotent.
};

struct Organisation {
  double rate = 0;
  double burst = 0;
  std::string key;
  bool withdrawn = false;
};

/// Ports in the block of a host.
enum class Port {
  kCaller,
  kOnward,
  kPeer,
  kOperator,
  kTarget,
  kTargetControl,
  kRelay,
  kRelayControl,
};

/// The declared fleet, and the documents that follow from it. Peer links go
/// through one relay per host: the published peer address is the relay's.
struct Fleet {
  int base_port = 0;
  std::vector<std::string> domains;
  std::vector<Host> hosts;
  std::map<std::string, Service> services;
  std::map<std::string, Route> routes;
  std::map<std::string, Organisation> organisations;
  std::map<std::string, int> presets;   ///< Extra attempts by preset.
  std::map<std::string, int> settings;  ///< Added to the settings of all hosts.
  std::set<std::string> platform_readers;  ///< Empty: all hosts.
  std::string preset;
  int version = 1;
  Deployment deployment;
  std::string bottleneck;  ///< Service that limits whole requests.

  const Host& host(const std::string& name) const;
  std::string Address(const Host& host, Port port) const;
  std::string PlatformAddress() const;
  std::string PlatformControl() const;
  nlohmann::json Configuration() const;
  nlohmann::json Settings(const Host& host) const;
  /// Normal behaviour of a target.
  nlohmann::json Behaviour(const Host& host) const;
  /// An idempotent route; empty if there is none.
  std::string LookupRoute() const;
  /// Whole requests per second that the slots of the bottleneck can finish.
  double Capacity() const;
};

}  // namespace lentilcross::scenario
