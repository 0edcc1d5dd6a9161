#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "audit.h"
#include "http_client.h"
#include "latency_summary.h"
#include "lentilcross/config.h"
#include "logging.h"
#include "metrics.h"
#include "operator_server.h"
#include "settings.h"

namespace lentilcross {
namespace {

DaemonStats SomeStats() {
  DaemonStats stats;
  stats.live = true;
  stats.host = "stock-mb-1";
  stats.preset = "ordinary";
  stats.version = Version(12);
  stats.pipeline.refused[static_cast<std::size_t>(Reason::kOverloaded)] = 7;
  stats.targets.push_back({"stock \"1\"", "stock", 8, 3, 2, 1, {}});
  stats.targets.push_back({"stock-2", "stock", 8, 0, 0, 0, {}});
  stats.findings.Add("/keys", "wrong type: expected an object");
  return stats;
}

AuditRecord RecordOf(std::uint64_t version) {
  AuditRecord record;
  record.version = Version(version);
  record.preset = "ordinary";
  record.keys = {{"coopers-2026a", "coopers", true}};
  record.rates = {{"coopers", 200, 100}};
  record.source = "127.0.0.1:7000";
  return record;
}

struct RunningServer {
  RunningServer() {
    OperatorServer::Init init;
    init.audit = &audit;
    server = OperatorServer::Create(std::move(init)).value();
    address = "127.0.0.1:" + std::to_string(server->port());
  }
  web::HttpResponse Call(const std::string& target,
                         const std::string& method = "GET") const {
    web::HttpRequest request;
    request.method = method;
    request.target = target;
    return web::HttpCall(address, request, std::chrono::seconds(5)).response;
  }

  AuditTrail audit{{}};
  std::unique_ptr<OperatorServer> server;
  std::string address;
};

}  // namespace

// Guards against text that Prometheus refuses: a sample without a type, a name
// declared twice, a value that is no number.
BOOST_AUTO_TEST_CASE(metrics_text_is_well_formed) {
  std::istringstream lines(MetricsText(SomeStats(), {}));
  std::set<std::string> declared;
  std::string current;
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("# TYPE ", 0) == 0) {
      current = line.substr(7, line.find(' ', 7) - 7);
      BOOST_TEST(declared.insert(current).second, current << " twice");
    } else if (line[0] != '#') {
      BOOST_TEST(line.rfind(current, 0) == 0, line << " has no type");
      char* end = nullptr;
      std::strtod(line.c_str() + line.rfind(' ') + 1, &end);
      BOOST_TEST(*end == '\0', line);
    }
  }
  BOOST_TEST(declared.size() > 60U);
}

// Guards against a metric that operators cannot look up.
BOOST_AUTO_TEST_CASE(every_metric_is_documented) {
  Findings findings;
  const std::string page =
      ReadFile(TEST_SOURCE_DIR "/docs/operations.md", findings);
  BOOST_REQUIRE(findings.empty());
  std::istringstream lines(MetricsText(SomeStats(), {}));
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("# TYPE ", 0) != 0) continue;
    const std::string name = line.substr(7, line.find(' ', 7) - 7);
    BOOST_TEST(page.find("| `" + name + "` |") != std::string::npos, name);
  }
}

// Guards against labels that end early and reasons that share a counter.
BOOST_AUTO_TEST_CASE(metrics_carry_labels) {
  const std::string text = MetricsText(SomeStats(), {});
  const auto has = [&](const std::string& line) {
    return text.find("\n" + line + "\n") != std::string::npos;
  };
  BOOST_TEST(has("lentilcross_refused_total{reason=\"overloaded\"} 7"));
  BOOST_TEST(has("lentilcross_refused_total{reason=\"draining\"} 0"));
  BOOST_TEST(
      has("lentilcross_target_in_flight{target=\"stock \\\"1\\\"\","
          "service=\"stock\"} 3"));
  BOOST_TEST(has("lentilcross_configuration_version 12.0"));
}

// Guards against bytes that are counted under the name of another kind.
BOOST_AUTO_TEST_CASE(sent_bytes_carry_the_message_kind) {
  DaemonStats stats = SomeStats();
  const std::vector<std::pair<PeerMessage, std::string>> kinds = {
      {Hello{}, "hello"},
      {Proof{}, "proof"},
      {Call{}, "call"},
      {Reply{}, "reply"},
      {Cancel{}, "cancel"},
      {CancelAck{}, "cancel-ack"},
      {Digest{}, "digest"},
      {ConfigRequest{}, "config-request"},
      {ConfigDelta{}, "config-delta"},
      {ConfigSnapshot{}, "config-snapshot"},
      {LoanRequest{}, "loan-request"},
      {LoanGrant{}, "loan-grant"},
      {LoanReturn{}, "loan-return"},
      {Leave{}, "leave"},
      {Ping{}, "ping"},
      {Pong{}, "pong"},
      {RegistryRequest{}, "registry-request"},
      {RegistryDelta{}, "registry-delta"},
      {LapsedHostList{}, "lapsed-hosts"}};
  BOOST_TEST(kinds.size() == stats.peers.bytes_sent.size());
  for (const auto& [message, name] : kinds) {
    stats.peers.bytes_sent[message.index()] = 100 + message.index();
  }
  const std::string text = MetricsText(stats, {});
  for (const auto& [message, name] : kinds) {
    const std::string line = "\nlentilcross_peer_sent_bytes_total{kind=\"" +
                             name + "\"} " +
                             std::to_string(100 + message.index()) + "\n";
    BOOST_TEST(text.find(line) != std::string::npos, name);
  }
}

