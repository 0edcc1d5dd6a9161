#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lentilcross {

bool IsGzip(std::string_view bytes);

enum class GzipStatus : std::uint8_t { kOk, kMalformed, kTooLarge };

/// Decompresses one gzip member (RFC 1952) into `out`. `kTooLarge` if the
/// result is larger than `max_size`; bytes after the member are malformed.
GzipStatus Decompress(std::string_view bytes, std::size_t max_size,
                      std::string& out);

}  // namespace lentilcross
