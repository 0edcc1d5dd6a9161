#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include "lentilcross/types.h"
#include "runner.h"

namespace lentilcross::scenario {
namespace {

using Json = nlohmann::json;

constexpr const char* kStartLimit = "10s";
constexpr int kSlowMs = 300;
constexpr int kColdMs = 3'600'000;  // Cold until `target ... normal`.
constexpr int kPlatformDelayMs = 1000;

Failure Check(bool done, const std::string& text) {
  return done ? "" : "control request failed: " + text;
}

// ----- Start

void StartStandins(Runner& runner, const Host& host) {
  const Fleet& fleet = runner.fleet;
  const std::string log = runner.work + "/" + host.name;
  runner.standins["target-" + host.name] = Child(
      {runner.program_directory + "/standin_target", "--name",
       "target-" + host.name, "--listen", fleet.Address(host, Port::kTarget),
       "--control", fleet.Address(host, Port::kTargetControl), "--onward",
       fleet.Address(host, Port::kOnward), "--behaviour",
       fleet.Behaviour(host).dump()},
      log + "-target");
  runner.standins["relay-" + host.name] =
      Child({runner.program_directory + "/standin_relay", "--listen",
             fleet.Address(host, Port::kRelay), "--to",
             fleet.Address(host, Port::kPeer), "--control",
             fleet.Address(host, Port::kRelayControl)},
            log + "-relay");
}

Failure Start(Runner& runner, const Step&) {
  const Fleet& fleet = runner.fleet;
  const std::string path = runner.work + "/configuration.json";
  std::ofstream(path) << fleet.Configuration().dump(2);
  Json keys = Json::object();
  for (const auto& [name, organisation] : fleet.organisations) {
    keys[name] = organisation.key;
  }
  std::ofstream(runner.work + "/keys.json") << keys.dump(2);
  runner.standins["platform"] =
      Child({runner.program_directory + "/standin_platform", "--listen",
             fleet.PlatformAddress(), "--control", fleet.PlatformControl(),
             "--config", path},
            runner.work + "/platform");
  for (const Host& host : fleet.hosts) StartStandins(runner, host);
  const auto all_listen = [&runner, &fleet] {
    for (const Host& host : fleet.hosts) {
      const auto relay = fleet.Address(host, Port::kRelayControl);
      if (!runner.Counters(host).is_object()) return false;
      if (!Fetch(relay, "/counters")) return false;
    }
    return Fetch(fleet.PlatformControl(), "/counters").has_value();
  };
  Failure failure =
      runner.WaitUntil(kStartLimit, "stand-ins listen", all_listen);
  if (!failure.empty()) return failure;
  for (const Host& host : fleet.hosts) {
    if (!host.late) runner.StartDaemon(host);
  }
  return "";
}

// ----- Load

// Distinct request ids in each load of a scenario need distinct seeds.
constexpr std::uint64_t kSeedsPerScenario = 100;

// `factor` times the rate of each organisation is offered.
Failure StartLoad(Runner& runner, const Step& step, double factor,
                  const std::vector<std::string>& repeats,
                  const std::vector<std::string>& hosts) {
  std::string callers;
  for (const std::string& name : hosts) {
    if (!callers.empty()) callers += ",";
    callers += runner.fleet.Address(runner.fleet.host(name), Port::kCaller);
  }
  const std::string base = runner.work + "/load-" + step.at(0);
  const std::uint64_t seed =
      (runner.seed - 1) * kSeedsPerScenario + runner.loads.size() + 1;
  std::vector<std::string> command = {runner.lentilcross,
                                      "load",
                                      "--caller",
                                      callers,
                                      "--keys",
                                      runner.work + "/keys.json",
                                      "--duration-ms",
                                      std::to_string(Milliseconds(step.at(1))),
                                      "--timeout-ms",
                                      "2500",
                                      "--echo",
                                      "--records",
                                      base + ".records",
                                      "--lifetimes",
                                      base + ".lifetimes",
                                      "--seed",
                                      std::to_string(seed)};
  command.insert(command.end(), repeats.begin(), repeats.end());
  for (const auto& [name, organisation] : runner.fleet.organisations) {
    command.insert(command.end(),
                   {"--organisation",
                    name + ":" + std::to_string(factor * organisation.rate) +
                        ":" + std::to_string(organisation.rate) + ":" +
                        std::to_string(organisation.burst)});
  }
  for (const auto& [path, route] : runner.fleet.routes) {
    command.insert(command.end(),
                   {"--route", route.once ? "POST:" + path + ":1:ticket"
                                          : "GET:" + path + ":1"});
  }
  Load& load = runner.loads[step.at(0)];
  load.process = Child(command, base);
  load.records_path = base + ".records";
  load.report_path = base + ".out";
  load.lifetimes_path = base + ".lifetimes";
  return "";
}

Failure LoadOfRate(Runner& runner, const Step& step) {
  return StartLoad(runner, step, std::strtod(step.at(2).c_str(), nullptr),
                   {"--retries", step.at(3)}, step.from(4));
}

// Offers a multiple of the capacity, split like the rates of the organisations.
Failure LoadOfCapacity(Runner& runner, const Step& step,
                       const std::vector<std::string>& repeats,
                       std::size_t first_host) {
  double sum = 0;
  for (const auto& [name, organisation] : runner.fleet.organisations) {
    sum += organisation.rate;
  }
  const double offered =
      std::strtod(step.at(2).c_str(), nullptr) * runner.fleet.Capacity();
  return StartLoad(runner, step, offered / sum, repeats, step.from(first_host));
}

Failure LoadWithoutRepeats(Runner& runner, const Step& step) {
  return LoadOfCapacity(runner, step, {"--retries", "0"}, 3);
}

Failure LoadWithEndlessRepeats(Runner& runner, const Step& step) {
  // More than a run has time for.
  constexpr const char* kEndless = "1000000";
  return LoadOfCapacity(runner, step,
                        {"--retries", kEndless, "--retry-delay-ms",
                         std::to_string(Milliseconds(step.at(3)))},
                        4);
}

Failure EndLoads(Runner& runner, const Step&) {
  for (auto& [name, load] : runner.loads) load.process.Signal(SIGTERM);
  return runner.WaitForLoads();
}

// ----- Daemons

Failure Kill(Runner& runner, const Step& step) {
  runner.expected[step.at(0)] = false;
  runner.daemons[step.at(0)].Kill();
  return "";
}

Failure Pause(Runner& runner, const Step& step) {
  runner.paused[step.at(0)] = true;
  runner.daemons[step.at(0)].Signal(SIGSTOP);
  return "";
}

Failure Resume(Runner& runner, const Step& step) {
  runner.daemons[step.at(0)].Signal(SIGCONT);
  runner.paused[step.at(0)] = false;
  return "";
}

// The length of the pause is part of the fault.
Failure PauseFor(Runner& runner, const Step& step) {
  Pause(runner, step);
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Milliseconds(step.at(1))));
  return Resume(runner, step);
}

