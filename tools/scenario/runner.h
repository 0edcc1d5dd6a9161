#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "child.h"
#include "fleet.h"
#include "http_message.h"
#include "script.h"

namespace lentilcross::scenario {

/// Empty if a step succeeded or an expectation held; else what went wrong.
using Failure = std::string;

/// A load that runs in the background, and its report once it has ended.
struct Load {
  Child process;
  std::string records_path;
  std::string report_path;
  std::string lifetimes_path;
  std::optional<nlohmann::json> report;
};

/// A finished request of a load.
struct Record {
  std::uint64_t attempts = 0;
  std::uint64_t not_run = 0;
  std::string id;
  std::string request;  ///< "METHOD PATH KEY", as targets record executions.
};

/// State of a running scenario. Statements are implemented in
/// `declarations.cpp`, `faults.cpp`, `waits.cpp`, `expectations.cpp` and
/// `measures.cpp`.
struct Runner {
  std::string program_directory;  ///< Of `lentilcross` and the stand-ins.
  std::string lentilcross;        ///< The binary to test.
  std::string work;               ///< Temporary directory.
  std::string scenario;           ///< Name of the script.
  std::uint64_t seed = 1;
  /// From `trigger begins` to `trigger ends`.
  std::chrono::steady_clock::time_point trigger_began{};
  std::chrono::steady_clock::time_point trigger_ended{};

  Fleet fleet;
  std::map<std::string, Child> daemons;
  std::map<std::string, Child> standins;
  std::map<std::string, Load> loads;
  std::map<std::string, bool> paused;
  /// Start of the daemons.
  std::map<std::string, std::chrono::steady_clock::time_point> started;
  /// Daemons that should run: started, and neither killed nor stopped.
  std::map<std::string, bool> expected;
  std::map<std::string, int> versions;             ///< Highest seen, by host.
  std::map<std::string, nlohmann::json> statuses;  ///< Last seen, by host.
  std::vector<std::string> regressions;            ///< Versions that went back.

  // ----- Tools of the statements

  void StartDaemon(const Host& host);
  /// Reads the status of each running daemon and notes versions that go back.
  void ObserveVersions();
  /// Polls until the condition holds. `what` is named in the failure.
  Failure WaitUntil(const std::string& duration, const std::string& what,
                    const std::function<bool()>& condition);
  /// Hosts of the fleet whose daemon should run and is not paused.
  std::vector<const Host*> MemberHosts();
  bool IsRunning(const std::string& host);
  /// Answer to a lookup with the key of an organisation; status 0 if none came.
  web::HttpResponse ProbeAnswer(const Host& host,
                                const std::string& organisation) const;
  /// Its status.
  int Probe(const Host& host, const std::string& organisation) const;
  nlohmann::json Counters(const Host& host) const;
  std::uint64_t Executions() const;
  /// How often each request ran ("/executions"), or reached a target at all
  /// ("/calls"), over all targets.
  std::map<std::string, std::uint64_t> CountsByRequest(
      const std::string& path) const;
  std::vector<Record> Records();
  Failure WaitForLoads();
};

/// GET of an address; the body if the status is 200.
std::optional<std::string> Fetch(const std::string& address,
                                 const std::string& path);
/// POST of a control request. False unless the status is 200.
bool Post(const std::string& address, const std::string& path,
          const std::string& body);

/// Sum of a metric over its labels; 0 while it is absent. `name` lacks the
/// prefix.
double Metric(const std::string& text, const std::string& name);

struct Statement {
  std::string pattern;
  std::function<Failure(Runner&, const Step&)> run;
};

std::vector<Statement> Declarations();
std::vector<Statement> Faults();
std::vector<Statement> Waits();
std::vector<Statement> Expectations();
std::vector<Statement> Measures();

}  // namespace lentilcross::scenario
