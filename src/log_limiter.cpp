#include "log_limiter.h"

#include <algorithm>
#include <utility>

namespace lentilcross {

LogLimiter::Verdict LogLimiter::Admit(const std::string& event, Instant now) {
  const auto [it, is_new] = buckets_.try_emplace(event);
  Bucket& bucket = it->second;
  if (is_new) {
    bucket.lines = init_.burst;
  } else {
    const std::chrono::duration<double> elapsed = now - bucket.filled;
    bucket.lines = std::min(
        init_.burst, bucket.lines + elapsed.count() * init_.lines_per_second);
  }
  bucket.filled = now;
  if (bucket.lines < 1) {
    ++bucket.left_out;
    return {};
  }
  bucket.lines -= 1;
  return {true, std::exchange(bucket.left_out, 0)};
}

}  // namespace lentilcross
