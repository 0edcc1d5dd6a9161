#pragma once

#include <chrono>
#include <string>

#include "lentilcross/types.h"

namespace lentilcross {

/// Whole milliseconds, rounded towards zero, for log fields and queries.
inline std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace lentilcross
