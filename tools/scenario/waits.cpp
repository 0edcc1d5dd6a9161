#include <algorithm>

#include "runner.h"

namespace lentilcross::scenario {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kWithdrawn = 403;
// A host gets no new work if its target saw no request for this long.
constexpr std::chrono::milliseconds kQuiet(1000);

// Asks hosts for a lookup until each has answered once.
class ServingHosts {
 public:
  ServingHosts(Runner& runner, std::vector<std::string> hosts)
      : runner_(runner),
        organisation_(runner.fleet.organisations.begin()->first),
        hosts_(std::move(hosts)) {}

  // A host that has answered is not asked again: repeated probes of all hosts
  // would use up the rate of the organisation.
  bool AllServe(const std::function<bool(const std::string&)>& may_ask) {
    const auto end =
        std::remove_if(hosts_.begin(), hosts_.end(), [&](const auto& name) {
          if (!may_ask(name)) return false;
          const auto answer =
              runner_.ProbeAnswer(runner_.fleet.host(name), organisation_);
          answers_[name] = std::to_string(answer.status) + " " + answer.body;
          return answer.status == kOk;
        });
    hosts_.erase(end, hosts_.end());
    return hosts_.empty();
  }

  // Adds the last answer of each host that does not serve to a failure.
  Failure Describe(Failure failure) const {
    if (failure.empty()) return "";
    for (const auto& name : hosts_) {
      const auto it = answers_.find(name);
      failure += "\n    " + name + ": " +
                 (it == answers_.end() ? "not ready" : it->second);
    }
    return failure;
  }

 private:
  Runner& runner_;
  std::string organisation_;
  std::vector<std::string> hosts_;
  std::map<std::string, std::string> answers_;
};

Failure WaitReady(Runner& runner, const Step& step) {
  std::vector<std::string> names;
  for (const Host* host : runner.MemberHosts()) names.push_back(host->name);
  ServingHosts hosts(runner, names);
  return hosts.Describe(runner.WaitUntil(step.at(0), "all daemons ready", [&] {
    // Ready comes before the handover time of the quotas has passed.
    return hosts.AllServe([&](const std::string& name) {
      const Json& status = runner.statuses[name];
      return status.is_object() && status.value("ready", false);
    });
  }));
}

Failure WaitTraffic(Runner& runner, const Step& step) {
  const auto wanted =
      runner.Executions() + std::strtoull(step.at(0).c_str(), nullptr, 10);
  return runner.WaitUntil(step.at(1), "executions",
                          [&] { return runner.Executions() >= wanted; });
}

// Every daemon is asked until it refuses once, so that one wait does not ask
// each of them all the time.
Failure WaitRefused(Runner& runner, const std::string& organisation,
                    const std::string& limit, std::vector<std::string> hosts) {
  return runner.WaitUntil(limit, "key refused", [&] {
    const auto end =
        std::remove_if(hosts.begin(), hosts.end(), [&](const auto& name) {
          return runner.Probe(runner.fleet.host(name), organisation) ==
                 kWithdrawn;
        });
    hosts.erase(end, hosts.end());
    return hosts.empty();
  });
}

Failure WaitRefusedEverywhere(Runner& runner, const Step& step) {
  std::vector<std::string> hosts;
  for (const Host* host : runner.MemberHosts()) hosts.push_back(host->name);
  return WaitRefused(runner, step.at(0), step.at(1), hosts);
}

Failure WaitRefusedAt(Runner& runner, const Step& step) {
  return WaitRefused(runner, step.at(0), step.at(1), step.from(2));
}

Failure WaitPreset(Runner& runner, const Step& step) {
  return runner.WaitUntil(step.at(1), "preset active everywhere", [&] {
    const auto members = runner.MemberHosts();
    return std::all_of(members.begin(), members.end(), [&](const Host* host) {
      const Json& status = runner.statuses[host->name];
      return status.is_object() && status.value("preset", "") == step.at(0);
    });
  });
}

bool HasLatest(Runner& runner, const std::string& host) {
  const Json& status = runner.statuses[host];
  return status.is_object() &&
         status.value("version", 0) == runner.fleet.version;
}

Failure WaitVersion(Runner& runner, const Step& step) {
  const auto hosts = step.from(1);
  return runner.WaitUntil(step.at(0), "latest version", [&] {
    return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) {
      return HasLatest(runner, host);
    });
  });
}

