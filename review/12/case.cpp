// A new version of the configuration moves a route to another service, drops a
// key and lets clients keep idle connections for 15 minutes.

#include <iostream>
#include <string>
#include <vector>

#include "../common-3/lab.h"

namespace {

constexpr double kApplySeconds = 2.0;
constexpr double kPlaySeconds = 8.0;
constexpr int kIdleBefore = 15000;
constexpr int kIdleAfter = 900000;

std::string Version(int number, const std::string& service,
                    const std::vector<std::string>& keys, int idle_ms) {
  return lab::Configuration(
      number, {"stockroom", "catalogue"},
      {{"hulo84.example", "/leny950/", "idempotent", service}},
      {{"pulo780", keys}}, idle_ms);
}

struct Count {
  int sent = 0;
  int old_service = 0;
  int old_key = 0;
  int right = 0;
};

void SendOne(lab::Connection& connection, const std::string& key, bool dropped,
             Count& count) {
  const std::string id = lab::NewId();
  connection.Send(
      lab::Request("GET", "hulo84.example", "/leny950/2f?ms=5", id, key, 5000));
  lab::Message answer;
  const auto outcome = connection.Read(answer, 6000);
  lab::Write("client sends id=" + id + " key=" + key + ", gets status " +
             std::to_string(answer.status()) + " " + answer.body);
  if (outcome != lab::Connection::Outcome::kMessage) return;
  ++count.sent;
  const bool good = answer.status() == 200;
  const bool by_old = good && answer.body.find("from i-1") != std::string::npos;
  if (by_old) ++count.old_service;
  if (good && dropped) ++count.old_key;
  if (dropped ? answer.status() == 401 : good && !by_old) ++count.right;
}

int Play() {
  auto& deployment = lab::Deployment::Create();
  auto& first = deployment.Add("mb-winnipeg", "stockroom", 71);
  deployment.Add("mb-winnipeg", "catalogue", 71);
  deployment.StartStore();
  deployment.store.Put(
      "op/config",
      Version(7, "stockroom", {"key-one", "key-two"}, kIdleBefore));
  if (!deployment.StartAll()) return lab::kCannotRun;
  lab::SleepMs(4000);  // All machines are in touch (stable-ms is 3,000).

  lab::Connection connection;
  if (!connection.Open(first.ip, deployment.caller_port)) {
    return lab::kCannotRun;
  }
  Count before;
  SendOne(connection, "key-one", /*dropped=*/false, before);
  SendOne(connection, "key-two", /*dropped=*/false, before);
  if (before.old_service != 2) return lab::kCannotRun;
  deployment.store.Put("op/config",
                       Version(8, "catalogue", {"key-one"},
                               lab::HasTrouble() ? kIdleAfter : kIdleBefore));
  const double acknowledged = lab::Now();
  lab::Write("the store has version r8");
  Count after;
  while (lab::Now() < acknowledged + kPlaySeconds) {
    lab::SleepMs(100);
    Count ignored;
    Count& count = lab::Now() > acknowledged + kApplySeconds ? after : ignored;
    SendOne(connection, "key-one", /*dropped=*/false, count);
    SendOne(connection, "key-two", /*dropped=*/true, count);
  }
  const std::string summary =
      "later than config-apply-ms: " + std::to_string(after.sent) +
      " requests, " + std::to_string(after.old_service) +
      " run by the old service, " + std::to_string(after.old_key) +
      " run with the dropped key, " + std::to_string(after.right) + " right";
  lab::Write(summary);
  std::cout << summary << "\n";
  if (after.sent == 0) return lab::kCannotRun;
  return after.old_service + after.old_key > 0 ? lab::kBroken : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return lab::kCannotRun;
  lab::OpenRecord(argv[1]);
  const int status = Play();
  lab::Deployment::End();
  std::cout.flush();
  std::_Exit(status);
}
