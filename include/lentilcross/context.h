#pragma once

#include <string>

#include "lentilcross/types.h"

namespace lentilcross {

/// Admission result for a request, created by the entry daemon. Peer messages
/// carry it unchanged, except for `depth`.
struct RequestContext {
  RequestId id;
  OrganisationId organisation;
  /// Name to tell the target. Empty for organisation 0.
  std::string organisation_name;
  Importance importance = Importance::kLookup;
  Version version;  ///< Configuration used for admission.
  HostId entry_host;
  std::uint8_t depth = 0;  ///< 0 at entry; +1 for each onward call.
  /// Of the organisation and of all routes passed so far.
  HomeRegions home_regions;
};

}  // namespace lentilcross