// Guards against a summary whose quantiles are far off or out of order.
BOOST_AUTO_TEST_CASE(latency_quantiles_are_close) {
  LatencySummary summary;
  for (int i = 0; i < 10'000; ++i) {
    summary.Add(std::chrono::milliseconds((i * 7919) % 1000));
  }
  const LatencyStats stats = summary.stats();
  BOOST_TEST(stats.count == 10'000U);
  BOOST_TEST(std::abs(stats.p50_s - 0.5) < 0.02);
  BOOST_TEST(std::abs(stats.p99_s - 0.99) < 0.01);
  BOOST_TEST(stats.max_s == 0.999);
}

// Guards against a trail that grows without bound or loses the newest record.
BOOST_AUTO_TEST_CASE(audit_trail_is_bounded) {
  AuditTrail trail({4});
  for (std::uint64_t i = 1; i <= 10; ++i) trail.Add(RecordOf(i));
  std::istringstream lines(trail.ReadAfter(0));
  std::vector<std::uint64_t> numbers;
  for (std::string line; std::getline(lines, line);) {
    numbers.push_back(nlohmann::json::parse(line).at("number"));
  }
  const std::vector<std::uint64_t> expected = {7, 8, 9, 10};
  BOOST_TEST(numbers == expected);
  BOOST_TEST(trail.stats().dropped == 6U);
  BOOST_TEST(trail.ReadAfter(10).empty());
}

// Guards against a trail that outgrows the memory of the daemon when versions
// hold many organisations.
BOOST_AUTO_TEST_CASE(audit_trail_is_bounded_in_bytes) {
  AuditTrail trail({256, /*max_bytes=*/100000, /*max_listed=*/1000});
  AuditRecord record = RecordOf(1);
  record.unnamed_keys = 7;
  for (int i = 0; i < 5000; ++i) record.rates.push_back({"x", 1, 1});
  for (std::uint64_t i = 1; i <= 10; ++i) {
    record.version = Version(i);
    trail.Add(record);
  }
  const std::string text = trail.ReadAfter(0);
  BOOST_TEST(text.size() <= 100000U);
  const auto newest = nlohmann::json::parse(trail.ReadAfter(9));
  BOOST_TEST(newest.at("rates").size() == 1000U);
  BOOST_TEST(newest.at("organisation_count") == 5001U);
  BOOST_TEST(newest.at("key_count") == 8U);
}

// Guards against an endpoint that shows an old snapshot, answers writes, or
// misses a path.
BOOST_AUTO_TEST_CASE(operator_endpoint_answers) {
  RunningServer running;
  BOOST_TEST(running.Call("/live").status == 503);
  running.server->Update(SomeStats());
  BOOST_TEST(running.Call("/live").status == 200);
  BOOST_TEST(running.Call("/ready").status == 503);
  const auto status = nlohmann::json::parse(running.Call("/status").body);
  BOOST_TEST(status.at("version") == 12);
  BOOST_TEST(status.at("targets").at(0).at("in_flight") == 3);
  BOOST_TEST(status.at("findings").at(0).at("place") == "/keys");
  BOOST_TEST(running.Call("/metrics").status == 200);
  BOOST_TEST(running.Call("/other").status == 404);
  BOOST_TEST(running.Call("/status", "POST").status == 405);
  running.audit.Add(RecordOf(1));
  running.audit.Add(RecordOf(2));
  BOOST_TEST(running.Call("/audit?since=1").body.find("\"number\":2") !=
             std::string::npos);
  BOOST_TEST(running.Call("/audit?since=x").status == 400);
}

// Guards against a full ring that keeps old snapshots while nobody asks.
BOOST_AUTO_TEST_CASE(newest_snapshot_is_shown_after_a_quiet_time) {
  RunningServer running;
  DaemonStats stats = SomeStats();
  for (std::uint64_t i = 1; i <= 40; ++i) {
    stats.version = Version(i);
    running.server->Update(stats);
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  const auto status = nlohmann::json::parse(running.Call("/status").body);
  BOOST_TEST(status.at("version") == 40);
}

// Guards against a value that starts a new line and so forges an event.
BOOST_AUTO_TEST_CASE(log_events_stay_on_one_line) {
  BOOST_TEST(FormatEvent("peer-refused", {{"cause", "a b"}, {"host", "x"}}) ==
             "event=peer-refused cause=\"a b\" host=x");
  const std::string forged =
      FormatEvent("e", {{"detail", "x\nlevel=INFO event=forged \"y\""}});
  BOOST_TEST(forged.find('\n') == std::string::npos);
  BOOST_TEST(forged == R"(event=e detail="x\nlevel=INFO event=forged \"y\"")");
  BOOST_TEST(LoggerOf("peer-refused") == "peer");
  BOOST_TEST(LoggerOf("draining") == "daemon");
}

// Guards against a log ring that blocks its producer or loses drops.
BOOST_AUTO_TEST_CASE(full_log_ring_drops_and_counts) {
  const auto log = LogThread::Create({LogLevel::kError, {}});
  LogRing& ring = log->AddRing();
  log->Stop();
  for (int i = 0; i < LENTILCROSS_CONFIG_RING_CAPACITY + 5; ++i) {
    ring.Write(LogLevel::kInfo, "event", {});
  }
  BOOST_TEST(log->dropped() == 5U);
}

}  // namespace lentilcross
