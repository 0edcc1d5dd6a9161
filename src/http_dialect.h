#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "http_types.h"
#include "lentilcross/error.h"

namespace lentilcross {

/// Header names and status codes used with callers and targets. The defaults
/// are the interface of section 3.1 of the design; a platform adapter may
/// replace them. An empty name disables the header.
struct HttpDialect {
  // From callers.
  std::string api_key{header::kApiKey};
  std::string timeout{header::kTimeout};

  // To targets, besides `timeout`.
  std::string context{header::kContext};
  std::string organisation{header::kOrganisation};
  std::string importance{header::kImportance};
  /// Service on the host where the request entered.
  std::string caller_service;
  /// Name of the intended target; any other target refuses the request.
  std::string expected_target;
  /// Forward the caller's `Host` header instead of the target's address.
  bool forward_host = false;
  /// Send `organisation` on public routes, too.
  bool send_organisation_on_public_routes = true;

  // From targets.
  /// Set by callers and echoed by targets. A response with another value
  /// belongs to another request.
  std::string request_id;
  /// For targets that don't forward the context header: returns the id of the
  /// request during which a target made the request `name`, or an empty string.
  /// The result only affects priority and shedding; it grants no rights.
  std::function<std::string_view(std::string_view name)> parent_request_of;
  /// On every response of a target; a response without it is not genuine.
  std::string signature;
  /// On a response: the target did not run the request.
  std::string not_run;
  /// Load of the target: running and waiting requests, slots and, where its
  /// speed varies, how long work takes there now, separated by commas.
  std::string target_load;
  /// On the response to a health check: name of the target, and the
  /// milliseconds for which it stays cold.
  std::string target_name;
  std::string cold_left_ms;

  // To callers.
  std::function<int(const Refusal&)> status_of = [](const Refusal& refusal) {
    return HttpStatus(refusal.reason);
  };
  /// `Retry-After` with fractions of a second.
  bool precise_retry_after = false;
};

/// Response for a refusal, as `application/problem+json`.
HttpResponse MakeProblem(const Refusal& refusal, const HttpDialect& dialect);

}  // namespace lentilcross
