#include <algorithm>

#include "load_report.h"
#include "runner.h"

namespace lentilcross::scenario {
namespace {

using Json = nlohmann::json;

constexpr const char* kIdleLimit = "5s";
// Failures listed in one message.
constexpr std::size_t kMaxListed = 5;

std::string List(const std::vector<std::string>& entries) {
  std::string text = std::to_string(entries.size()) + " times";
  for (std::size_t i = 0; i < std::min(entries.size(), kMaxListed); ++i) {
    text += "\n    " + entries[i];
  }
  return entries.empty() ? "" : text;
}

// All loads have ended and no target runs a request, so that executions are
// final.
Failure Settle(Runner& runner) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  return runner.WaitUntil(kIdleLimit, "idle targets", [&runner] {
    return std::all_of(runner.fleet.hosts.begin(), runner.fleet.hosts.end(),
                       [&runner](const Host& host) {
                         const Json counters = runner.Counters(host);
                         return counters.is_object() &&
                                counters.value("running", 1) == 0;
                       });
  });
}

Failure NoDoubleRuns(Runner& runner, const Step&) {
  Failure failure = Settle(runner);
  if (!failure.empty()) return failure;
  std::vector<std::string> twice;
  std::size_t runs = 0;
  for (const auto& [request, count] : runner.CountsByRequest("/executions")) {
    if (request.rfind("GET ", 0) == 0) continue;
    ++runs;
    if (count > 1) twice.push_back(request);
  }
  // Without a run the check would prove nothing.
  return runs == 0 ? "no non-idempotent request ran" : List(twice);
}

Failure NotRunIsTrue(Runner& runner, const Step&) {
  Failure failure = Settle(runner);
  if (!failure.empty()) return failure;
  const auto executions = runner.CountsByRequest("/executions");
  std::vector<std::string> wrong;
  const auto records = runner.Records();
  for (const Record& record : records) {
    const bool all_not_run =
        record.not_run > 0 && record.not_run == record.attempts;
    if (all_not_run && executions.count(record.request) > 0) {
      wrong.push_back(record.request);
    }
  }
  return records.empty() ? "no records of requests" : List(wrong);
}

// One request may cost 1 + extra calls per attempt at each step of its chain.
Failure CallsBounded(Runner& runner, const Step& step) {
  Failure failure = Settle(runner);
  if (!failure.empty()) return failure;
  const auto extra = std::strtoull(step.at(0).c_str(), nullptr, 10);
  std::map<std::string, std::uint64_t> attempts;
  for (const Record& record : runner.Records()) {
    attempts[record.id] = record.attempts;
  }
  std::vector<std::string> above;
  std::size_t compared = 0;
  for (const auto& [request, count] : runner.CountsByRequest("/calls")) {
    // The id ends with a full stop; "-N" follows at onward calls.
    std::string id = request.substr(request.rfind(' ') + 1);
    id = id.substr(0, id.rfind('.') + 1);
    const auto it = attempts.find(id);
    if (it == attempts.end()) continue;
    ++compared;
    if (count > it->second * (1 + extra)) above.push_back(request);
  }
  return compared == 0 ? "no call belongs to a record" : List(above);
}

// Retries of each daemon are at most a tenth of its first attempts, and one per
// second and service, as `RetryBudget::Init` says. Retries after "draining" are
// not charged, so this is for scenarios without them.
Failure RetryBudgetKept(Runner& runner, const Step&) {
  Failure failure = Settle(runner);
  if (!failure.empty()) return failure;
  constexpr double kRatio = 0.1;
  constexpr double kFloorPerSecond = 1.0;
  double all = 0;
  std::vector<std::string> above;
  for (const Host* host : runner.MemberHosts()) {
    const std::chrono::duration<double> age =
        std::chrono::steady_clock::now() - runner.started[host->name];
    const auto text =
        Fetch(runner.fleet.Address(*host, Port::kOperator), "/metrics");
    const double retries = Metric(text.value_or(""), "retries_total");
    const double first = Metric(text.value_or(""), "first_attempts_total");
    const double allowed =
        kRatio * first + kFloorPerSecond * age.count() *
                             static_cast<double>(runner.fleet.services.size());
    if (retries > allowed) {
      above.push_back(host->name + ": " + std::to_string(retries) +
                      " retries of " + std::to_string(first) + " calls");
    }
    all += retries;
  }
  // Without a retry the check would prove nothing.
  return all == 0 ? "no call was retried" : List(above);
}

Failure ForEachLoad(
    Runner& runner,
    const std::function<void(const Json&, std::vector<std::string>&)>& check) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  std::vector<std::string> wrong;
  for (const auto& [name, load] : runner.loads) check(*load.report, wrong);
  return runner.loads.empty() ? "no load ran" : List(wrong);
}

