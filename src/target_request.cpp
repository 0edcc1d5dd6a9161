#include "target_request.h"

#include <algorithm>

namespace lentilcross {

HttpRequest ToTargetRequest(const Call& call, const std::string& token,
                            Duration remaining,
                            const Configuration* configuration) {
  HttpRequest request{call.method, call.path, call.headers, call.body};
  const auto remaining_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
  std::string organisation(kPublicOrganisation);
  if (configuration != nullptr) {
    const auto it =
        configuration->organisations.find(call.context.organisation);
    if (it != configuration->organisations.end()) {
      organisation = it->second.name;
    }
  }
  request.headers.emplace_back(header::kContext, token);
  request.headers.emplace_back(
      header::kTimeout,
      std::to_string(std::max<std::int64_t>(remaining_ms.count(), 1)));
  request.headers.emplace_back(header::kOrganisation, organisation);
  request.headers.emplace_back(header::kImportance,
                               ToString(call.context.importance));
  return request;
}

}  // namespace lentilcross
