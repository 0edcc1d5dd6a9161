#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace lentilcross {

struct CborLimits {
  std::size_t depth = 8;
  /// Values of all kinds in the whole input. Each takes 16 bytes and more in
  /// memory, but may be a single byte of input.
  std::size_t values = 16384;
  bool objects = true;  ///< False: an object is malformed input.
};

/// Parses CBOR of an untrusted sender. Empty for malformed input, and as soon
/// as a limit is passed, so that neither the stack nor the heap depends on
/// what the input announces.
std::optional<nlohmann::json> ParseCbor(std::string_view bytes,
                                        const CborLimits& limits);

}  // namespace lentilcross
