// A new version of the configuration has no tenants any more, so that requests
// carry no key.

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "../common-3/lab.h"

namespace {

constexpr double kApplySeconds = 2.0;
constexpr double kPlaySeconds = 8.0;

struct Count {
  int sent = 0;
  int good = 0;
  int refused = 0;  ///< With 401.
};

void SendOne(lab::Connection& connection, const std::string& key,
             Count& count) {
  const std::string id = lab::NewId();
  connection.Send(
      lab::Request("GET", "hulo84.example", "/leny950/2f?ms=5", id, key, 5000));
  lab::Message answer;
  const auto outcome = connection.Read(answer, 6000);
  lab::Write("client sends id=" + id + (key.empty() ? " without a key" : "") +
             ", gets status " + std::to_string(answer.status()) + " " +
             answer.body);
  if (outcome != lab::Connection::Outcome::kMessage) return;
  ++count.sent;
  if (answer.status() == 200) ++count.good;
  if (answer.status() == 401) ++count.refused;
}

int Play() {
  auto& deployment = lab::Deployment::Create();
  deployment.Add("mb-winnipeg", "stockroom", 71);
  deployment.Add("mb-winnipeg", "stockroom", 71);
  deployment.Add("mb-brandon", "stockroom", 71);
  deployment.StartStore();
  const std::vector<lab::Route> routes = {
      {"hulo84.example", "/leny950/", "idempotent", "stockroom"}};
  const std::vector<lab::Tenant> tenants = {{"pulo780", {"key-of-pulo"}}};
  deployment.store.Put("op/config",
                       lab::Configuration(7, {"stockroom"}, routes, tenants));
  if (!deployment.StartAll()) return lab::kCannotRun;
  lab::SleepMs(4000);  // All machines are in touch (stable-ms is 3,000).

  std::vector<std::unique_ptr<lab::Connection>> connections;
  Count before;
  for (const auto& machine : deployment.machines) {
    connections.push_back(std::make_unique<lab::Connection>());
    if (!connections.back()->Open(machine->ip, deployment.caller_port)) {
      return lab::kCannotRun;
    }
    SendOne(*connections.back(), "key-of-pulo", before);
  }
  if (before.good != before.sent) return lab::kCannotRun;
  const bool trouble = lab::HasTrouble();
  deployment.store.Put(
      "op/config",
      lab::Configuration(8, {"stockroom"}, routes,
                         trouble ? std::vector<lab::Tenant>() : tenants));
  const double acknowledged = lab::Now();
  lab::Write(trouble ? "the store has version r8, without tenants"
                     : "the store has version r8, with the same tenants");
  lab::SleepMs(static_cast<int>(kApplySeconds * 1000) + 200);
  Count after;
  while (lab::Now() < acknowledged + kPlaySeconds) {
    for (auto& connection : connections) {
      SendOne(*connection, trouble ? "" : "key-of-pulo", after);
    }
    lab::SleepMs(100);
  }
  const std::string summary =
      "later than config-apply-ms: " + std::to_string(after.sent) +
      " requests, " + std::to_string(after.good) + " served, " +
      std::to_string(after.refused) + " refused with 401";
  lab::Write(summary);
  std::cout << summary << "\n";
  if (after.sent == 0) return lab::kCannotRun;
  return after.refused > 0 ? lab::kBroken : lab::kHeld;
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
