#pragma once

#include "lentilcross/types.h"

namespace lentilcross {

/// What the entry daemon decided about a request. Made once, carried unchanged
/// in peer messages, except for `depth`.
struct RequestContext {
  RequestId id;
  OrganisationId organisation;
  Importance importance = Importance::kLookup;
  Version version;  ///< Configuration that judged the request.
  HostId entry_host;
  std::uint8_t depth = 0;  ///< 0 at entry; one more for each onward call.
};

}  // namespace lentilcross
