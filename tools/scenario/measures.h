#pragma once

#include <string>

#include "runner.h"

namespace lentilcross::scenario {

/// Prints one measured value as a line of JSON.
void PrintMeasure(const Runner& runner, const std::string& measure,
                  double value, const std::string& unit);

/// CPU time, memory and peer traffic of the daemons over some time.
Failure MeasureUsage(Runner& runner, const Step& step);

}  // namespace lentilcross::scenario