Failure RatesKept(Runner& runner, const Step&) {
  return ForEachLoad(runner, [](const Json& report, auto& wrong) {
    for (const auto& [name, organisation] : report["organisations"].items()) {
      const double over = organisation.value("over_limit", 0.0);
      if (over > 0) wrong.push_back(name + ": " + std::to_string(over));
    }
  });
}

Failure WholeAnswers(Runner& runner, const Step&) {
  return ForEachLoad(runner, [](const Json& report, auto& wrong) {
    const int incomplete = report.value("incomplete", 0);
    if (incomplete > 0) wrong.push_back(std::to_string(incomplete));
    if (report.value("ok", 0) == 0) wrong.emplace_back("no answer at all");
  });
}

Failure NoRequestCut(Runner& runner, const Step& step) {
  const std::string address =
      runner.fleet.Address(runner.fleet.host(step.at(0)), Port::kCaller);
  return ForEachLoad(runner, [&address](const Json& report, auto& wrong) {
    if (!report["daemons"].contains(address)) return;
    const Json& failures = report["daemons"][address]["failures"];
    for (const char* name : {"connection-closed", "timeout"}) {
      if (failures.value(name, 0) > 0) wrong.emplace_back(failures.dump());
    }
  });
}

Failure LoadReportHolds(Runner& runner, const Step& step) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  const auto expectation = Expectation::Parse(step.at(1));
  if (!expectation) return "not an expectation: " + step.at(1);
  const Json& report = *runner.loads[step.at(0)].report;
  return expectation->Holds(report)
             ? ""
             : "report: " + report["reasons"].dump() + " " +
                   report["failures"].dump() + " ok " + report["ok"].dump();
}

Failure GoodputHolds(Runner& runner, const Step& step) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  const Json& report = *runner.loads[step.at(0)].report;
  const double offered = report.value("offered", 0.0);
  const double ok = report.value("ok", 0.0);
  const double least = std::strtod(step.at(1).c_str(), nullptr);
  if (offered > 0 && ok >= least * offered) return "";
  return std::to_string(ok) + " of " + std::to_string(offered) + " " +
         report["reasons"].dump() + " " + report["failures"].dump();
}

Failure VersionsNeverBack(Runner& runner, const Step&) {
  runner.ObserveVersions();
  return List(runner.regressions);
}

Failure ExitStatus(Runner& runner, const Step& step) {
  const auto status = runner.daemons[step.at(0)].exit_status();
  if (!status) return "still running";
  return std::to_string(*status) == step.at(1)
             ? ""
             : "exit status " + std::to_string(*status);
}

Failure NeverLinked(Runner& runner, const Step& step) {
  std::vector<std::string> linked;
  runner.ObserveVersions();
  for (const auto& [host, status] : runner.statuses) {
    if (!status.is_object() || host == step.at(0)) continue;
    for (const Json& member : status["members"]) {
      if (member.value("host", "") != step.at(0)) continue;
      const bool alive = member.value("state", "") == "alive";
      if (alive || member.value("linked", false)) linked.push_back(host);
    }
  }
  return runner.statuses.size() < 2 ? "no status read" : List(linked);
}

Failure NoKeySeen(Runner& runner, const Step&) {
  std::vector<std::string> seen;
  for (const Host& host : runner.fleet.hosts) {
    const Json counters = runner.Counters(host);
    if (!counters.is_object() || counters.value("keys_seen", 1) > 0) {
      seen.push_back(host.name);
    }
  }
  return List(seen);
}

}  // namespace

std::vector<Statement> Expectations() {
  return {
      {"expect no double runs", NoDoubleRuns},
      {"expect not-run answers true", NotRunIsTrue},
      {"expect calls bounded by extra <number>", CallsBounded},
      {"expect retry budget kept", RetryBudgetKept},
      {"expect rates kept", RatesKept},
      {"expect whole answers", WholeAnswers},
      {"expect no request cut at <host>", NoRequestCut},
      {"expect load <load> <word>", LoadReportHolds},
      {"expect goodput of <load> at least <number>", GoodputHolds},
      {"expect versions never back", VersionsNeverBack},
      {"expect exit <host> <number>", ExitStatus},
      {"expect not a member <host>", NeverLinked},
      {"expect no key at targets", NoKeySeen},
  };
}

}  // namespace lentilcross::scenario
