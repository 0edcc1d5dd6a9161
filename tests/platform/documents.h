#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lentilcross::testing {

/// Bodies in the platform's published format.
inline nlohmann::json MakeRoute(const std::string& prefix,
                                const std::string& kind,
                                const std::string& service) {
  return {
      {"name", "r" + prefix}, {"prefix", prefix},  {"kind", kind},
      {"timeout-ms", 2000},   {"priority", 2},     {"target-latency-ms", 500},
      {"service", service},   {"max-attempts", 2}, {"public", false}};
}

/// Two routes of one host, two services, one tenant with one key.
inline nlohmann::json MakeOperatorConfiguration(int version) {
  return {
      {"version", "r" + std::to_string(version)},
      {"services",
       {{{"name", "stock"}, {"health-path", "/healthz"}, {"max-conns", 100}},
        {{"name", "ledger"}, {"health-path", "/healthz"}, {"max-conns", 50}}}},
      {"limits",
       {{"max-header-bytes", 16384},
        {"max-body-bytes", 1000000},
        {"header-timeout-ms", 3000},
        {"idle-timeout-ms", 15000}}},
      {"tenants",
       {{{"name", "coopers"},
         {"api-keys", {"key-of-coopers"}},
         {"priority", 1},
         {"rate-per-s", 100},
         {"burst", 100}}}},
      {"virtual-hosts",
       {{{"host", "shop.example"},
         {"paths",
          {MakeRoute("/look/", "idempotent", "stock"),
           MakeRoute("/book/", "non_idempotent", "ledger")}}}}}};
}

/// Registration of a target at `address`.
inline nlohmann::json MakeRegistration(const std::string& service,
                                       const std::string& address,
                                       std::int64_t born = 1000) {
  return {
      {"address", address},
      {"born", born},
      {"details",
       {{"service", service},
        {"version", "v1"},
        {"zone", "zone-a"},
        {"slots", 8}}},
      {"status", {{"state", "ready"}, {"sequence", 4}, {"cold-left-ms", 0}}}};
}

}  // namespace lentilcross::testing
