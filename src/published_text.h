#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "lentilcross/findings.h"

namespace lentilcross {

/// Parses a document from the platform: JSON with comments, optionally
/// compressed with gzip. Result and findings are those of `ParseJsonDocument`;
/// positions refer to the decompressed text.
std::optional<nlohmann::json> ParsePublishedText(std::string_view value,
                                                 Findings& findings);

}  // namespace lentilcross
