#include "runner.h"

#include <fstream>
#include <sstream>
#include <thread>

#include "http_client.h"

namespace lentilcross::scenario {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCallTimeout(1500);
constexpr std::chrono::milliseconds kPollInterval(20);
constexpr const char* kLoadLimit = "25s";

Json Parse(const std::optional<std::string>& text) {
  return text ? Json::parse(*text, nullptr, false) : Json();
}

}  // namespace

std::optional<std::string> Fetch(const std::string& address,
                                 const std::string& path) {
  web::HttpRequest request;
  request.target = path;
  const auto result = web::HttpCall(address, request, kCallTimeout);
  if (result.failure != web::HttpFailure::kNone) return std::nullopt;
  if (result.response.status != 200) return std::nullopt;
  return result.response.body;
}

bool Post(const std::string& address, const std::string& path,
          const std::string& body) {
  web::HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.body = body;
  const auto result = web::HttpCall(address, request, kCallTimeout);
  return result.failure == web::HttpFailure::kNone &&
         result.response.status == 200;
}

double Metric(const std::string& text, const std::string& name) {
  double sum = 0;
  const std::string start = "\nlentilcross_" + name;
  for (std::size_t at = text.find(start); at != std::string::npos;
       at = text.find(start, at + 1)) {
    const std::size_t end = text.find('\n', at + 1);
    const std::string line = text.substr(at + 1, end - at - 1);
    const char next = line[start.size() - 1];
    if (next != ' ' && next != '{') continue;
    sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
  return sum;
}

void Runner::StartDaemon(const Host& host) {
  const std::string path = work + "/" + host.name + ".json";
  std::ofstream(path) << fleet.Settings(host).dump(2);
  daemons[host.name] = Child({lentilcross, "daemon", "--settings", path},
                             work + "/daemon-" + host.name);
  paused[host.name] = false;
  started[host.name] = Clock::now();
  expected[host.name] = true;
  statuses.erase(host.name);
}

bool Runner::IsRunning(const std::string& host) {
  const auto it = daemons.find(host);
  return it != daemons.end() && it->second.running();
}

void Runner::ObserveVersions() {
  for (const Host& host : fleet.hosts) {
    if (!IsRunning(host.name) || paused[host.name]) continue;
    const Json status =
        Parse(Fetch(fleet.Address(host, Port::kOperator), "/status"));
    if (!status.is_object()) continue;
    statuses[host.name] = status;
    const int version = status.value("version", 0);
    int& highest = versions[host.name];
    if (status.value("ready", false) && version < highest) {
      regressions.push_back(host.name + " went from " +
                            std::to_string(highest) + " to " +
                            std::to_string(version));
    }
    highest = std::max(highest, version);
  }
}

Failure Runner::WaitUntil(const std::string& duration, const std::string& what,
                          const std::function<bool()>& condition) {
  const auto limit =
      Clock::now() + std::chrono::milliseconds(Milliseconds(duration));
  for (;;) {
    // An observation counts from its start: a slow answer on a busy machine
    // does not show that the condition held late.
    const auto observed = Clock::now();
    ObserveVersions();
    if (condition()) return "";
    if (observed > limit) return "not within " + duration + ": " + what;
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::vector<const Host*> Runner::MemberHosts() {
  std::vector<const Host*> members;
  for (const Host& host : fleet.hosts) {
    if (host.outsider || paused[host.name]) continue;
    if (expected[host.name]) members.push_back(&host);
  }
  return members;
}

web::HttpResponse Runner::ProbeAnswer(const Host& host,
                                      const std::string& organisation) const {
  web::HttpRequest request;
  request.target = fleet.LookupRoute();
  request.headers = {{"X-Api-Key", fleet.organisations.at(organisation).key}};
  const auto result =
      web::HttpCall(fleet.Address(host, Port::kCaller), request, kCallTimeout);
  if (result.failure == web::HttpFailure::kNone) return result.response;
  web::HttpResponse none;
  none.status = 0;
  none.body = "no answer";
  return none;
}

int Runner::Probe(const Host& host, const std::string& organisation) const {
  return ProbeAnswer(host, organisation).status;
}

Json Runner::Counters(const Host& host) const {
  return Parse(Fetch(fleet.Address(host, Port::kTargetControl), "/counters"));
}

std::uint64_t Runner::Executions() const {
  std::uint64_t sum = 0;
  for (const Host& host : fleet.hosts) {
    const Json counters = Counters(host);
    if (counters.is_object()) {
      sum += counters.value("executions", std::uint64_t{0});
    }
  }
  return sum;
}

std::map<std::string, std::uint64_t> Runner::CountsByRequest(
    const std::string& path) const {
  std::map<std::string, std::uint64_t> executions;
  for (const Host& host : fleet.hosts) {
    const auto body = Fetch(fleet.Address(host, Port::kTargetControl), path);
    std::istringstream lines(body.value_or(""));
    for (std::string line; std::getline(lines, line);) {
      const std::size_t space = line.rfind(' ');
      executions[line.substr(0, space)] +=
          std::strtoull(line.c_str() + space, nullptr, 10);
    }
  }
  return executions;
}

std::vector<Record> Runner::Records() {
  std::vector<Record> records;
  for (const auto& [name, load] : loads) {
    std::ifstream file(load.records_path);
    for (Record record; file >> record.attempts >> record.not_run >> record.id;
         records.push_back(record)) {
      std::getline(file >> std::ws, record.request);
    }
  }
  return records;
}

Failure Runner::WaitForLoads() {
  for (auto& [name, load] : loads) {
    if (load.report) continue;
    auto& process = load.process;
    Failure failure = WaitUntil(kLoadLimit, "end of load " + name, [&] {
      return process.exit_status().has_value();
    });
    if (!failure.empty()) return failure;
    std::ifstream file(load.report_path);
    load.report = Json::parse(file, nullptr, false);
    if (!load.report->is_object()) return "load " + name + " has no report";
  }
  return "";
}

}  // namespace lentilcross::scenario
