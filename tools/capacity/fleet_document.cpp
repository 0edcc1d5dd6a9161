#include "fleet_document.h"

#include <boost/leaf/handle_errors.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "compress.h"
#include "lentilcross/keys.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

constexpr int kTargetsPerService = 21;

std::string Hex(const Sha256Digest& digest) {
  std::ostringstream text;
  text << std::hex << std::setfill('0');
  for (const auto byte : digest) text << std::setw(2) << int{byte};
  return text.str();
}

Json Hosts(const FleetSize& size) {
  Json hosts = Json::object();
  for (int i = 0; i < size.hosts; ++i) {
    const std::string peer = "10." + std::to_string(i / 65536) + "." +
                             std::to_string(i / 256 % 256) + "." +
                             std::to_string(i % 256) + ":7101";
    hosts[HostName(i)] = {
        {"failure_domain", DomainName(i % size.failure_domains)},
        {"peer", peer}};
  }
  return hosts;
}

Json Services(const FleetSize& size) {
  Json services = Json::object();
  for (int i = 0; i < size.hosts; ++i) {
    const std::string service =
        "service-" + std::to_string(i / kTargetsPerService);
    services[service]["targets"].push_back(
        {{"name", "target-" + std::to_string(i)}, {"host", HostName(i)}});
  }
  return services;
}

Json Routes(const Json& services) {
  Json routes = Json::object();
  for (const auto& [name, service] : services.items()) {
    routes["/" + name] = {{"service", name},
                          {"importance", "lookup"},
                          {"idempotent", true},
                          {"open", false},
                          {"timeout_ms", 800}};
  }
  return routes;
}

}  // namespace

std::string FleetDocument(const FleetSize& size, std::uint64_t version) {
  Json document = {{"version", version},
                   {"preset", "ordinary"},
                   {"rate_owners_per_domain", 2},
                   {"hosts", Hosts(size)},
                   {"services", Services(size)}};
  document["routes"] = Routes(document["services"]);
  for (int i = 0; i < size.failure_domains; ++i) {
    document["failure_domains"][DomainName(i)] = {
        {"region", "region-" + std::to_string(i / 2)}};
  }
  for (int i = 0; i < size.organisations; ++i) {
    const std::string name = OrganisationName(i);
    // The rate of one organisation changes with the version, so that two
    // versions differ in one entry.
    const double rate =
        i == 0 ? 100 + static_cast<double>(version % 1000) : 100;
    document["organisations"][name] = {
        {"rate", rate}, {"burst", 100}, {"weight", 1}};
    for (int k = 0; k < size.keys_per_organisation; ++k) {
      const std::string key = name + "-key-" + std::to_string(k);
      document["keys"][key] = {{"organisation", name},
                               {"sha256", Hex(Sha256(key))},
                               {"withdrawn", false}};
    }
  }
  document["presets"]["ordinary"] = {{"rate_factor", 1.0},
                                     {"extra_attempts", 2},
                                     {"queue_ms", 50},
                                     {"refuse_importance_below", "background"}};
  return document.dump();
}

std::shared_ptr<const Configuration> FleetConfiguration(const FleetSize& size) {
  const std::string text = Compress(FleetDocument(size, 1));
  return boost::leaf::try_handle_all(
      [&] { return Configuration::Parse(text); },
      [](const Findings& findings) {
        std::cerr << findings.Format("fleet");
        return std::shared_ptr<const Configuration>();
      },
      [] { return std::shared_ptr<const Configuration>(); });
}

}  // namespace lentilcross
