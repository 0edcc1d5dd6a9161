#include <fstream>
#include <iostream>
#include <sstream>

#include "command.h"
#include "load_run.h"
#include "settings.h"
#include "tcp_endpoint.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;
using Strings = std::vector<std::string>;

constexpr const char* kExample =
    "lentilcross load --caller 127.0.0.1:7101,127.0.0.1:7201 \\\n"
    "    --keys keys.json --organisation coopers:50:200:100 \\\n"
    "    --route GET:/stock:9 --route POST:/deposits:1:ticket \\\n"
    "    --duration-ms 5000 --seed 7 --echo \\\n"
    "    --expect '/incomplete=0' --expect '/organisations/coopers/ok>=200'";

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ':');) {
    parts.push_back(part);
  }
  return parts;
}

bool ParseNumber(const std::string& text, double* out) {
  char* end = nullptr;
  *out = std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0' && *out >= 0;
}

// NAME:RATE or NAME:RATE:LIMIT_RATE:LIMIT_BURST.
bool ParseOrganisation(const std::string& text, const Json& keys,
                       LoadOrganisation* out) {
  const auto parts = Split(text);
  if (parts.size() != 2 && parts.size() != 4) return false;
  out->name = parts[0];
  if (keys.contains(out->name) && keys[out->name].is_string()) {
    out->key = keys[out->name];
  }
  if (!ParseNumber(parts[1], &out->rate)) return false;
  if (parts.size() == 2) return true;
  return ParseNumber(parts[2], &out->limit_rate) &&
         ParseNumber(parts[3], &out->limit_burst);
}

// METHOD:PATH:WEIGHT or METHOD:PATH:WEIGHT:ticket.
bool ParseRoute(const std::string& text, LoadRoute* out) {
  const auto parts = Split(text);
  if (parts.size() != 3 && parts.size() != 4) return false;
  out->method = parts[0];
  out->path = parts[1];
  if (out->path.empty() || out->path.front() != '/') return false;
  if (!ParseNumber(parts[2], &out->weight) || out->weight == 0) return false;
  if (parts.size() == 4 && parts[3] != "ticket") return false;
  out->ticket = parts.size() == 4;
  return true;
}

// Keys come from a file, so that they do not show up in a process list.
bool ReadKeys(const cxxopts::ParseResult& arguments, Json* keys) {
  *keys = Json::object();
  if (arguments.count("keys") == 0) return true;
  Findings findings;
  const std::string text =
      ReadFile(arguments["keys"].as<std::string>(), findings);
  *keys = Json::parse(text, nullptr, false, true);
  return findings.empty() && keys->is_object();
}

Strings Values(const cxxopts::ParseResult& arguments, const char* name) {
  return arguments.count(name) > 0 ? arguments[name].as<Strings>() : Strings();
}

// Returns the first unusable option; empty if the plan is complete.
std::string ReadPlan(const cxxopts::ParseResult& arguments, LoadPlan* plan) {
  Json keys;
  if (!ReadKeys(arguments, &keys)) return "--keys: not a JSON object";
  plan->callers = Values(arguments, "caller");
  for (const std::string& address : plan->callers) {
    if (!web::ParseTcpEndpoint(address)) return "--caller: " + address;
  }
  for (const std::string& text : Values(arguments, "organisation")) {
    LoadOrganisation organisation;
    if (!ParseOrganisation(text, keys, &organisation)) {
      return "--organisation: " + text;
    }
    plan->organisations.push_back(organisation);
  }
  for (const std::string& text : Values(arguments, "route")) {
    LoadRoute route;
    if (!ParseRoute(text, &route)) return "--route: " + text;
    plan->routes.push_back(route);
  }
  if (plan->callers.empty()) return "load needs --caller";
  if (plan->organisations.empty()) return "load needs --organisation";
  if (plan->routes.empty()) return "load needs --route";
  using std::chrono::milliseconds;
  plan->duration = milliseconds(arguments["duration-ms"].as<unsigned>());
  plan->timeout = milliseconds(arguments["timeout-ms"].as<unsigned>());
  plan->retries = static_cast<int>(arguments["retries"].as<unsigned>());
  plan->retry_delay = milliseconds(arguments["retry-delay-ms"].as<unsigned>());
  plan->seed = arguments["seed"].as<std::uint64_t>();
  plan->expect_echo = arguments.count("echo") > 0;
  return "";
}

