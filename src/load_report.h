#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lentilcross/types.h"

namespace lentilcross {

/// From the send of an answered attempt to its response. The admission lies
/// somewhere in between.
struct Span {
  Instant sent{};
  Instant received{};
};

/// Largest number of spans that lie wholly in one window of length W, less
/// rate × W + burst; 0 if no window holds more. A positive result proves that
/// more was admitted than rate and burst allow.
double WindowExcess(std::vector<Span> spans, double rate, double burst);

/// Value at a fraction (0 to 1) of sorted values; 0 if there are none.
double Quantile(const std::vector<double>& sorted, double fraction);

/// What a load run counted.
struct LoadCounts {
  using ByName = std::map<std::string, std::uint64_t>;

  struct Organisation {
    std::uint64_t offered = 0;
    std::uint64_t ok = 0;
    ByName results;         ///< Final results of requests: "ok" or a reason.
    double limit_rate = 0;  ///< 0: no limit to compare with.
    double limit_burst = 0;
    std::vector<Span> spans;  ///< Of requests that succeeded.
  };
  struct Route {
    std::uint64_t offered = 0;
    std::uint64_t ok = 0;
    std::uint64_t unknown = 0;  ///< Ended with outcome unknown.
  };
  struct Daemon {
    std::uint64_t attempts = 0;
    std::uint64_t ok = 0;
    ByName failures;
  };

  /// A finished request, to be compared with what the targets ran.
  struct Record {
    std::string request;  ///< "METHOD PATH ID" as a target records it.
    std::string id;       ///< The caller's request id, part of onward ids.
    std::uint64_t attempts = 0;  ///< Sent, whether answered or not.
    std::uint64_t not_run = 0;   ///< Answered with outcome "not-run".
  };

  /// When a request began and ended, by the monotonic clock that all processes
  /// of the machine share.
  struct Lifetime {
    Instant begun{};
    Instant ended{};
    std::string organisation;
    bool ok = false;
  };

  std::vector<Record> records;
  std::vector<Lifetime> lifetimes;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t incomplete = 0;  ///< Successful without the request's id.
  ByName statuses;               ///< Of attempts.
  ByName reasons;
  ByName failures;
  std::map<std::string, Organisation> organisations;
  std::map<std::string, Route> routes;
  std::map<std::string, Daemon> daemons;
  std::vector<double> latencies_ms;  ///< Of requests that succeeded.
};

nlohmann::json LoadReport(LoadCounts counts, double elapsed_s);

/// One expectation on a report: a JSON pointer, an operator (<=, >=, =, <, >)
/// and a number.
struct Expectation {
  std::string pointer;
  std::string comparison;
  double number = 0;

  static std::optional<Expectation> Parse(const std::string& text);
  /// An absent member counts as 0 if its parent is there: counters appear when
  /// they are first counted.
  bool Holds(const nlohmann::json& report) const;
};

}  // namespace lentilcross