Failure WaitVersionEverywhere(Runner& runner, const Step& step) {
  return runner.WaitUntil(step.at(0), "latest version everywhere", [&] {
    const auto members = runner.MemberHosts();
    return std::all_of(members.begin(), members.end(), [&](const Host* host) {
      return HasLatest(runner, host->name);
    });
  });
}

Failure WaitServing(Runner& runner, const Step& step) {
  ServingHosts hosts(runner, step.from(1));
  return hosts.Describe(runner.WaitUntil(step.at(0), "serving", [&] {
    return hosts.AllServe([](const std::string&) { return true; });
  }));
}

Failure WaitExited(Runner& runner, const Step& step) {
  return runner.WaitUntil(step.at(1), "exit of " + step.at(0), [&] {
    return runner.daemons[step.at(0)].exit_status().has_value();
  });
}

// True if the daemon of `from` lists `to` as linked.
bool IsLinked(Runner& runner, const std::string& from, const std::string& to) {
  const Json& status = runner.statuses[from];
  if (!status.is_object()) return false;
  for (const Json& member : status["members"]) {
    if (member.value("host", "") == to) return member.value("linked", false);
  }
  return false;
}

Failure WaitLinked(Runner& runner, const Step& step, bool wanted) {
  return runner.WaitUntil(step.at(2), wanted ? "linked" : "not linked", [&] {
    return IsLinked(runner, step.at(0), step.at(1)) == wanted;
  });
}

Failure WaitNoNewWork(Runner& runner, const Step& step) {
  const Host& host = runner.fleet.host(step.at(0));
  auto since = Clock::now();
  Json last;
  const Failure failure = runner.WaitUntil(step.at(1), "no new work", [&] {
    const Json requests = runner.Counters(host)["requests"];
    if (requests != last) since = Clock::now();
    last = requests;
    return Clock::now() - since >= kQuiet;
  });
  return failure.empty() ? "" : failure + " " + runner.Counters(host).dump();
}

Failure WaitMetric(Runner& runner, const Step& step) {
  const Host& host = runner.fleet.host(step.at(0));
  const double least = std::strtod(step.at(2).c_str(), nullptr);
  return runner.WaitUntil(step.at(3), step.at(1), [&] {
    const auto text =
        Fetch(runner.fleet.Address(host, Port::kOperator), "/metrics");
    return text && Metric(*text, step.at(1)) >= least;
  });
}

Failure WaitLoads(Runner& runner, const Step&) { return runner.WaitForLoads(); }

}  // namespace

std::vector<Statement> Waits() {
  return {
      {"wait until ready within <duration>", WaitReady},
      {"wait until executions <number> more within <duration>", WaitTraffic},
      {"wait until key <organisation> refused within <duration>",
       WaitRefusedEverywhere},
      {"wait until key <organisation> refused within <duration> at <host>...",
       WaitRefusedAt},
      {"wait until preset <preset> active within <duration>", WaitPreset},
      {"wait until version latest within <duration>", WaitVersionEverywhere},
      {"wait until version latest within <duration> at <host>...", WaitVersion},
      {"wait until serving within <duration> at <host>...", WaitServing},
      {"wait until exited <host> within <duration>", WaitExited},
      {"wait until linked <host> <host> within <duration>",
       [](Runner& r, const Step& s) { return WaitLinked(r, s, true); }},
      {"wait until not linked <host> <host> within <duration>",
       [](Runner& r, const Step& s) { return WaitLinked(r, s, false); }},
      {"wait until no new work at <host> within <duration>", WaitNoNewWork},
      {"wait until metric <host> <word> at least <number> within <duration>",
       WaitMetric},
      {"wait until loads end", WaitLoads},
  };
}

}  // namespace lentilcross::scenario
