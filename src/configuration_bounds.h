#pragma once

#include <chrono>

#include "lentilcross/config.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

// Largest values that a configuration document may hold. A platform adapter
// must not compose a document beyond them: every host would refuse it.

// A longer timeout would keep call records and fences for too long.
inline constexpr Duration kMaxRouteTimeout = std::chrono::minutes(10);
inline constexpr Duration kMaxColdTime = std::chrono::minutes(10);
inline constexpr Duration kMaxHeaderTimeout = std::chrono::minutes(10);
inline constexpr Duration kMaxIdleTimeout = std::chrono::hours(1);
/// Of rates, bursts and cold rates.
inline constexpr double kMaxRate = kMaxQuantity;
inline constexpr double kMinWeight = 1e-3;
inline constexpr double kMaxWeight = 1e6;
/// Of one request, with the first.
inline constexpr int kMaxAttempts = 1 + LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS;

}  // namespace lentilcross
