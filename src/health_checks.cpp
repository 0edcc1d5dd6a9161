#include "health_checks.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include "duration_text.h"

namespace lentilcross {
namespace {

/// Interval of the checks of one target, and time after which one without an
/// answer is repeated.
constexpr Duration kInterval = std::chrono::milliseconds(250);
/// Longest cold start that an answer can state.
constexpr Duration kLongestColdStart = std::chrono::minutes(10);

/// Empty if it is malformed. Without the header the target is warm.
std::optional<Duration> ParseColdLeft(std::string_view text) {
  if (text.empty()) return Duration::zero();
  std::int64_t left_ms = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, left_ms);
  if (error != std::errc() || stop != end || left_ms < 0) return std::nullopt;
  return std::min<Duration>(std::chrono::milliseconds(left_ms),
                            kLongestColdStart);
}

}  // namespace

void HealthChecks::Start() {
  const Instant now = state_.Now();
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    LocalTargetState& target = targets_[i];
    const bool due = target.cold.InDoubt(now) && !target.health_path.empty() &&
                     now >= target.next_health_check;
    if (!due) continue;
    if (target.health_check != 0) client_.Cancel(target.health_check);
    target.next_health_check = now + kInterval;
    ++target.health_checks;
    target.health_check = client_.CheckHealth(
        target.settings.address, target.health_path,
        [weak = weak_from_this(), i](TargetConnections::Result&& result) {
          if (auto self = weak.lock()) self->OnResult(i, result);
        });
  }
}

void HealthChecks::OnResult(std::size_t index,
                            const TargetConnections::Result& result) {
  LocalTargetState& target = targets_[index];
  target.health_check = 0;
  if (result.failure != TargetConnections::Failure::kNone) return;
  const auto name = result.response.header(state_.dialect.target_name);
  // Another target may use the address by now.
  if (!name.empty() && name != target.registered_name) return;
  const auto left =
      ParseColdLeft(result.response.header(state_.dialect.cold_left_ms));
  if (!left) return;
  target.cold.OnHealth(*left, state_.Now());
  state_.Log(LogLevel::kInfo, "target-health",
             {{"target", target.registered_name},
              {"cold_ms", MillisecondsText(*left)}});
}

}  // namespace lentilcross
