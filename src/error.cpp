#include "lentilcross/error.h"

#include <array>

namespace lentilcross {
namespace {

struct ReasonEntry {
  std::string_view name;
  int http_status;
};

constexpr std::array<ReasonEntry, kReasonCount> kReasons = {{
    {"none", 200},
    {"bad-request", 400},
    {"payload-too-large", 413},
    {"unknown-route", 404},
    {"missing-key", 401},
    {"unknown-key", 401},
    {"withdrawn-key", 403},
    {"context-invalid", 403},
    {"rate-exceeded", 429},
    {"overloaded", 503},
    {"not-ready", 503},
    {"draining", 503},
    {"configuration-stale", 503},
    {"no-target", 503},
    {"deadline-exceeded", 504},
    {"attempts-exhausted", 503},
    {"ticket-required", 428},
    {"ticket-invalid", 422},
    {"ticket-in-use", 409},
    {"already-run", 409},
    {"ticket-issuer-unreachable", 503},
    {"target-failed", 502},
    {"home-unreachable", 503},
    {"target-cold", 503},
    {"target-busy", 503},
}};

}  // namespace

std::string_view ToString(Reason reason) {
  return kReasons[static_cast<std::size_t>(reason)].name;
}

std::optional<Reason> ParseReason(std::string_view text) {
  for (std::size_t i = 0; i < kReasons.size(); ++i) {
    if (kReasons[i].name == text) return static_cast<Reason>(i);
  }
  return std::nullopt;
}

int HttpStatus(Reason reason) {
  return kReasons[static_cast<std::size_t>(reason)].http_status;
}

std::string_view ToString(Outcome outcome) {
  return outcome == Outcome::kNotRun ? "not-run" : "unknown";
}

}  // namespace lentilcross
