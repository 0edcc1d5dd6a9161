#include "load_run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <random>

#include "http_client.h"

namespace lentilcross {
namespace {

using Clock = std::chrono::steady_clock;

// A caller avoids a daemon that refused a connection for this long, as a client
// with a list of addresses does.
constexpr std::chrono::milliseconds kAvoidUnreachable(500);

struct Caller {
  std::string address;
  std::unique_ptr<web::HttpClient> client;
  Instant avoid_until{};
};

// One whole request with all its attempts.
struct LoadRequest {
  const LoadOrganisation* organisation = nullptr;
  const LoadRoute* route = nullptr;
  std::string id;
  std::string ticket;
  Instant started{};
  int retries_left = 0;
  std::uint64_t sent = 0;       // Attempts of which a byte may have been sent.
  std::uint64_t not_run = 0;    // Attempts answered as not run.
  std::size_t unreachable = 0;  // Attempts that found no connection.
};
using RequestPtr = std::shared_ptr<LoadRequest>;

std::string ReasonOf(const web::HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("reason")) return "";
  const auto& reason = body["reason"];
  return reason.is_string() ? reason.get<std::string>() : "";
}

bool IsProvenNotRun(const web::HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() && body.value("outcome", "") == "not-run";
}

class LoadRun {
 public:
  explicit LoadRun(const LoadPlan& plan) : plan_(plan), random_(plan.seed) {
    for (const std::string& address : plan.callers) {
      callers_.push_back({address, web::HttpClient::Create(context_, address)});
      counts_.daemons[address];
    }
    for (const LoadRoute& route : plan.routes) {
      weights_.push_back(route.weight);
      counts_.routes[RouteName(route)];
    }
  }

  LoadCounts Run(double* elapsed_s) {
    const Instant start = Clock::now();
    end_ = start + plan_.duration;
    for (const LoadOrganisation& organisation : plan_.organisations) {
      auto& counts = counts_.organisations[organisation.name];
      counts.limit_rate = organisation.limit_rate;
      counts.limit_burst = organisation.limit_burst;
      const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
      ScheduleNext(organisation, timer, start);
    }
    EndOnSignal();
    context_.run();
    *elapsed_s = std::chrono::duration<double>(Clock::now() - start).count();
    return std::move(counts_);
  }

 private:
  // SIGTERM ends the arrivals early. Requests in progress get their answers.
  void EndOnSignal() {
    signals_.async_wait([this](auto code, int) {
      if (!code) end_ = Clock::now();
      end_timer_.cancel();
    });
    end_timer_.expires_at(end_);
    end_timer_.async_wait([this](auto) { signals_.cancel(); });
  }

  using Timer = std::shared_ptr<boost::asio::steady_timer>;

  static std::string RouteName(const LoadRoute& route) {
    return route.method + " " + route.path;
  }

  // Poisson arrivals.
  void ScheduleNext(const LoadOrganisation& organisation, const Timer& timer,
                    Instant previous) {
    if (organisation.rate <= 0) return;
    const std::chrono::duration<double> gap(
        std::exponential_distribution<>(organisation.rate)(random_));
    const Instant next = previous + std::chrono::duration_cast<Duration>(gap);
    if (next >= end_) return;
    timer->expires_at(next);
    timer->async_wait([this, &organisation, timer, next](auto code) {
      if (code || next >= end_) return;
      Begin(organisation);
      ScheduleNext(organisation, timer, next);
    });
  }

  void Begin(const LoadOrganisation& organisation) {
    const auto index = std::discrete_distribution<std::size_t>(
        weights_.begin(), weights_.end())(random_);
    const auto request = std::make_shared<LoadRequest>();
    request->organisation = &organisation;
    request->route = &plan_.routes[index];
    request->id = organisation.name + "." + std::to_string(plan_.seed) + "." +
                  std::to_string(++last_id_) + ".";
    request->started = Clock::now();
    request->retries_left = plan_.retries;
    ++counts_.organisations[organisation.name].offered;
    ++counts_.routes[RouteName(*request->route)].offered;
    Attempt(request, Choose());
  }

  Caller& Choose() {
    const Instant now = Clock::now();
    std::vector<Caller*> usable;
    for (Caller& caller : callers_) {
      if (caller.avoid_until <= now) usable.push_back(&caller);
    }
    if (usable.empty()) {
      for (Caller& caller : callers_) usable.push_back(&caller);
    }
    return *usable[random_() % usable.size()];
  }

