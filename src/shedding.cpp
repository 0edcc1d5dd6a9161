#include "lentilcross/shedding.h"

#include <algorithm>
#include <random>

#include "lentilcross/config.h"

namespace lentilcross {
namespace {

using Seconds = std::chrono::duration<double>;

// The targets of one service state different levels, which are averaged. The
// smoothing factor grows with the time since the last reply. With a shorter
// time, a small organisation, which gets few replies, would follow the level of
// the last target alone.
constexpr double kMinSmoothing = 0.1;
constexpr Seconds kSmoothingTime{0.5};
// The levels of organisations arrive at different times, so that the level of
// one may still be at a lower importance than that of another. Within this time
// after an admission, requests of higher importance are not refused.
constexpr Duration kAdmittedWindow = std::chrono::milliseconds(20);
// Services of one route. A request passes at most MAX_DEPTH services in a row,
// but calls may branch.
constexpr std::size_t kMaxServices =
    std::size_t{4} * LENTILCROSS_CONFIG_MAX_DEPTH;
constexpr Duration kRetryAfter = std::chrono::milliseconds(500);

}  // namespace

std::uint32_t RankOf(Importance importance, const RequestId& request) {
  const std::uint64_t hash = CombineHash(request.high, request.low);
  return (static_cast<std::uint32_t>(importance) << kRankHashBits) |
         static_cast<std::uint32_t>(hash >> (64 - kRankHashBits));
}

Importance ImportanceOfOnwardCalls(Importance request) {
  return request >= Importance::kStandard ? Importance::kCritical
                                          : Importance::kStandard;
}

std::uint32_t TranslateLevel(std::uint32_t level, Importance from,
                             Importance to) {
  const auto at = static_cast<Importance>(level >> kRankHashBits);
  if (at < from) return 0;
  const auto first = static_cast<std::uint32_t>(to) << kRankHashBits;
  if (at > from) return first + (1U << kRankHashBits) - 1;
  return first | (level & ((1U << kRankHashBits) - 1));
}

// A level that no reply confirms stays for its lifetime and then falls to 0
// linearly within another lifetime, so that the end of shedding causes no
// burst.
double EntryGate::Current(const Level& level, Instant now) const {
  const Duration age = now - level.received_at;
  if (age <= init_.level_lifetime) return level.level;
  const double faded =
      Seconds(age).count() / Seconds(init_.level_lifetime).count() - 1;
  return level.level * std::max(0.0, 1 - faded);
}

std::uint32_t EntryGate::level(RouteId route, OrganisationId organisation,
                               Instant now) const {
  const auto found = levels_.find({route, organisation});
  if (found == levels_.end()) return 0;
  double highest = 0;
  for (const Level& level : found->second) {
    highest = std::max(highest, Current(level, now));
  }
  return static_cast<std::uint32_t>(highest);
}

bool EntryGate::LowerAdmitted(const AdmittedAt& admitted, Importance importance,
                              Instant now) {
  const auto* const end =
      admitted.begin() + static_cast<std::ptrdiff_t>(importance);
  return std::any_of(admitted.begin(), end, [now](Instant at) {
    return at != Instant{} && now - at < kAdmittedWindow;
  });
}

bool EntryGate::Refuses(const Key& key, Importance importance,
                        const RequestId& request, Instant now) const {
  const auto known = levels_.find(key);
  if (known == levels_.end()) return false;
  const std::uint32_t rank = RankOf(importance, request);
  return std::any_of(
      known->second.begin(), known->second.end(), [&](const Level& level) {
        if (rank >= static_cast<std::uint32_t>(Current(level, now))) {
          return false;
        }
        const auto admitted = admitted_.find(level.service);
        return admitted == admitted_.end() ||
               !LowerAdmitted(admitted->second, importance, now);
      });
}

void EntryGate::RecordAdmitted(RouteId route, Importance importance,
                               Instant now) {
  ++stats_.admitted;
  const auto services = services_.find(route);
  if (services == services_.end()) return;
  for (const ServiceId service : services->second) {
    admitted_[service][static_cast<std::size_t>(importance)] = now;
  }
}

EntryGate::Decision EntryGate::Admit(RouteId route, OrganisationId organisation,
                                     Importance importance,
                                     const RequestId& request, Instant now,
                                     Random& random) {
  if (!Refuses({route, organisation}, importance, request, now)) {
    RecordAdmitted(route, importance, now);
    return {};
  }
  // Probe only with requests of the importance at which the level is. A probe
  // of lower importance could run while a more important request is refused.
  const std::uint32_t refuse_below = level(route, organisation, now);
  const bool marginal =
      static_cast<std::uint32_t>(importance) == refuse_below >> kRankHashBits;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (marginal && uniform(random) < init_.probe_fraction) {
    RecordAdmitted(route, importance, now);
    ++stats_.probes;
    return {};
  }
  ++stats_.refused;
  const auto jitter = Seconds(kRetryAfter) * uniform(random);
  return {false, kRetryAfter + std::chrono::duration_cast<Duration>(jitter)};
}

void EntryGate::OnReply(RouteId route, OrganisationId organisation,
                        const std::vector<ServiceLevel>& levels, Instant now) {
  if (levels.empty()) return;
  std::vector<Level>& known = levels_[{route, organisation}];
  std::vector<ServiceId>& services = services_[route];
  for (const ServiceLevel& stated : levels) {
    const bool listed = std::find(services.begin(), services.end(),
                                  stated.service) != services.end();
    if (!listed && services.size() < kMaxServices) {
      services.push_back(stated.service);
    }
    auto level = std::find_if(
        known.begin(), known.end(),
        [&](const Level& entry) { return entry.service == stated.service; });
    if (level == known.end()) {
      if (known.size() >= kMaxServices) continue;
      known.push_back({stated.service, static_cast<double>(stated.level), now});
      continue;
    }
    const double smoothing = std::clamp(
        Seconds(now - level->received_at) / kSmoothingTime, kMinSmoothing, 1.0);
    const double current = Current(*level, now);
    level->level = current + smoothing * (stated.level - current);
    level->received_at = now;
  }
}

}  // namespace lentilcross
