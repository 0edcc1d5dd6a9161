#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "lentilcross/types.h"

namespace lentilcross {

/// Result of a fallible factory or decoder. The error object is a `Findings`,
/// `Refusal` or `DecodeError`.
template <typename T>
using Result = boost::leaf::result<T>;

/// Reason for a refusal, reported to callers in `application/problem+json`.
/// The names are stable.
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
  kHomeUnreachable,  ///< No target in the home regions of the request.
  kTargetCold,       ///< The target bears no more calls while it is cold.
  kTargetBusy,       ///< Handed back, because another target may have room.
};
inline constexpr int kReasonCount = 25;

std::string_view ToString(Reason reason);
std::optional<Reason> ParseReason(std::string_view text);

/// HTTP status code for a reason.
int HttpStatus(Reason reason);

/// Whether a request that got no response from its target was executed.
/// `kNotRun` is set only if it is certain that it was not.
enum class Outcome : std::uint8_t { kNotRun, kUnknown };

std::string_view ToString(Outcome outcome);

/// A refusal by a daemon, returned instead of a response from a target.
struct Refusal {
  Reason reason = Reason::kNone;
  Outcome outcome = Outcome::kUnknown;
  Duration retry_after{};  ///< 0: unspecified.
  std::string detail;
};

/// Describes why a message from the network could not be decoded.
struct DecodeError {
  std::string text;
};

}  // namespace lentilcross
