#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "http_types.h"
#include "lentilcross/error.h"

namespace lentilcross {

/// Header names and statuses towards callers and targets. The default is the
/// interface of section 3.1 of the design; a platform adapter may bring
/// another. An empty name switches the header off.
struct HttpDialect {
  // From callers.
  std::string api_key{header::kApiKey};
  std::string timeout{header::kTimeout};

  // To targets, besides `timeout`.
  std::string context{header::kContext};
  std::string organisation{header::kOrganisation};
  std::string importance{header::kImportance};
  /// Service that runs on the host at which the request began.
  std::string caller_service;
  /// Name of the target that is meant; any other one refuses the request.
  std::string expected_target;
  /// Pass the caller's `Host` on in place of the target's address.
  bool forward_host = false;
  /// Name an organisation on open routes too.
  bool name_public_organisation = true;

  // From targets.
  /// Set by callers and echoed by targets. An answer with another value belongs
  /// to another request.
  std::string request_id;
  /// Where targets pass no context on: name of the request during which a
  /// target made the request with this name, or empty. What it says orders
  /// work, and gives no rights.
  std::function<std::string_view(std::string_view name)> parent_request_of;
  /// On every answer of a target; without it an answer is not genuine.
  std::string signature;
  /// On an answer: the target did not run the request.
  std::string not_run;

  // To callers.
  std::function<int(const Refusal&)> status_of = [](const Refusal& refusal) {
    return HttpStatus(refusal.reason);
  };
  /// `Retry-After` with fractions of a second.
  bool precise_retry_after = false;
};

/// `application/problem+json` for a refusal.
HttpResponse MakeProblem(const Refusal& refusal, const HttpDialect& dialect);

}  // namespace lentilcross
