#pragma once

#include <string>

#include "http_dialect.h"
#include "lentilcross/peer_message.h"

namespace lentilcross {

/// Returns the request to the target of a call: the caller's request with the
/// headers of the dialect. `expected_target` may be empty.
HttpRequest ToTargetRequest(const Call& call, const std::string& token,
                            const std::string& expected_target,
                            Duration remaining, const HttpDialect& dialect);

}  // namespace lentilcross
