#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy.h"
#include "scenario.h"

namespace lentilcross::bench {

/// One line of output.
struct Measure {
  std::string name;
  double value = 0;
  std::string unit;
  double time = -1;  ///< Seconds of virtual time, for a series.
};

struct RunSpec {
  std::string deployment;
  int depth = 4;
  Scenario scenario;
  Policy policy = Policy::kLentilcross;
  std::uint64_t seed = 1;
  bool series = false;
};

/// Runs one scenario in virtual time.
std::vector<Measure> Run(const RunSpec& spec);

/// The line that goes with a measure.
std::string ToJson(const RunSpec& spec, const Measure& measure);

}  // namespace lentilcross::bench