Failure Stop(Runner& runner, const Step& step) {
  runner.expected[step.at(0)] = false;
  runner.daemons[step.at(0)].Signal(SIGTERM);
  return "";
}

// A new process must not be ready with an older version than the fleet has.
Failure Restart(Runner& runner, const Step& step) {
  int& floor = runner.versions[step.at(0)];
  for (const auto& [host, version] : runner.versions) {
    floor = std::max(floor, version);
  }
  runner.daemons[step.at(0)].Kill();
  runner.StartDaemon(runner.fleet.host(step.at(0)));
  return "";
}

// ----- Peer links

// Changes the links that `from` dials to `to`.
bool ChangeLinks(const Runner& runner, const Host& from, const Host& to,
                 const char* scope, const Json& forward, const Json& backward) {
  const Json change = {{"scope", scope},
                       {"from", HostId::FromName(from.name).value()},
                       {"forward", forward},
                       {"backward", backward}};
  return Post(runner.fleet.Address(to, Port::kRelayControl), "/behaviour",
              change.dump());
}

Failure Silence(Runner& runner, const Step& step) {
  const Host& a = runner.fleet.host(step.at(0));
  const Host& b = runner.fleet.host(step.at(1));
  const Json silent = {{"mode", "silent"}};
  return Check(ChangeLinks(runner, a, b, "open", silent, silent) &&
                   ChangeLinks(runner, b, a, "open", silent, silent),
               "silence");
}

// Changes what `from` sends to `to`, on links that either of them dialled.
bool ChangeDirection(const Runner& runner, const std::string& from,
                     const std::string& to, const Json& mode) {
  bool done = true;
  const Json same = Json::object();
  for (const Host& a : runner.fleet.hosts) {
    for (const Host& b : runner.fleet.hosts) {
      if (a.domain != from || b.domain != to) continue;
      done = ChangeLinks(runner, a, b, "all", mode, same) &&
             ChangeLinks(runner, b, a, "all", same, mode) && done;
    }
  }
  return done;
}

Failure ChangeBoth(Runner& runner, const Step& step, const Json& mode) {
  const bool there = ChangeDirection(runner, step.at(0), step.at(1), mode);
  const bool back = ChangeDirection(runner, step.at(1), step.at(0), mode);
  return Check(there && back, "cut or rejoin");
}

