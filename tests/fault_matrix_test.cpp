#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "matrix/control_world.h"
#include "matrix/world.h"

namespace lentilcross::matrix {
namespace {

struct Counts {
  int run = 0;
  int ruled_out = 0;
  int failed = 0;
};

std::uint64_t Seed() {
  const char* text = std::getenv("LENTILCROSS_MATRIX_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

void RunCell(Step step, Fault fault, bool lookup, Counts& counts) {
  const std::string name =
      std::string(kStepNames[static_cast<std::size_t>(step)]) + " x " +
      std::string(kFaultNames[static_cast<std::size_t>(fault)]) +
      (lookup ? " (lookup)" : " (deposit)");
  const std::string_view reason = RuledOut(step, fault);
  if (!reason.empty()) {
    ++counts.ruled_out;
    BOOST_TEST_MESSAGE(name << ": ruled out, " << reason);
    return;
  }
  ++counts.run;
  World world({{step, fault}}, Seed());
  world.Run(lookup);
  const auto violations = world.Violations();
  if (!violations.empty()) ++counts.failed;
  BOOST_TEST(world.struck(), name << ": the step was not reached");
  for (const std::string& violation : violations) {
    BOOST_ERROR(name << ": " << violation << " (seed " << Seed() << ")");
  }
}

void RunControlCell(ControlStep step, ControlFault fault, Counts& counts) {
  const std::string name =
      std::string(kControlStepNames[static_cast<std::size_t>(step)]) + " x " +
      std::string(kControlFaultNames[static_cast<std::size_t>(fault)]);
  const std::string_view reason = RuledOut(step, fault);
  if (!reason.empty()) {
    ++counts.ruled_out;
    BOOST_TEST_MESSAGE(name << ": ruled out, " << reason);
    return;
  }
  ++counts.run;
  ControlWorld world(step, fault, Seed());
  world.Run();
  if (!world.violations().empty()) ++counts.failed;
  BOOST_TEST(world.struck(), name << ": the step was not reached");
  for (const std::string& violation : world.violations()) {
    BOOST_ERROR(name << ": " << violation << " (seed " << Seed() << ")");
  }
}

void Print(const char* matrix, const Counts& counts) {
  std::printf("%s: %d cells run, %d ruled out, %d failed\n", matrix, counts.run,
              counts.ruled_out, counts.failed);
}

// Guards against a fault that breaks one of the promises of the design at some
// step of a request or of a loan. Every cell runs the request path of the
// daemon in virtual time.
BOOST_AUTO_TEST_CASE(every_fault_at_every_step) {
  Counts counts;
  for (std::size_t step = 0; step < kStepNames.size(); ++step) {
    for (std::size_t fault = 0; fault < kFaultNames.size(); ++fault) {
      for (const bool lookup : {false, true}) {
        RunCell(static_cast<Step>(step), static_cast<Fault>(fault), lookup,
                counts);
      }
    }
  }
  Print("fault matrix", counts);
}

// Guards against a fault during the spread of a configuration or a change of
// the members that takes a version or a withdrawal of a key back, keeps a
// version from hosts that are connected, or sends work to a leaving host.
BOOST_AUTO_TEST_CASE(every_fault_at_every_step_of_control) {
  Counts counts;
  for (std::size_t step = 0; step < kControlStepNames.size(); ++step) {
    for (std::size_t fault = 0; fault < kControlFaultNames.size(); ++fault) {
      RunControlCell(static_cast<ControlStep>(step),
                     static_cast<ControlFault>(fault), counts);
    }
  }
  Print("fault matrix of control", counts);
}

}  // namespace
}  // namespace lentilcross::matrix
