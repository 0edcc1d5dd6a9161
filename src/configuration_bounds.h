#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "lentilcross/config.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"
#include "peer_message_schema.h"

namespace lentilcross {

// Bounds of the values in a configuration document. Every host refuses a
// document beyond them, so that a platform adapter has to keep to them.

// A longer timeout would keep call records and fences for too long.
inline constexpr Duration kMaxRouteTimeout = std::chrono::minutes(10);
inline constexpr Duration kMaxColdTime = std::chrono::minutes(10);
inline constexpr Duration kMaxHeaderTimeout = std::chrono::minutes(10);
inline constexpr Duration kMaxIdleTimeout = std::chrono::hours(1);
/// Of rates, bursts and cold rates.
inline constexpr double kMaxRate = kMaxQuantity;
/// Of organisations and of the parts of a split.
inline constexpr double kMinWeight = 1e-3;
inline constexpr double kMaxWeight = 1e6;
/// Of one request, with the first.
inline constexpr int kMaxAttempts = 1 + LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS;

/// Which names a document may hold.
enum class NameRules : std::uint8_t {
  /// Names of a document that people write and check.
  kPlain,
  /// Whatever fits a header value and a peer message: names that were chosen at
  /// a platform, in documents of its adapter and of peers.
  kForeign,
};

/// Name of a service, organisation, failure domain or target: 1 to 256 bytes
/// without control characters, and without a blank at either end.
bool IsForeignName(std::string_view name);
/// Lower case, without a port.
bool IsForeignRouteHost(std::string_view host);
/// Prefix of a route with a host, which paths match byte by byte.
bool IsForeignPrefix(std::string_view prefix);

}  // namespace lentilcross
