#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load_report.h"

namespace lentilcross {

struct LoadOrganisation {
  std::string name;
  std::string key;        ///< Sent as X-Api-Key; empty: none.
  double rate = 0;        ///< Offered whole requests per second.
  double limit_rate = 0;  ///< Published rate to compare with; 0: none.
  double limit_burst = 0;
};

struct LoadRoute {
  std::string method;
  std::string path;
  double weight = 1;
  bool ticket = false;  ///< Non-idempotent: sent with a ticket.
};

struct LoadPlan {
  std::vector<std::string> callers;  ///< "ip:port" of callers' listeners.
  std::vector<LoadOrganisation> organisations;
  std::vector<LoadRoute> routes;
  std::chrono::milliseconds duration{10'000};
  std::chrono::milliseconds timeout{2'000};
  int retries = 0;  ///< By the caller, after a failed attempt.
  std::chrono::milliseconds retry_delay{50};
  std::uint64_t seed = 1;
  bool expect_echo = false;  ///< Successful responses must hold the request id.
};

/// Sends the load until its end or SIGTERM, waits for the last response and
/// returns the counts. `elapsed_s` is the time from the first request to the
/// last response.
LoadCounts RunLoad(const LoadPlan& plan, double* elapsed_s);

}  // namespace lentilcross
