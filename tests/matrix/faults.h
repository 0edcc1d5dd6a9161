#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace lentilcross::matrix {

/// Steps of a request and of control at which a fault strikes, in the order of
/// a request from the entry daemon to a target with an onward call and back.
enum class Step : std::uint8_t {
  kAccepted,
  kLoanAsked,
  kLoanGranted,
  kCallSent,
  kCallReceived,
  kConnecting,
  kWritten,
  kRunning,
  kOnwardAsked,
  kOnwardWritten,
  kAnswerWhole,
  kReplySent,
  kReplyReceived,
  kAnswered,
};
inline constexpr std::array<std::string_view, 14> kStepNames = {
    "accepted",       "loan-asked",     "loan-granted", "call-sent",
    "call-received",  "connecting",     "written",      "running",
    "onward-asked",   "onward-written", "answer-whole", "reply-sent",
    "reply-received", "answered"};

enum class Fault : std::uint8_t {
  kNone,
  kEntryKilled,
  kTargetHostKilled,
  kEntryPaused,
  kTargetHostPaused,
  kLinkReset,
  kLinkSilent,
  kPartitionOneWay,
  kPartition,
  kPlatformDown,
  kPlatformStale,
  kKeyWithdrawn,
  kPresetSwitched,
  kTargetSlow,
  kTargetShedding,
  kTargetCold,
  kDuplicateDelivery,
  kReorderedDelivery,
  kLateAnswer,
  kTargetHostLeaves,
  kCallerGone,
};
inline constexpr std::array<std::string_view, 21> kFaultNames = {
    "none",
    "entry-killed",
    "target-host-killed",
    "entry-paused",
    "target-host-paused",
    "link-reset",
    "link-silent",
    "partition-one-way",
    "partition",
    "platform-down",
    "platform-stale",
    "key-withdrawn",
    "preset-switched",
    "target-slow",
    "target-shedding",
    "target-cold",
    "duplicate-delivery",
    "reordered-delivery",
    "late-answer",
    "target-host-leaves",
    "caller-gone"};

/// Why a fault cannot occur or has no effect at a step; empty if the cell runs.
inline std::string_view RuledOut(Step step, Fault fault) {
  if (fault == Fault::kPlatformDown || fault == Fault::kPlatformStale) {
    return "no step of a request or a loan reads the platform; the spread "
           "tests cover its faults";
  }
  if (step == Step::kAnswered && fault == Fault::kCallerGone) {
    return "the caller has its answer";
  }
  return {};
}

}  // namespace lentilcross::matrix
