#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "daemon_stats.h"

namespace lentilcross {

/// Counters of the operator's own modules.
struct ObservationStats {
  std::uint64_t log_dropped = 0;
  std::uint64_t audit_recorded = 0;
  std::uint64_t audit_dropped = 0;
  std::uint64_t operator_requests = 0;
  std::uint64_t operator_refused_connections = 0;
};

/// Prometheus text format, version 0.0.4.
std::string MetricsText(const DaemonStats& stats,
                        const ObservationStats& observation);

/// The document of `GET /status`.
nlohmann::json StatusDocument(const DaemonStats& stats);

}  // namespace lentilcross
