// Stand-in for a target: an HTTP/1.1 service with slots, a service time
// distribution, a cold start, draining, a health endpoint that can mislead, and
// onward calls through the daemon of its host. It records every execution.

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <vector>

#include "http_client.h"
#include "standin.h"

namespace lentilcross::standin {
namespace {

using Clock = std::chrono::steady_clock;
using web::HttpClient;
using web::HttpResult;
using web::MakeResponse;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::size_t kMaxRecordedIds = 1'000'000;
constexpr int kDefaultTimeoutMs = 10'000;

struct OnwardCall {
  std::string method;
  std::string path;
};

struct Behaviour {
  std::size_t slots = 8;
  std::size_t queue = 64;  // Requests beyond it are answered with 503.
  double service_ms = 5;
  bool exponential = false;
  int phases = 1;      // Of an exponential service time; more vary less.
  double cold_ms = 0;  // Service is `cold_factor` slower this long after start.
  double cold_factor = 4;
  bool draining = false;
  bool silent = false;  // Executes requests but never answers.
  bool misleading_health = false;
  std::size_t body_bytes = 256;
  std::vector<OnwardCall> onward;

  void Change(const nlohmann::json& change) {
    slots = change.value("slots", slots);
    queue = change.value("queue", queue);
    service_ms = change.value("service_ms", service_ms);
    exponential = change.value("exponential", exponential);
    phases = std::max(change.value("phases", phases), 1);
    cold_ms = change.value("cold_ms", cold_ms);
    cold_factor = change.value("cold_factor", cold_factor);
    draining = change.value("draining", draining);
    silent = change.value("silent", silent);
    misleading_health = change.value("misleading_health", misleading_health);
    body_bytes = change.value("body_bytes", body_bytes);
    if (!change.contains("onward")) return;
    onward.clear();
    for (const auto& call : change["onward"]) {
      onward.push_back({call.value("method", "GET"), call.at("path")});
    }
  }
};

struct Counters {
  std::uint64_t requests = 0;
  std::uint64_t executions = 0;
  std::uint64_t answered = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t cancelled_waiting = 0;
  std::uint64_t cancelled_running = 0;
  std::uint64_t expired = 0;
  std::uint64_t onward_calls = 0;
  std::uint64_t onward_failures = 0;
  std::uint64_t keys_seen = 0;  // Requests that carried X-Api-Key.
  std::uint64_t missing_context = 0;
  std::uint64_t double_runs = 0;
  std::size_t most_running = 0;
};

// One request in a slot or waiting for one.
struct Work {
  Work(boost::asio::io_context& context, std::shared_ptr<HttpExchange> from)
      : exchange(std::move(from)), timer(context) {}

  std::shared_ptr<HttpExchange> exchange;
  boost::asio::steady_timer timer;
  Clock::time_point deadline;
  std::size_t next_onward = 0;
  HttpClient::Cancel cancel_onward;
  bool running = false;
  bool ended = false;
};
using WorkPtr = std::shared_ptr<Work>;

class Target {
 public:
  Target(boost::asio::io_context& context, std::string name,
         const std::string& onward, std::uint64_t seed)
      : context_(context), name_(std::move(name)), random_(seed) {
    if (!onward.empty()) onward_ = HttpClient::Create(context, onward);
  }

  void Change(const nlohmann::json& change) {
    behaviour_.Change(change);
    FillSlots();
  }

  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    if (exchange->request().path() == "/health") return Health(*exchange);
    ++counters_.requests;
    Count(exchange->request(), calls_);
    Inspect(exchange->request());
    if (behaviour_.draining) {
      ++counters_.refused_draining;
      return RefuseDraining(*exchange);
    }
    if (running_ >= behaviour_.slots && waiting_.size() >= behaviour_.queue) {
      ++counters_.shed;
      return Refuse(*exchange, "overloaded");
    }
    const auto work = std::make_shared<Work>(context_, exchange);
    work->deadline = Clock::now() + TimeoutOf(exchange->request());
    exchange->on_closed = [this, work] { Cancel(work); };
    waiting_.push_back(work);
    FillSlots();
  }

