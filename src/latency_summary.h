#pragma once

#include <memory>

#include "daemon_stats.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Running estimate of latency quantiles in constant memory (P-square
/// algorithm of Boost.Accumulators). Not safe on several threads.
class LatencySummary {
 public:
  LatencySummary();
  ~LatencySummary();
  LatencySummary(const LatencySummary&) = delete;
  LatencySummary& operator=(const LatencySummary&) = delete;

  void Add(Duration latency);
  LatencyStats stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
