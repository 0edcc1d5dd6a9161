#include "fleet.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>

#include "hex.h"

namespace lentilcross::scenario {
namespace {

using Json = nlohmann::json;

constexpr int kPortsPerHost = 10;
constexpr int kPlatformOffset = 1;
constexpr int kPlatformControlOffset = 2;
constexpr int kUnusedOffset = 3;  // Nothing listens there.
constexpr int kRouteTimeoutMs = 1000;
constexpr int kQueueMs = 100;

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

std::string Digest(const std::string& key) {
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  return ToHex(digest);
}

}  // namespace

std::optional<Deployment> DeploymentOf(const std::string& name) {
  if (name == "cedarhoop") return Deployment{name, 60, 10, 2};
  if (name == "brierley") return Deployment{name, 100, 20, 2};
  return std::nullopt;
}

double Fleet::Capacity() const {
  const Service& service = services.at(bottleneck);
  const auto targets = std::count_if(
      hosts.begin(), hosts.end(),
      [this](const Host& host) { return host.service == bottleneck; });
  constexpr double kMsPerSecond = 1000;
  return static_cast<double>(targets) * service.slots * kMsPerSecond /
         service.service_ms;
}

const Host& Fleet::host(const std::string& name) const {
  return *std::find_if(hosts.begin(), hosts.end(),
                       [&name](const Host& host) { return host.name == name; });
}

std::string Fleet::Address(const Host& host, Port port) const {
  return Loopback(base_port + kPortsPerHost * (host.index + 1) +
                  static_cast<int>(port));
}

std::string Fleet::PlatformAddress() const {
  return Loopback(base_port + kPlatformOffset);
}

std::string Fleet::PlatformControl() const {
  return Loopback(base_port + kPlatformControlOffset);
}

Json Fleet::Configuration() const {
  Json document = {
      {"version", version}, {"preset", preset}, {"rate_owners_per_domain", 2}};
  for (const std::string& domain : domains) {
    document["failure_domains"][domain] = {
        {"region", domain},
        {"share", 1.0 / static_cast<double>(domains.size())}};
  }
  for (const Host& host : hosts) {
    document["hosts"][host.name] = {{"failure_domain", host.domain},
                                    {"peer", Address(host, Port::kRelay)}};
    document["services"][host.service]["targets"].push_back(
        {{"name", "target-" + host.name}, {"host", host.name}});
  }
  for (const auto& [path, route] : routes) {
    document["routes"][path] = {
        {"service", route.service},
        {"importance", route.once ? "critical" : "lookup"},
        {"idempotent", !route.once},
        {"open", false},
        {"timeout_ms", kRouteTimeoutMs}};
  }
  for (const auto& [name, organisation] : organisations) {
    document["organisations"][name] = {{"rate", organisation.rate},
                                       {"burst", organisation.burst},
                                       {"weight", 1}};
    document["keys"][name + "-key"] = {{"organisation", name},
                                       {"sha256", Digest(organisation.key)},
                                       {"withdrawn", organisation.withdrawn}};
  }
  for (const auto& [name, extra] : presets) {
    document["presets"][name] = {{"rate_factor", 1.0},
                                 {"extra_attempts", extra},
                                 {"queue_ms", kQueueMs},
                                 {"refuse_importance_below", "background"}};
  }
  return document;
}

Json Fleet::Settings(const Host& host) const {
  const bool reads =
      platform_readers.empty() || platform_readers.count(host.name) > 0;
  Json document = {
      {"host", host.name},
      {"failure_domain", host.domain},
      {"region", host.domain},
      {"caller", Address(host, Port::kCaller)},
      {"onward", Address(host, Port::kOnward)},
      {"peer", Address(host, Port::kPeer)},
      {"operator", Address(host, Port::kOperator)},
      {"targets",
       {{{"name", "target-" + host.name},
         {"service", host.service},
         {"address", Address(host, Port::kTarget)}}}},
      {"platform",
       {reads ? PlatformAddress() : Loopback(base_port + kUnusedOffset)}},
      {"peer_keys", {std::string(64, host.outsider ? 'b' : 'a')}},
      {"seeds", Json::array()},
      {"log", {{"level", "info"}}},
      // Shorter than the defaults, which keeps a scenario short.
      {"startup_wait_ms", 2000},
      {"rate_handover_ms", 2000},
      {"loan_term_ms", 500}};
  for (const Host& seed : hosts) {
    if (seed.name != host.name && !seed.late) {
      document["seeds"].push_back(Address(seed, Port::kRelay));
    }
  }
  for (const auto& [name, value] : settings) document[name] = value;
  return document;
}

Json Fleet::Behaviour(const Host& host) const {
  const Service& service = services.at(host.service);
  Json onward = Json::array();
  for (const std::string& path : service.calls) {
    onward.push_back(
        {{"path", path}, {"method", routes.at(path).once ? "POST" : "GET"}});
  }
  return {{"slots", service.slots}, {"service_ms", service.service_ms},
          {"exponential", true},    {"phases", service.phases},
          {"queue", service.queue}, {"cold_ms", 0},
          {"draining", false},      {"misleading_health", false},
          {"onward", onward}};
}

std::string Fleet::LookupRoute() const {
  for (const auto& [path, route] : routes) {
    if (!route.once) return path;
  }
  return "";
}

}  // namespace lentilcross::scenario