  bool Control(HttpExchange& exchange) const {
    const std::string_view path = exchange.request().path();
    if (path != "/executions" && path != "/calls") return false;
    std::string lines;
    for (const auto& [id, count] : path == "/calls" ? calls_ : executions_) {
      lines += id + " " + std::to_string(count) + "\n";
    }
    exchange.Reply(MakeResponse(200, "text/plain", std::move(lines)));
    return true;
  }

  nlohmann::json ReadCounters() const {
    const Counters& c = counters_;
    return {{"requests", c.requests},
            {"executions", c.executions},
            {"answered", c.answered},
            {"shed", c.shed},
            {"refused_draining", c.refused_draining},
            {"cancelled_waiting", c.cancelled_waiting},
            {"cancelled_running", c.cancelled_running},
            {"expired", c.expired},
            {"onward_calls", c.onward_calls},
            {"onward_failures", c.onward_failures},
            {"keys_seen", c.keys_seen},
            {"missing_context", c.missing_context},
            {"double_runs", c.double_runs},
            {"running", running_},
            {"most_running", c.most_running}};
  }

 private:
  static std::chrono::milliseconds TimeoutOf(const HttpRequest& request) {
    const std::string text(request.header("Request-Timeout-Ms"));
    const int value = std::atoi(text.c_str());
    return std::chrono::milliseconds(value > 0 ? value : kDefaultTimeoutMs);
  }

  static void Refuse(HttpExchange& exchange, const char* why) {
    exchange.Reply(JsonResponse(503, {{"error", why}}));
  }

  static void RefuseDraining(HttpExchange& exchange) {
    HttpResponse response = JsonResponse(503, {{"error", "draining"}});
    response.headers.emplace_back("Lentilcross-Target-State", "draining");
    exchange.Reply(std::move(response));
  }

  void Health(HttpExchange& exchange) const {
    const bool good = !behaviour_.draining && !behaviour_.silent &&
                      running_ < behaviour_.slots;
    const bool told = behaviour_.misleading_health || good;
    const std::size_t load = behaviour_.misleading_health ? 0 : running_;
    exchange.Reply(JsonResponse(told ? 200 : 503, {{"load", load}}));
  }

  void Inspect(const HttpRequest& request) {
    if (!request.header("X-Api-Key").empty()) ++counters_.keys_seen;
    if (request.header("Lentilcross-Context").empty()) {
      ++counters_.missing_context;
    }
  }

  void FillSlots() {
    while (running_ < behaviour_.slots && !waiting_.empty()) {
      const WorkPtr work = waiting_.front();
      waiting_.pop_front();
      if (Clock::now() >= work->deadline) {
        ++counters_.expired;
        work->ended = true;
        work->exchange->on_closed = nullptr;
        Refuse(*work->exchange, "deadline");
        continue;
      }
      Execute(work);
    }
  }

  void Execute(const WorkPtr& work) {
    work->running = true;
    counters_.most_running = std::max(counters_.most_running, ++running_);
    ++counters_.executions;
    Record(work->exchange->request());
    work->timer.expires_after(
        std::chrono::duration_cast<Clock::duration>(ServiceTime()));
    work->timer.async_wait([this, work](auto code) {
      if (!code && !work->ended) Onward(work);
    });
  }

  // Identifies a request by the idempotency key, else by the caller's request
  // id. The id is the last word, so that lines of several targets can be
  // compared.
  static int Count(const HttpRequest& request,
                   std::map<std::string, int>& counts) {
    std::string id(request.header("Idempotency-Key"));
    if (id.empty()) id = request.query("request");
    if (id.empty() || counts.size() >= kMaxRecordedIds) return 0;
    return ++counts[request.method + " " + std::string(request.path()) + " " +
                    id];
  }

  void Record(const HttpRequest& request) {
    const int count = Count(request, executions_);
    if (count > 1 && request.method != "GET") ++counters_.double_runs;
  }

  Milliseconds ServiceTime() {
    double time = behaviour_.service_ms;
    if (behaviour_.exponential && time > 0) {
      time = std::gamma_distribution<>(behaviour_.phases,
                                       time / behaviour_.phases)(random_);
    }
    const Milliseconds age = Clock::now() - started_;
    if (age.count() < behaviour_.cold_ms) time *= behaviour_.cold_factor;
    return Milliseconds(time);
  }

