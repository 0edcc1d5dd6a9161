#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "lentilcross/findings.h"

namespace lentilcross {

/// Parses a document as the platform holds it: JSON with comments, as text or
/// compressed with gzip. Empty, with findings, as `ParseJsonDocument`; a place
/// is the one in the decompressed text.
std::optional<nlohmann::json> ParsePublishedText(std::string_view value,
                                                 Findings& findings);

}  // namespace lentilcross
