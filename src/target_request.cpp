#include "target_request.h"

#include <algorithm>

#include "lentilcross/configuration.h"

namespace lentilcross {

namespace {

/// Returns the organisation to name to the target. For a call on an open route
/// or without an organisation, that is the public one, or empty if the dialect
/// does not name it.
std::string OrganisationName(const Call& call, const HttpDialect& dialect) {
  // The configuration of this host may be older or newer than the one that the
  // call was admitted with, so that it may not list the organisation.
  if (!call.open && call.context.organisation.valid()) {
    return call.context.organisation_name;
  }
  if (!dialect.send_organisation_on_public_routes) return {};
  return std::string(kPublicOrganisation);
}

}  // namespace

HttpRequest ToTargetRequest(const Call& call, const std::string& token,
                            const std::string& expected_target,
                            Duration remaining, const HttpDialect& dialect) {
  HttpRequest request{call.method, call.path, call.headers, call.body};
  const auto remaining_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
  const auto add = [&request](const std::string& name, std::string value) {
    if (name.empty() || value.empty()) return;
    request.headers.emplace_back(name, std::move(value));
  };
  add(dialect.context, token);
  add(dialect.timeout,
      std::to_string(std::max<std::int64_t>(remaining_ms.count(), 1)));
  add(dialect.organisation, OrganisationName(call, dialect));
  add(dialect.importance, std::string(ToString(call.context.importance)));
  add(dialect.expected_target, expected_target);
  return request;
}

}  // namespace lentilcross
