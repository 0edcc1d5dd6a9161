// Embeds admission in front of a target of its own: 4 workers that take 10 ms a
// call, offered twice what they can serve. Deposits rank above lookups, so that
// lookups are shed. The time is virtual: the core takes it as an argument.
//
//   example-02-embed-admission

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <utility>
#include <vector>

#include "lentilcross/admission.h"

namespace {

using lentilcross::Duration;
using lentilcross::Importance;
using lentilcross::Instant;
using lentilcross::TargetAdmission;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 4;
constexpr Duration kServiceTime = milliseconds(10);
// 800 calls a second for 400 that can be served.
constexpr Duration kInterval = microseconds(1250);
constexpr Duration kRunTime = seconds(5);
constexpr Duration kTimeout = milliseconds(200);
// One call of four is a deposit.
constexpr int kDepositEvery = 4;

struct Counts {
  int offered = 0;
  int completed = 0;
  int refused = 0;
};

/// The workers of a target; a call that finds none free waits for one.
class Workers {
 public:
  /// Returns when the call ends.
  Instant Begin(Instant now) {
    Instant start = now;
    if (static_cast<int>(busy_until_.size()) == kWorkers) {
      start = std::max(start, busy_until_.top());
      busy_until_.pop();
    }
    busy_until_.push(start + kServiceTime);
    return start + kServiceTime;
  }

 private:
  std::priority_queue<Instant, std::vector<Instant>, std::greater<>>
      busy_until_;
};

class Program {
 public:
  Program() : admission_(TargetAdmission::Init()) {}

  void Run() {
    const Instant begin{seconds(1)};
    std::uint64_t number = 0;
    for (Instant now = begin; now < begin + kRunTime; now += kInterval) {
      FinishUntil(now);
      Apply(admission_.Tick(now), now);
      Offer(++number, now);
    }
    FinishUntil(begin + kRunTime + kTimeout);
  }

  const Counts& counts(Importance importance) { return counts_[importance]; }

 private:
  struct Running {
    std::uint64_t number;
    Instant begin;
  };

  void Offer(std::uint64_t number, Instant now) {
    TargetAdmission::Entry entry;
    entry.number = number;
    // The same for all calls of one request, so that they share its verdict.
    entry.request = {number * 0x9E3779B97F4A7C15, number};
    entry.organisation = lentilcross::OrganisationId::FromName("coopers");
    entry.importance = number % kDepositEvery == 0 ? Importance::kCritical
                                                   : Importance::kLookup;
    entry.deadline = now + kTimeout;
    importances_[number] = entry.importance;
    ++counts_[entry.importance].offered;
    Apply(admission_.Offer(entry, now), now);
  }

  void Apply(const TargetAdmission::Actions& actions, Instant now) {
    for (const std::uint64_t number : actions.start) {
      running_.emplace(workers_.Begin(now), Running{number, now});
    }
    for (const auto& refused : actions.refuse) {
      ++counts_[importances_.at(refused.number)].refused;
    }
  }

  void FinishUntil(Instant time) {
    while (!running_.empty() && running_.begin()->first <= time) {
      const auto [end, call] = *running_.begin();
      running_.erase(running_.begin());
      ++counts_[importances_.at(call.number)].completed;
      Apply(admission_.Finish(call.number,
                              lentilcross::ConcurrencyLimit::Sample::kOk, end),
            end);
    }
  }

  TargetAdmission admission_;
  Workers workers_;
  std::multimap<Instant, Running> running_;  ///< By the time they end.
  std::map<std::uint64_t, Importance> importances_;
  std::map<Importance, Counts> counts_;
};

}  // namespace

int main() {
  Program program;
  program.Run();
  const Counts deposits = program.counts(Importance::kCritical);
  const Counts lookups = program.counts(Importance::kLookup);
  for (const auto& [name, counts] :
       {std::pair("deposits", deposits), std::pair("lookups", lookups)}) {
    std::cout << name << ": " << counts.offered << " offered, "
              << counts.completed << " completed, " << counts.refused
              << " refused\n";
  }
  const bool deposits_first = deposits.completed == deposits.offered;
  const bool lookups_shed = lookups.refused > 0 && lookups.completed > 0;
  return deposits_first && lookups_shed ? 0 : 1;
}
