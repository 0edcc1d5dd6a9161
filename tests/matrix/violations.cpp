#include <algorithm>
#include <nlohmann/json.hpp>

#include "world.h"

namespace lentilcross::matrix {
namespace {

using std::chrono::milliseconds;

constexpr double kFloodRate = 5;
constexpr double kFloodBurst = 4;
/// All hosts have applied a published change by then.
constexpr Duration kPublished = milliseconds(100);
constexpr Duration kLeavingKnown = std::chrono::seconds(1);

bool IsFront(const Execution& execution) {
  return execution.path == "/stock" || execution.path == "/deposits";
}

bool SaysNotRun(const Attempt& attempt) {
  if (attempt.response.header("Content-Type") != "application/problem+json") {
    return false;
  }
  const auto body =
      nlohmann::json::parse(attempt.response.body, nullptr, false);
  return body.is_object() && body.value("outcome", "") == "not-run";
}

}  // namespace

std::vector<std::string> World::Violations() const {
  std::vector<std::string> list;
  std::map<std::string, int> deposits;
  std::map<std::string, int> ledgers;
  std::map<std::string, int> fronts;
  std::set<std::string> flood;
  Instant flood_end = flood_began_;
  std::map<std::string, const Attempt*> by_id;
  for (const auto& attempt : attempts_) by_id[attempt->id] = attempt.get();
  for (const Execution& execution : executions_) {
    const auto sender = by_id.find(execution.attempt);
    if (sender != by_id.end() && execution.at > sender->second->deadline) {
      list.push_back("P6: a call was written after its deadline");
    }
    if (execution.path == "/deposits") ++deposits[execution.ticket];
    if (execution.path == "/ledger") ++ledgers[execution.ticket];
    const bool front = IsFront(execution);
    if (front) ++fronts[execution.attempt];
    const bool of_flood = execution.attempt.rfind("flood", 0) == 0;
    if (front && of_flood) {
      flood.insert(execution.attempt);
      flood_end = std::max(flood_end, execution.at);
    }
    const std::string owner = of_flood ? "flood" : "coopers";
    if (execution.saw_key) list.push_back("P3: a target saw a key");
    if (execution.organisation != owner) {
      list.push_back("P3: ran for " + execution.organisation);
    }
    const auto left = leaving_.find(execution.host);
    if (left != leaving_.end() && execution.at > left->second + kLeavingKnown) {
      list.push_back("P8: new work at a leaving host");
    }
  }
  for (const auto& [ticket, count] : deposits) {
    if (count > 1) list.push_back("P7: a deposit ran twice");
  }
  for (const auto& [ticket, count] : ledgers) {
    if (count > 1) list.push_back("P7: an onward deposit ran twice");
  }
  const std::chrono::duration<double> window = flood_end - flood_began_;
  if (static_cast<double>(flood.size()) >
      kFloodRate * window.count() + kFloodBurst) {
    list.push_back("P4: " + std::to_string(flood.size()) +
                   " admitted, above rate and burst");
  }
  for (const auto& attempt : attempts_) {
    const auto it = fronts.find(attempt->id);
    const int runs = it == fronts.end() ? 0 : it->second;
    const auto calls = calls_.find(attempt->id);
    if (runs > 3 || (calls != calls_.end() && calls->second > 3)) {
      list.push_back("P1: more than two extra attempts");
    }
    if (attempt->abandoned || attempt->entry_died) continue;
    if (!attempt->answered) {
      list.push_back("P5: no answer to " + attempt->id);
      continue;
    }
    if (attempt->response.status == 200 &&
        attempt->response.body != attempt->expected_body) {
      list.push_back("P5: wrong answer " + attempt->response.body);
    }
    if (SaysNotRun(*attempt) && runs > 0) {
      list.push_back("P6: \"not run\" is false for " + attempt->id);
    }
    if (withdrawn_at_ != Instant::max() && runs > 0 &&
        attempt->sent > withdrawn_at_ + kPublished) {
      list.push_back("P3: ran with a withdrawn key");
    }
    const std::string host = attempt->id.substr(0, attempt->id.find('#'));
    const bool at_leaving = leaving_.count(host) != 0;
    const bool all_leave = leaving_.size() == 2;
    if (attempt->probe && Has(Fault::kKeyWithdrawn) && !at_leaving &&
        attempt->response.status != 403) {
      list.push_back("P3: a withdrawn key works");
    }
    if (attempt->probe && !Has(Fault::kKeyWithdrawn) &&
        !Has(Fault::kPresetSwitched) && !at_leaving && !all_leave &&
        attempt->response.status != 200) {
      list.push_back("no recovery after the fault: " + attempt->response.body);
    }
    const bool must_succeed =
        HasOnly({Fault::kNone, Fault::kTargetHostLeaves}) && !at_leaving &&
        !all_leave;
    if (must_succeed && attempt->response.status != 200) {
      list.push_back("P9: cut request " + attempt->id + " " +
                     attempt->response.body);
    }
  }
  for (const auto& [name, node] : nodes_) {
    if (node->state_->configuration->version != configuration_->version) {
      list.push_back("P10: " + name + " has an old version");
    }
  }
  return list;
}

}  // namespace lentilcross::matrix