// Adds the verdicts to the report. False if an expectation does not hold.
bool CheckExpectations(const std::vector<Expectation>& expectations,
                       const Strings& texts, Json* report) {
  bool all = true;
  Json verdicts = Json::array();
  for (std::size_t i = 0; i < expectations.size(); ++i) {
    const bool holds = expectations[i].Holds(*report);
    verdicts.push_back({{"expectation", texts[i]}, {"held", holds}});
    if (!holds) std::cerr << "expectation failed: " << texts[i] << "\n";
    all = all && holds;
  }
  (*report)["expectations"] = verdicts;
  return all;
}

// One line "ATTEMPTS NOT_RUN ID METHOD PATH KEY" per finished request.
bool WriteRecords(const cxxopts::ParseResult& arguments,
                  const LoadCounts& counts) {
  if (arguments.count("records") == 0) return true;
  std::ofstream file(arguments["records"].as<std::string>());
  for (const LoadCounts::Record& record : counts.records) {
    file << record.attempts << " " << record.not_run << " " << record.id << " "
         << record.request << "\n";
  }
  return static_cast<bool>(file.flush());
}

// One line "BEGUN_US ENDED_US OK ORGANISATION" per finished request, in
// microseconds of the monotonic clock.
bool WriteLifetimes(const cxxopts::ParseResult& arguments,
                    const LoadCounts& counts) {
  if (arguments.count("lifetimes") == 0) return true;
  std::ofstream file(arguments["lifetimes"].as<std::string>());
  const auto microseconds = [](Instant instant) {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               instant.time_since_epoch())
        .count();
  };
  for (const LoadCounts::Lifetime& request : counts.lifetimes) {
    file << microseconds(request.begun) << " " << microseconds(request.ended)
         << " " << (request.ok ? 1 : 0) << " " << request.organisation << "\n";
  }
  return static_cast<bool>(file.flush());
}

void AddOptions(cxxopts::Options& options) {
  const auto number = [](const char* value) {
    return cxxopts::value<unsigned>()->default_value(value);
  };
  options.add_options()("caller", "callers' listeners, ip:port[,ip:port...]",
                        cxxopts::value<Strings>())(
      "organisation", "NAME:RATE or NAME:RATE:LIMIT_RATE:LIMIT_BURST",
      cxxopts::value<Strings>())(
      "route", "METHOD:PATH:WEIGHT, with :ticket if it is non-idempotent",
      cxxopts::value<Strings>())("keys",
                                 "JSON file that maps organisations to keys",
                                 cxxopts::value<std::string>())(
      "duration-ms", "how long to send", number("10000"))(
      "timeout-ms", "time limit of a request", number("2000"))(
      "retries", "attempts after the first", number("0"))(
      "retry-delay-ms", "wait before a retry", number("50"))(
      "seed", "seed of arrivals and choices",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "echo", "responses must contain the request's id")(
      "records", "file for one line per request, to compare with executions",
      cxxopts::value<std::string>())(
      "lifetimes", "file for one line per request: begin, end, result",
      cxxopts::value<std::string>())(
      "expect", "JSON pointer into the report, <=, >=, =, < or >, and a number",
      cxxopts::value<Strings>());
}

}  // namespace

int CommandLoad(int argc, char** argv) {
  cxxopts::Options options(
      "lentilcross load",
      "Sends requests of several organisations to daemons, prints a JSON "
      "report and checks expectations.");
  AddOptions(options);
  int status = kExitSuccess;
  const auto arguments = ParseArguments(options, kExample, argc, argv, &status);
  if (!arguments) return status;
  LoadPlan plan;
  const std::string unusable = ReadPlan(*arguments, &plan);
  if (!unusable.empty()) return Unusable(unusable);
  const Strings texts = Values(*arguments, "expect");
  std::vector<Expectation> expectations;
  for (const std::string& text : texts) {
    const auto expectation = Expectation::Parse(text);
    if (!expectation) return Unusable("--expect: " + text);
    expectations.push_back(*expectation);
  }
  double elapsed_s = 0;
  LoadCounts counts = RunLoad(plan, &elapsed_s);
  if (!WriteRecords(*arguments, counts)) {
    return Unusable("--records: cannot be written");
  }
  if (!WriteLifetimes(*arguments, counts)) {
    return Unusable("--lifetimes: cannot be written");
  }
  Json report = LoadReport(std::move(counts), elapsed_s);
  report["seed"] = plan.seed;
  const bool held = CheckExpectations(expectations, texts, &report);
  std::cout << report.dump(2) << "\n";
  return held ? kExitSuccess : kExitFindings;
}

}  // namespace lentilcross
