#pragma once

#include <string>

#include "http_types.h"
#include "lentilcross/configuration.h"
#include "lentilcross/peer_message.h"

namespace lentilcross {

/// Request to a target for a call: the caller's request with the headers of
/// section 3.1 of the design. `configuration` may be null.
HttpRequest ToTargetRequest(const Call& call, const std::string& token,
                            Duration remaining,
                            const Configuration* configuration);

}  // namespace lentilcross
