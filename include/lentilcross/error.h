#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "lentilcross/types.h"

namespace lentilcross {

/// Result of a fallible factory or decoder. The error objects that travel with
/// it are `Findings`, `Refusal` or `DecodeError`.
template <typename T>
using Result = boost::leaf::result<T>;

/// Stable reason of a refusal, as callers see it in `application/problem+json`.
enum class Reason : std::uint8_t {
  kNone,
  kBadRequest,
  kPayloadTooLarge,
  kUnknownRoute,
  kMissingKey,
  kUnknownKey,
  kWithdrawnKey,
  kContextInvalid,
  kRateExceeded,
  kOverloaded,
  kNotReady,
  kDraining,
  kConfigurationStale,
  kNoTarget,
  kDeadlineExceeded,
  kAttemptsExhausted,
  kTicketRequired,
  kTicketInvalid,
  kTicketInUse,
  kAlreadyRun,
  kTicketIssuerUnreachable,
  kTargetFailed,
};
inline constexpr int kReasonCount = 22;

std::string_view ToString(Reason reason);
std::optional<Reason> ParseReason(std::string_view text);

/// HTTP status code that goes with a reason.
int HttpStatus(Reason reason);

/// What is known about the execution of a request that got no answer of its
/// target. `kNotRun` is proof; anything less is `kUnknown`.
enum class Outcome : std::uint8_t { kNotRun, kUnknown };

std::string_view ToString(Outcome outcome);

/// A refusal by a daemon, in place of an answer of a target.
struct Refusal {
  Reason reason = Reason::kNone;
  Outcome outcome = Outcome::kUnknown;
  Duration retry_after{};  ///< 0: no advice.
  std::string detail;
};

/// Why bytes from the network were not accepted.
struct DecodeError {
  std::string text;
};

}  // namespace lentilcross