  void Attempt(const RequestPtr& request, Caller& caller) {
    ++counts_.attempts;
    ++counts_.daemons[caller.address].attempts;
    ++request->sent;
    const Instant sent = Clock::now();
    caller.client->Send(
        Message(*request), plan_.timeout,
        [this, request, &caller, sent](const web::HttpResult& result) {
          if (result.failure != web::HttpFailure::kNone) {
            return OnFailure(request, caller, result.failure);
          }
          OnResponse(request, caller, sent, result.response);
        });
  }

  web::HttpRequest Message(const LoadRequest& request) const {
    web::HttpRequest message;
    message.method = request.route->method;
    message.target = request.route->path + "?request=" + request.id;
    message.headers = {
        {"Request-Timeout-Ms", std::to_string(plan_.timeout.count())}};
    if (!request.organisation->key.empty()) {
      message.headers.emplace_back("X-Api-Key", request.organisation->key);
    }
    if (!request.ticket.empty()) {
      message.headers.emplace_back("Idempotency-Key", request.ticket);
    }
    return message;
  }

  void OnFailure(const RequestPtr& request, Caller& caller,
                 web::HttpFailure failure) {
    const std::string name(web::ToString(failure));
    ++counts_.failures[name];
    ++counts_.daemons[caller.address].failures[name];
    if (failure == web::HttpFailure::kConnect) {
      --request->sent;
      caller.avoid_until = Clock::now() + kAvoidUnreachable;
      // Nothing was sent, so that another daemon may be asked at once.
      if (++request->unreachable < callers_.size()) {
        return Attempt(request, Choose());
      }
    }
    RetryOrEnd(request, name, failure != web::HttpFailure::kConnect);
  }

  void OnResponse(const RequestPtr& request, Caller& caller, Instant sent,
                  const web::HttpResponse& response) {
    ++counts_.statuses[std::to_string(response.status)];
    if (response.status >= 200 && response.status < 300) {
      return Succeed(request, caller, sent, response);
    }
    if (IsProvenNotRun(response)) ++request->not_run;
    std::string reason = ReasonOf(response);
    if (reason.empty()) reason = "status-" + std::to_string(response.status);
    ++counts_.reasons[reason];
    const std::string_view ticket = response.header("Idempotency-Key");
    if (reason == "ticket-required" && request->route->ticket &&
        request->ticket.empty() && !ticket.empty()) {
      request->ticket = ticket;
      return Attempt(request, caller);
    }
    RetryOrEnd(request, reason, !IsProvenNotRun(response));
  }

  void Record(const LoadRequest& request) {
    const std::string& key =
        request.ticket.empty() ? request.id : request.ticket;
    counts_.records.push_back({RouteName(*request.route) + " " + key,
                               request.id, request.sent, request.not_run});
  }

  void RecordEnd(const LoadRequest& request, bool ok) {
    Record(request);
    counts_.lifetimes.push_back(
        {request.started, Clock::now(), request.organisation->name, ok});
  }

  void Succeed(const RequestPtr& request, Caller& caller, Instant sent,
               const web::HttpResponse& response) {
    RecordEnd(*request, true);
    const Instant now = Clock::now();
    if (plan_.expect_echo &&
        response.body.find(request->id) == std::string::npos) {
      ++counts_.incomplete;
    }
    counts_.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(now - request->started)
            .count());
    ++counts_.daemons[caller.address].ok;
    ++counts_.routes[RouteName(*request->route)].ok;
    auto& organisation = counts_.organisations[request->organisation->name];
    ++organisation.ok;
    ++organisation.results["ok"];
    organisation.spans.push_back({sent, now});
  }

  // The same ticket goes with each retry, so that a request with an unknown
  // outcome may be sent again as well.
  void RetryOrEnd(const RequestPtr& request, const std::string& result,
                  bool unknown) {
    if (request->retries_left > 0) {
      --request->retries_left;
      ++counts_.retries;
      const auto timer = std::make_shared<boost::asio::steady_timer>(
          context_, plan_.retry_delay);
      timer->async_wait([this, request, timer](auto code) {
        if (!code) Attempt(request, Choose());
      });
      return;
    }
    RecordEnd(*request, false);
    ++counts_.organisations[request->organisation->name].results[result];
    if (unknown) ++counts_.routes[RouteName(*request->route)].unknown;
  }

  const LoadPlan& plan_;
  std::mt19937_64 random_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_{context_, SIGTERM};
  boost::asio::steady_timer end_timer_{context_};
  std::vector<Caller> callers_;
  std::vector<double> weights_;
  Instant end_{};
  std::uint64_t last_id_ = 0;
  LoadCounts counts_;
};

}  // namespace

LoadCounts RunLoad(const LoadPlan& plan, double* elapsed_s) {
  return LoadRun(plan).Run(elapsed_s);
}

}  // namespace lentilcross
