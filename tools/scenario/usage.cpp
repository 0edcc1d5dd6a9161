#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>

#include "measures.h"

namespace lentilcross::scenario {
namespace {

using Clock = std::chrono::steady_clock;

// Metrics are a snapshot of at most this age.
constexpr std::chrono::milliseconds kSnapshotAge(1100);

/// What one daemon has used since its start.
struct Usage {
  double cpu_s = 0;
  double memory_mb = 0;                 ///< Resident.
  double calls = 0;                     ///< Of callers, own targets and peers.
  std::map<std::string, double> bytes;  ///< Sent, by message kind.
};

// User and system time, fields 14 and 15 of /proc/PID/stat. The name in field 2
// may contain spaces.
double CpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 3; i < 14; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double MemoryMegabytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::strtod(line.c_str() + line.find(':') + 1, nullptr) / 1024;
    }
  }
  return 0;
}

void ReadMetrics(const std::string& text, Usage& usage) {
  const std::string kind = "lentilcross_peer_sent_bytes_total{kind=\"";
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const double value =
        std::strtod(line.c_str() + line.rfind(' ') + 1, nullptr);
    if (line.rfind(kind, 0) == 0) {
      const std::size_t end = line.find('"', kind.size());
      usage.bytes[line.substr(kind.size(), end - kind.size())] = value;
    }
    for (const char* name :
         {"entry_requests", "onward_requests", "peer_calls"}) {
      const std::string start = "lentilcross_" + std::string(name) + "_total ";
      if (line.rfind(start, 0) == 0) usage.calls += value;
    }
  }
}

std::map<std::string, Usage> ReadUsage(Runner& runner) {
  std::map<std::string, Usage> all;
  for (const Host* host : runner.MemberHosts()) {
    Usage& usage = all[host->name];
    const pid_t pid = runner.daemons[host->name].pid();
    usage.cpu_s = CpuSeconds(pid);
    usage.memory_mb = MemoryMegabytes(pid);
    const auto text =
        Fetch(runner.fleet.Address(*host, Port::kOperator), "/metrics");
    ReadMetrics(text.value_or(""), usage);
  }
  return all;
}

const std::map<std::string, std::vector<std::string>>& KindsByPurpose() {
  static const std::map<std::string, std::vector<std::string>> kinds = {
      {"heartbeat", {"ping", "pong"}},
      {"gossip",
       {"digest", "config-request", "config-delta", "config-snapshot",
        "leave"}},
      {"loan", {"loan-request", "loan-grant", "loan-return"}},
      {"handshake", {"hello", "proof"}},
      {"call", {"call", "reply", "cancel", "cancel-ack"}}};
  return kinds;
}

}  // namespace

// Prints the mean over the daemons, and the highest value where a budget bounds
// each daemon.
Failure MeasureUsage(Runner& runner, const Step& step) {
  const auto before = ReadUsage(runner);
  const auto start = Clock::now();
  std::this_thread::sleep_for(std::max(
      kSnapshotAge, std::chrono::milliseconds(Milliseconds(step.at(0)))));
  const auto after = ReadUsage(runner);
  const double elapsed =
      std::chrono::duration<double>(Clock::now() - start).count();
  const auto count = static_cast<double>(after.size());
  if (after.empty() || before.size() != after.size()) return "no daemons";
  Usage mean;
  Usage most;
  for (const auto& [host, usage] : after) {
    const Usage& old = before.at(host);
    const double cpu = (usage.cpu_s - old.cpu_s) / elapsed;
    mean.cpu_s += cpu / count;
    most.cpu_s = std::max(most.cpu_s, cpu);
    mean.calls += (usage.calls - old.calls) / elapsed / count;
    most.memory_mb = std::max(most.memory_mb, usage.memory_mb);
    double control = 0;
    for (const auto& [purpose, kinds] : KindsByPurpose()) {
      double bytes = 0;
      for (const std::string& kind : kinds) {
        if (usage.bytes.count(kind) == 0) return "no bytes of " + kind;
        bytes += (usage.bytes.at(kind) - old.bytes.at(kind)) / elapsed;
      }
      mean.bytes[purpose] += bytes / count;
      if (purpose != "call") control += bytes;
    }
    most.bytes["control"] = std::max(most.bytes["control"], control);
  }
  PrintMeasure(runner, "calls_per_daemon", mean.calls, "calls/s");
  PrintMeasure(runner, "cpu_per_daemon", mean.cpu_s, "cores");
  PrintMeasure(runner, "cpu_highest", most.cpu_s, "cores");
  PrintMeasure(runner, "memory_highest", most.memory_mb, "MB");
  for (const auto& [purpose, bytes] : mean.bytes) {
    PrintMeasure(runner, purpose + "_bytes_per_daemon", bytes, "bytes/s");
  }
  PrintMeasure(runner, "control_bytes_highest", most.bytes["control"],
               "bytes/s");
  return "";
}

}  // namespace lentilcross::scenario
