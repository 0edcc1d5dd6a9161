#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "lentilcross/types.h"

namespace lentilcross {

/// Bounds the lines of each log event, so that the log stays small under load.
/// Lines over the bound are counted, and the count goes into the next one.
class LogLimiter {
 public:
  struct Init {
    double lines_per_second = 10;  ///< Of one event, on average.
    double burst = 40;             ///< Lines of one event at once.
  };
  struct Verdict {
    bool write = false;
    std::uint64_t left_out = 0;  ///< Lines since the last one that was written.
  };

  LogLimiter() = default;
  explicit LogLimiter(const Init& init) : init_(init) {}

  Verdict Admit(const std::string& event, Instant now);

 private:
  struct Bucket {
    double lines = 0;
    Instant filled{};
    std::uint64_t left_out = 0;
  };

  Init init_;
  std::unordered_map<std::string, Bucket> buckets_;
};

}  // namespace lentilcross
