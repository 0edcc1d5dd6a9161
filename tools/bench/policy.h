#pragma once

#include <optional>
#include <string>

namespace lentilcross::bench {

enum class Policy {
  kLentilcross,
  kNone,          ///< No control: targets queue without bound.
  kFixedLimit,    ///< A target refuses calls above its connections.
  kQueueTimeout,  ///< A target drops calls that waited 50 ms.
};

inline const char* ToString(Policy policy) {
  switch (policy) {
    case Policy::kLentilcross:
      return "lentilcross";
    case Policy::kNone:
      return "none";
    case Policy::kFixedLimit:
      return "fixed-limit";
    case Policy::kQueueTimeout:
      return "queue-timeout";
  }
  return "";
}

}  // namespace lentilcross::bench