  void Onward(const WorkPtr& work) {
    if (onward_ == nullptr || work->next_onward >= behaviour_.onward.size()) {
      return Answer(work);
    }
    const std::size_t index = work->next_onward++;
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(work->deadline -
                                                              Clock::now());
    if (remaining.count() <= 0) return Fail(work, "deadline");
    ++counters_.onward_calls;
    work->cancel_onward = onward_->Send(
        OnwardRequest(*work, index, remaining), remaining,
        [this, work](const HttpResult& result) {
          if (work->ended) return;
          const int status = result.response.status;
          if (result.failure == web::HttpFailure::kNone && status < 300) {
            return Onward(work);
          }
          ++counters_.onward_failures;
          Fail(work, "onward call failed");
        });
  }

  HttpRequest OnwardRequest(const Work& work, std::size_t index,
                            std::chrono::milliseconds remaining) const {
    const HttpRequest& from = work.exchange->request();
    const auto& [method, path] = behaviour_.onward[index];
    const std::string id =
        std::string(from.query("request")) + "-" + std::to_string(index);
    HttpRequest request;
    request.method = method;
    request.target = path + "?request=" + id;
    request.headers = {
        {"Lentilcross-Context",
         std::string(from.header("Lentilcross-Context"))},
        {"Request-Timeout-Ms", std::to_string(remaining.count())}};
    if (method != "GET") request.headers.emplace_back("Idempotency-Key", id);
    return request;
  }

  void Fail(const WorkPtr& work, const char* why) {
    End(work);
    Refuse(*work->exchange, why);
  }

  void Answer(const WorkPtr& work) {
    End(work);
    if (behaviour_.silent) {
      silenced_.push_back(work->exchange);
      return;
    }
    ++counters_.answered;
    // The request id comes last, so that a truncated body lacks it.
    work->exchange->Reply(JsonResponse(
        200, {{"a_target", name_},
              {"padding", std::string(behaviour_.body_bytes, '.')},
              {"request", std::string(work->exchange->request().target)}}));
  }

  void End(const WorkPtr& work) {
    work->ended = true;
    work->exchange->on_closed = nullptr;
    work->timer.cancel();
    --running_;
    FillSlots();
  }

  void Cancel(const WorkPtr& work) {
    if (work->ended) return;
    if (!work->running) {
      ++counters_.cancelled_waiting;
      work->ended = true;
      waiting_.erase(std::find(waiting_.begin(), waiting_.end(), work));
      return;
    }
    ++counters_.cancelled_running;
    if (work->cancel_onward) work->cancel_onward();
    End(work);
  }

  boost::asio::io_context& context_;
  std::string name_;
  std::mt19937_64 random_;
  Behaviour behaviour_;
  Counters counters_;
  Clock::time_point started_ = Clock::now();
  std::unique_ptr<HttpClient> onward_;
  std::deque<WorkPtr> waiting_;
  std::vector<std::shared_ptr<HttpExchange>> silenced_;
  std::size_t running_ = 0;
  std::map<std::string, int> calls_;  // Refused ones included.
  std::map<std::string, int> executions_;
};

}  // namespace
}  // namespace lentilcross::standin

int main(int argc, char** argv) {
  using namespace lentilcross::standin;  // NOLINT(google-build-using-namespace)
  const Options options(
      argc, argv,
      "standin_target --name NAME --listen IP:PORT --control IP:PORT "
      "[--onward IP:PORT] [--seed N] [--behaviour JSON]");
  boost::asio::io_context context;
  Target target(context, options.required("name"), options.value("onward", ""),
                std::strtoull(options.value("seed", "1").c_str(), nullptr, 10));
  try {
    target.Change(nlohmann::json::parse(options.value("behaviour", "{}")));
  } catch (const nlohmann::json::exception& error) {
    std::cerr << "--behaviour: " << error.what() << "\n";
    return 2;
  }
  Serve(context, options, target);
}
