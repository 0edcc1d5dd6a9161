// Measures the decisions of the core on chains of fake targets in virtual time.
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <thread>

#include "measures.h"

namespace lentilcross::bench {
namespace {

constexpr Policy kPolicies[] = {Policy::kLentilcross, Policy::kNone,
                                Policy::kFixedLimit, Policy::kQueueTimeout};

struct Selection {
  std::vector<std::string> scenarios;  ///< Name prefixes; empty: all.
  std::vector<std::string> policies;
  std::vector<std::string> deployments;
  std::vector<int> depths;
  std::vector<std::uint64_t> seeds;
  bool series = false;
};

template <typename T>
bool Selected(const std::vector<T>& wanted, const T& value) {
  return wanted.empty() ||
         std::find(wanted.begin(), wanted.end(), value) != wanted.end();
}

bool SelectedName(const std::vector<std::string>& prefixes,
                  const std::string& name) {
  return prefixes.empty() ||
         std::any_of(prefixes.begin(), prefixes.end(), [&](const auto& prefix) {
           return name.compare(0, prefix.size(), prefix) == 0;
         });
}

std::vector<RunSpec> Specs(const Selection& selection) {
  std::vector<RunSpec> specs;
  for (const Scenario& scenario : AllScenarios()) {
    if (!SelectedName(selection.scenarios, scenario.name)) continue;
    for (const Policy policy : kPolicies) {
      const std::string name = ToString(policy);
      if (!Selected(selection.policies, name)) continue;
      for (const auto& deployment : selection.deployments) {
        for (const int depth : selection.depths) {
          for (const std::uint64_t seed : selection.seeds) {
            specs.push_back({deployment, depth, scenario, policy, seed,
                             selection.series && !scenario.steady()});
          }
        }
      }
    }
  }
  return specs;
}

void RunAll(const std::vector<RunSpec>& specs, int jobs) {
  std::atomic<std::size_t> next{0};
  std::mutex output;
  const auto work = [&] {
    for (std::size_t i = next++; i < specs.size(); i = next++) {
      const auto measures = Run(specs[i]);
      const std::lock_guard<std::mutex> lock(output);
      for (const Measure& measure : measures) {
        std::cout << ToJson(specs[i], measure) << '\n';
      }
      std::cout.flush();
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(jobs));
  for (int i = 0; i < jobs; ++i) threads.emplace_back(work);
  for (auto& thread : threads) thread.join();
}

}  // namespace
}  // namespace lentilcross::bench

int main(int argc, char** argv) {
  using Strings = std::vector<std::string>;
  cxxopts::Options options("lentilcross_bench",
                           "Runs scenarios in virtual time and prints one JSON "
                           "object per measure.");
  options.add_options()("scenario", "name prefixes", cxxopts::value<Strings>())(
      "policy", "names", cxxopts::value<Strings>())(
      "deployment", "names",
      cxxopts::value<Strings>()->default_value("cedarhoop,brierley"))(
      "depth", "chain depths",
      cxxopts::value<std::vector<int>>()->default_value("4,21"))(
      "seed", "seeds",
      cxxopts::value<std::vector<std::uint64_t>>()->default_value("1"))(
      "series", "also goodput over time")(
      "jobs", "threads", cxxopts::value<int>()->default_value("3"))("help", "");
  try {
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    lentilcross::bench::Selection selection;
    if (given.count("scenario") > 0) {
      selection.scenarios = given["scenario"].as<Strings>();
    }
    if (given.count("policy") > 0) {
      selection.policies = given["policy"].as<Strings>();
    }
    selection.deployments = given["deployment"].as<Strings>();
    selection.depths = given["depth"].as<std::vector<int>>();
    selection.seeds = given["seed"].as<std::vector<std::uint64_t>>();
    selection.series = given.count("series") > 0;
    lentilcross::bench::RunAll(lentilcross::bench::Specs(selection),
                               given["jobs"].as<int>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  return 0;
}
