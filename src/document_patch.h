#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lentilcross {

/// Returns a JSON Patch (RFC 6902), encoded as CBOR, that transforms `from`
/// into `to`; nothing if it has more than `max_size` bytes. Both are objects
/// as written by `nlohmann::json::to_cbor`. Needs no memory besides the patch,
/// except for arrays that differ.
std::optional<std::string> MakeCborPatch(std::string_view from,
                                         std::string_view to,
                                         std::size_t max_size);

}  // namespace lentilcross