Failure CutOneWay(Runner& runner, const Step& step) {
  return Check(
      ChangeDirection(runner, step.at(0), step.at(1), {{"mode", "silent"}}),
      "cut");
}

// ----- Platform and targets

Failure ChangePlatform(Runner& runner, const Json& change) {
  return Check(
      Post(runner.fleet.PlatformControl(), "/behaviour", change.dump()),
      "platform");
}

Failure Publish(Runner& runner) {
  return Check(Post(runner.fleet.PlatformControl(), "/publish",
                    runner.fleet.Configuration().dump()),
               "publish");
}

// Serves version 1 again, as a service restored from an old copy does.
Failure MakeStale(Runner& runner, const Step&) {
  Json document = runner.fleet.Configuration();
  document["version"] = 1;
  return Check(
      Post(runner.fleet.PlatformControl(), "/publish", document.dump()),
      "platform");
}

// Serves the first document to every reader, newer ones included, as a copy
// without the parameter `after` does.
Failure MakeStaleContent(Runner& runner, const Step&) {
  std::stringstream first;
  first << std::ifstream(runner.work + "/configuration.json").rdbuf();
  Failure failure = ChangePlatform(runner, {{"ignore_after", true}});
  if (!failure.empty()) return failure;
  return Check(Post(runner.fleet.PlatformControl(), "/publish", first.str()),
               "platform");
}

Failure PlatformUp(Runner& runner, const Step&) {
  Failure failure = ChangePlatform(
      runner, {{"down", false}, {"delay_ms", 0}, {"ignore_after", false}});
  return failure.empty() ? Publish(runner) : failure;
}

Failure PublishPreset(Runner& runner, const Step& step) {
  runner.fleet.preset = step.at(0);
  ++runner.fleet.version;
  return Publish(runner);
}

Failure Withdraw(Runner& runner, const Step& step) {
  runner.fleet.organisations[step.at(0)].withdrawn = true;
  ++runner.fleet.version;
  return Publish(runner);
}

Statement TargetStatement(const std::string& name, const Json& change) {
  return {"target <host> " + name, [change](Runner& runner, const Step& step) {
            const Host& host = runner.fleet.host(step.at(0));
            Json behaviour = runner.fleet.Behaviour(host);
            behaviour.update(change);
            return Check(Post(runner.fleet.Address(host, Port::kTargetControl),
                              "/behaviour", behaviour.dump()),
                         "target");
          }};
}

}  // namespace

std::vector<Statement> Faults() {
  const Json silent = {{"mode", "silent"}};
  const Json pass = {{"mode", "pass"}};
  return {
      {"start", Start},
      {"load <new-load> for <duration> at <number> of rate retries <number> to "
       "<host>...",
       LoadOfRate},
      {"load <new-load> for <duration> at <number> of capacity to <host>...",
       LoadWithoutRepeats},
      {"load <new-load> for <duration> at <number> of capacity repeats every "
       "<duration> to <host>...",
       LoadWithEndlessRepeats},
      {"end loads", EndLoads},
      {"kill <host>", Kill},
      {"pause <host>", Pause},
      {"pause <host> for <duration>", PauseFor},
      {"resume <host>", Resume},
      {"stop <host>", Stop},
      {"restart <host>", Restart},
      {"silence <host> <host>", Silence},
      {"cut <domain> <domain>",
       [silent](Runner& r, const Step& s) { return ChangeBoth(r, s, silent); }},
      {"cut <domain> <domain> one-way", CutOneWay},
      {"rejoin <domain> <domain>",
       [pass](Runner& r, const Step& s) { return ChangeBoth(r, s, pass); }},
      {"platform down",
       [](Runner& r, const Step&) {
         return ChangePlatform(r, {{"down", true}});
       }},
      {"platform slow",
       [](Runner& r, const Step&) {
         return ChangePlatform(r, {{"delay_ms", kPlatformDelayMs}});
       }},
      {"platform stale", MakeStale},
      {"platform stale content", MakeStaleContent},
      {"platform up", PlatformUp},
      {"publish preset <preset>", PublishPreset},
      {"withdraw key <organisation>", Withdraw},
      TargetStatement("slow", {{"service_ms", kSlowMs}}),
      TargetStatement("shed", {{"slots", 1}, {"queue", 0}}),
      TargetStatement("refuse", {{"slots", 0}, {"queue", 0}}),
      TargetStatement("cold", {{"cold_ms", kColdMs}}),
      TargetStatement("drain", {{"draining", true}}),
      TargetStatement("health-lies", {{"misleading_health", true}}),
      TargetStatement("normal", Json::object()),
  };
}

}  // namespace lentilcross::scenario
