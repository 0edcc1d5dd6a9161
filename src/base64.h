#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lentilcross {

/// Standard alphabet, with padding (RFC 4648, section 4).
std::string EncodeBase64(std::string_view bytes);
/// Empty for malformed text.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace lentilcross
