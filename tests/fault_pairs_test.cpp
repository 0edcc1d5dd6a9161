#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "matrix/world.h"

namespace lentilcross::matrix {
namespace {

using std::chrono::milliseconds;

struct Counts {
  int run = 0;
  int ruled_out = 0;
  int failed = 0;
  int at_steps = 0;  ///< Run with the second fault at its step.
};

struct Cell {
  Step step;
  Fault a;
  Fault b;
  bool lookup;
};

std::uint64_t Seed() {
  const char* text = std::getenv("LENTILCROSS_MATRIX_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

std::string NameOf(Step step) {
  return std::string(kStepNames[static_cast<std::size_t>(step)]);
}

std::string NameOf(Fault fault) {
  return std::string(kFaultNames[static_cast<std::size_t>(fault)]);
}

/// Both faults in the order, and at the steps, that the seed gives.
std::vector<PlannedFault> Plan(const Cell& cell) {
  std::seed_seq numbers{
      static_cast<std::uint32_t>(Seed()), static_cast<std::uint32_t>(cell.step),
      static_cast<std::uint32_t>(cell.a), static_cast<std::uint32_t>(cell.b),
      static_cast<std::uint32_t>(cell.lookup)};
  std::mt19937 random(numbers);
  PlannedFault first{cell.step, cell.a};
  PlannedFault second{cell.step, cell.b};
  if (random() % 2 == 0) std::swap(first.fault, second.fault);
  const auto steps_left =
      kStepNames.size() - static_cast<std::size_t>(cell.step);
  second.step = static_cast<Step>(static_cast<std::size_t>(cell.step) +
                                  random() % steps_left);
  second.at_latest = milliseconds(1 + random() % 1000);
  return {first, second};
}

void RunCell(const Cell& cell, Counts& counts) {
  if (!RuledOut(cell.step, cell.a).empty() ||
      !RuledOut(cell.step, cell.b).empty()) {
    ++counts.ruled_out;
    return;
  }
  ++counts.run;
  const std::vector<PlannedFault> plan = Plan(cell);
  World world(plan, Seed());
  world.Run(cell.lookup);
  const std::string name =
      NameOf(plan[0].step) + " x " + NameOf(plan[0].fault) + ", then " +
      NameOf(plan[1].step) + " x " + NameOf(plan[1].fault) +
      (cell.lookup ? " (lookup)" : " (deposit)");
  if (world.struck_at_steps()) ++counts.at_steps;
  const auto violations = world.Violations();
  if (!violations.empty()) ++counts.failed;
  BOOST_TEST(world.struck(), name << ": a step was not reached");
  for (const std::string& violation : violations) {
    BOOST_ERROR(name << ": " << violation << " (seed " << Seed() << ")");
  }
}

// Guards against two faults that together break a promise which holds under
// each of them. The second fault strikes at the same step or at a later one. A
// pair is ruled out if one of its faults is, see `RuledOut`.
BOOST_AUTO_TEST_CASE(every_pair_of_faults_at_every_step) {
  Counts counts;
  for (std::size_t step = 0; step < kStepNames.size(); ++step) {
    for (std::size_t a = 1; a < kFaultNames.size(); ++a) {
      for (std::size_t b = a; b < kFaultNames.size(); ++b) {
        for (const bool lookup : {false, true}) {
          RunCell({static_cast<Step>(step), static_cast<Fault>(a),
                   static_cast<Fault>(b), lookup},
                  counts);
        }
      }
    }
  }
  std::printf(
      "fault pairs: %d cells run (second fault at its step in %d, "
      "up to 1 s later in the others), %d ruled out, %d failed\n",
      counts.run, counts.at_steps, counts.ruled_out, counts.failed);
}

}  // namespace
}  // namespace lentilcross::matrix
