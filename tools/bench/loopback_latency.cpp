// Latency that daemons add to a call on loopback, against the same call
// straight to the target: through one daemon, and through two daemons and a
// peer link. With a number of calls in flight all the time, and at fixed rates.
// Prints one JSON object per line.

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <random>

#include "daemon/fleet.h"

namespace {

using lentilcross::Endpoint;
using lentilcross::testing::AnswerWith;
using lentilcross::testing::FakeServer;
using lentilcross::testing::FakeTarget;
using lentilcross::testing::Fleet;
using lentilcross::testing::Json;
using lentilcross::testing::ToText;
namespace web = lentilcross::web;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

// The mean work of the targets of lentilcross_bench. It keeps the number of
// calls in flight from being a test of the largest throughput.
constexpr std::chrono::milliseconds kWork{20};
// Connections are opened and the slow start of the limits passes.
constexpr std::chrono::milliseconds kWarmUp{700};
constexpr std::chrono::milliseconds kMeasured{2000};
constexpr std::chrono::seconds kTimeout{5};

/// How calls are made: a number in flight all the time, or Poisson arrivals.
struct Load {
  std::string name;
  std::string kind;  ///< Of the target: first part of its paths.
  int in_flight = 0;
  double rate = 0;
};

struct Times {
  std::vector<double> sorted_ms;
  int failed = 0;
};

/// Makes calls to one path and keeps the times of those that began after the
/// warm-up.
class Caller {
 public:
  Caller(const Endpoint& endpoint, std::string path, Load load)
      : path_(std::move(path)),
        load_(std::move(load)),
        client_(web::HttpClient::Create(io_, ToText(endpoint))) {}

  Times Run() {
    start_ = Clock::now();
    for (int i = 0; i < load_.in_flight; ++i) StartStaggered(i);
    if (load_.rate > 0) ScheduleArrival(start_);
    io_.run();
    std::sort(times_.sorted_ms.begin(), times_.sorted_ms.end());
    return std::move(times_);
  }

 private:
  bool ended() const { return Clock::now() >= start_ + kWarmUp + kMeasured; }

  // Calls that start together would stay together, as one burst after another.
  void StartStaggered(int index) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_at(start_ +
                      index * Clock::duration(kWork) / load_.in_flight);
    timer->async_wait([this, timer](auto) { Call(); });
  }

  void Call() {
    const auto sent = Clock::now();
    web::HttpRequest request;
    request.target = path_;
    client_->Send(
        std::move(request), kTimeout,
        [this, sent](const web::HttpResult& result) { OnEnd(sent, result); });
  }

  void OnEnd(Clock::time_point sent, const web::HttpResult& result) {
    if (sent >= start_ + kWarmUp) {
      const bool ok = result.failure == web::HttpFailure::kNone &&
                      result.response.status == 200;
      if (ok) {
        times_.sorted_ms.push_back(Milliseconds(Clock::now() - sent).count());
      } else {
        ++times_.failed;
      }
    }
    if (load_.in_flight > 0 && !ended()) Call();
  }

  // A late timer does not delay the arrivals that follow.
  void ScheduleArrival(Clock::time_point previous) {
    const std::chrono::duration<double> gap(
        std::exponential_distribution<>(load_.rate)(random_));
    const auto next =
        previous + std::chrono::duration_cast<Clock::duration>(gap);
    timer_.expires_at(next);
    timer_.async_wait([this, next](auto) {
      if (ended()) return;
      Call();
      ScheduleArrival(next);
    });
  }

  boost::asio::io_context io_;
  std::string path_;
  Load load_;
  std::unique_ptr<web::HttpClient> client_;
  boost::asio::steady_timer timer_{io_};
  std::mt19937_64 random_{1};
  Clock::time_point start_{};
  Times times_;
};

double Quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(
      q * static_cast<double>(sorted.size() - 1))];
}

void Print(const std::string& scenario, const std::string& measure,
           double value, const std::string& unit) {
  // The number of slots is no part of these measurements.
  const Json line = {{"measure", measure},
                     {"deployment", "cedarhoop"},
                     {"scenario", scenario},
                     {"policy", "lentilcross"},
                     {"seed", 1},
                     {"value", value},
                     {"unit", unit}};
  std::cout << line << std::endl;
}

FakeTarget::Handler AnswerAfterWork() {
  return [](FakeTarget& target, const FakeServer::Exchange& exchange) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        target.server().io(), kWork);
    timer->async_wait([timer, exchange](auto code) {
      if (!code) exchange->Reply(web::MakeResponse(200, "text/plain", "x"));
    });
  };
}

void Compare(Fleet& fleet, const Load& load) {
  const Endpoint entry = fleet.at("entry").daemon().caller();
  const Endpoint target =
      fleet.target(load.kind + "-far-1").server().endpoint();
  const auto direct = Caller(target, "/" + load.kind + "-far", load).Run();
  for (const bool two : {false, true}) {
    const std::string path = "/" + load.kind + (two ? "-far" : "-near");
    const auto times = Caller(entry, path, load).Run();
    const std::string scenario =
        "latency-" + load.name + (two ? "-two-daemons" : "-one-daemon");
    for (const auto& [name, q] : {std::pair("p50", 0.5), {"p99", 0.99}}) {
      Print(scenario, std::string("added_") + name,
            Quantile(times.sorted_ms, q) - Quantile(direct.sorted_ms, q), "ms");
    }
    Print(scenario, "direct_p99", Quantile(direct.sorted_ms, 0.99), "ms");
    Print(scenario, "calls",
          static_cast<double>(times.sorted_ms.size()) * 1000 /
              static_cast<double>(kMeasured.count()),
          "calls/s");
    Print(scenario, "failed", times.failed + direct.failed, "calls");
  }
}

}  // namespace

int main() {
  Fleet fleet;
  fleet.AddHost("entry", "domain-1",
                {{"quick-near-1", "quick-near", AnswerWith("x")},
                 {"work-near-1", "work-near", AnswerAfterWork()}});
  fleet.AddHost("back", "domain-1",
                {{"quick-far-1", "quick-far", AnswerWith("x")},
                 {"work-far-1", "work-far", AnswerAfterWork()}});
  for (const char* name :
       {"quick-near", "work-near", "quick-far", "work-far"}) {
    fleet.AddRoute("/" + std::string(name), name);
  }
  fleet.Start();
  double average = 0;
  std::ifstream("/proc/loadavg") >> average;
  Print("latency", "load_average", average, "runnable threads, 1 min");
  for (const int in_flight : {1, 8, 32}) {
    Compare(fleet,
            {"in-flight-" + std::to_string(in_flight), "work", in_flight, 0});
  }
  for (const int rate : {500, 2000}) {
    Compare(fleet, {"rate-" + std::to_string(rate), "quick", 0,
                    static_cast<double>(rate)});
  }
  return 0;
}
