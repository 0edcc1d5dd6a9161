#include "measures.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

namespace lentilcross::scenario {
namespace {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// Goodput counts as recovered at this fraction of its value before the trigger.
constexpr double kRecovered = 0.95;
constexpr std::chrono::milliseconds kStepOfRecovery(50);
constexpr std::chrono::seconds kWindowOfRecovery(1);
// The value before the trigger is taken over this time.
constexpr std::chrono::seconds kBefore(3);
// Requests that began before a surge still end in its first part, so fair parts
// are compared from here on.
constexpr std::chrono::milliseconds kSettle(300);

struct Lifetime {
  Clock::time_point begun;
  Clock::time_point ended;
  bool ok = false;
  std::string organisation;
};

struct Window {
  Clock::time_point begin;
  Clock::time_point end;

  bool Holds(Clock::time_point instant) const {
    return instant >= begin && instant < end;
  }
  double seconds() const { return Seconds(end - begin).count(); }
};

std::vector<Lifetime> ReadLifetimes(const Runner& runner) {
  std::vector<Lifetime> all;
  for (const auto& [name, load] : runner.loads) {
    std::ifstream file(load.lifetimes_path);
    std::int64_t begun = 0;
    std::int64_t ended = 0;
    for (Lifetime one; file >> begun >> ended >> one.ok >> one.organisation;) {
      one.begun = Clock::time_point(std::chrono::microseconds(begun));
      one.ended = Clock::time_point(std::chrono::microseconds(ended));
      all.push_back(one);
    }
  }
  return all;
}

double Completed(const std::vector<Lifetime>& all, const Window& window) {
  return static_cast<double>(
      std::count_if(all.begin(), all.end(), [&window](const Lifetime& one) {
        return one.ok && window.Holds(one.ended);
      }));
}

// Requests that could have been completed in the window: those that waited for
// an answer in it, at most what the slots of the bottleneck can finish.
double Possible(const Runner& runner, const std::vector<Lifetime>& all,
                const Window& window) {
  const auto waiting =
      std::count_if(all.begin(), all.end(), [&window](const Lifetime& one) {
        return one.begun < window.end && one.ended >= window.begin;
      });
  return std::min(static_cast<double>(waiting),
                  runner.fleet.Capacity() * window.seconds());
}

void PrintGoodput(const Runner& runner, const std::string& name,
                  const std::vector<Lifetime>& all, const Window& window) {
  const double completed = Completed(all, window);
  PrintMeasure(runner, "goodput_" + name,
               completed / Possible(runner, all, window),
               "of what was possible");
  PrintMeasure(runner, "capacity_used_" + name,
               completed / (runner.fleet.Capacity() * window.seconds()),
               "of the bottleneck's slots");
}

Window Before(const Runner& runner) {
  return {runner.trigger_began - kBefore, runner.trigger_began};
}

Failure MeasureGoodputBefore(Runner& runner, const Step&) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  PrintGoodput(runner, "before", ReadLifetimes(runner), Before(runner));
  return "";
}

Failure MeasureGoodputDuring(Runner& runner, const Step&) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  PrintGoodput(runner, "during", ReadLifetimes(runner),
               {runner.trigger_began, runner.trigger_ended});
  return "";
}

Failure MeasureGoodputAfter(Runner& runner, const Step& step) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  const std::chrono::milliseconds length(Milliseconds(step.at(0)));
  PrintGoodput(runner, "after", ReadLifetimes(runner),
               {runner.trigger_ended, runner.trigger_ended + length});
  return "";
}

// Time until the second that follows has enough goodput. The end of the last
// load bounds the search: -1 stands for "never".
Failure MeasureRecovery(Runner& runner, const Step& step) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  const auto all = ReadLifetimes(runner);
  const Window before = Before(runner);
  const double wanted = kRecovered * Completed(all, before) / before.seconds();
  const auto limit = runner.trigger_ended +
                     std::chrono::milliseconds(Milliseconds(step.at(0)));
  double recovery = -1;
  for (auto at = runner.trigger_ended; at <= limit; at += kStepOfRecovery) {
    const Window next{at, at + kWindowOfRecovery};
    if (Completed(all, next) / next.seconds() < wanted) continue;
    recovery = Seconds(at - runner.trigger_ended).count();
    break;
  }
  PrintMeasure(runner, "recovery", recovery, "s");
  return "";
}

// Max-min shares of `capacity` for organisations of equal weight.
std::map<std::string, double> FairParts(std::map<std::string, double> wanted,
                                        double capacity) {
  std::map<std::string, double> parts;
  while (!wanted.empty()) {
    const double equal = capacity / static_cast<double>(wanted.size());
    const auto least = std::min_element(
        wanted.begin(), wanted.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    const double part = std::min(least->second, equal);
    parts[least->first] = part;
    capacity -= part;
    wanted.erase(least);
  }
  return parts;
}

// What an organisation could get is what it sent from the settling on.
Failure MeasureWorstOrganisation(Runner& runner, const Step&) {
  Failure failure = runner.WaitForLoads();
  if (!failure.empty()) return failure;
  const Window window{runner.trigger_began + kSettle, runner.trigger_ended};
  std::map<std::string, double> begun;
  std::map<std::string, double> completed;
  for (const Lifetime& one : ReadLifetimes(runner)) {
    if (window.Holds(one.begun)) ++begun[one.organisation];
    if (one.ok && window.Holds(one.ended)) ++completed[one.organisation];
  }
  double worst = 1;
  for (const auto& [name, part] :
       FairParts(begun, runner.fleet.Capacity() * window.seconds())) {
    PrintMeasure(runner, "organisation_" + name, completed[name] / part,
                 "of its fair part");
    worst = std::min(worst, completed[name] / part);
  }
  PrintMeasure(runner, "worst_organisation", worst, "of its fair part");
  return "";
}

Failure Wait(Runner&, const Step& step) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Milliseconds(step.at(0))));
  return "";
}

}  // namespace

void PrintMeasure(const Runner& runner, const std::string& measure,
                  double value, const std::string& unit) {
  const nlohmann::json line = {{"measure", measure},
                               {"deployment", runner.fleet.deployment.name},
                               {"scenario", "processes-" + runner.scenario},
                               {"policy", "lentilcross"},
                               {"seed", runner.seed},
                               {"value", value},
                               {"unit", unit}};
  std::cout << line.dump() << std::endl;
}

std::vector<Statement> Measures() {
  return {
      {"wait <duration>", Wait},
      {"trigger begins",
       [](Runner& r, const Step&) {
         r.trigger_began = Clock::now();
         return Failure();
       }},
      {"trigger ends",
       [](Runner& r, const Step&) {
         r.trigger_ended = Clock::now();
         return Failure();
       }},
      {"measure load average",
       [](Runner& r, const Step&) {
         double average = 0;
         std::ifstream("/proc/loadavg") >> average;
         PrintMeasure(r, "load_average", average, "runnable threads, 1 min");
         return Failure();
       }},
      {"measure goodput before trigger", MeasureGoodputBefore},
      {"measure goodput during trigger", MeasureGoodputDuring},
      {"measure goodput after trigger for <duration>", MeasureGoodputAfter},
      {"measure recovery within <duration>", MeasureRecovery},
      {"measure worst organisation during trigger", MeasureWorstOrganisation},
      {"measure usage for <duration>", MeasureUsage},
  };
}

}  // namespace lentilcross::scenario
