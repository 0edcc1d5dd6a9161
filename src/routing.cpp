#include "lentilcross/routing.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "lentilcross/home_regions.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr int kDistances = 3;
// A target is ejected after this many consecutive failures, or when more than
// this fraction of its recent calls failed.
constexpr int kFailuresToEject = 5;
constexpr double kFailureRatioToEject = 0.5;
constexpr double kFailureSmoothing = 0.05;
constexpr double kShedSmoothing = 0.02;
// A host calls one target of a large service a few times a second or less.
constexpr double kBusySmoothing = 0.2;
// The ejection time starts here and doubles with each further ejection.
constexpr Duration kFirstEjection = milliseconds(500);
constexpr int kMaxDoublings = 5;
// Concurrent probe calls to an ejected target.
constexpr int kMaxProbes = 1;
// Lower bound of the factors on the weight of a target, for slow start and for
// shedding.
constexpr double kMinWeight = 0.1;
// Weight of a target that reports that it is still warming up.
constexpr double kWarmUpWeight = 0.5;

// Latency spill-over, in fractions of the target latency of a call. The penalty
// by distance is added to the expected latency: a call to another region pays
// its round trip at each later hop and uses scarce bandwidth, which is only
// worth it if the answer would otherwise be late. The probability of a
// spill-over grows linearly with the saving, up to 1 at `kFullSpillSaving`, so
// that hosts do not all switch regions at once.
constexpr std::array<double, kDistances> kDistancePenalty = {0, 0.05, 0.35};
constexpr double kFullSpillSaving = 0.25;

// Part of the calls that a cold target bears which all hosts together choose it
// for. The rest covers choices that come together by chance: a call above the
// limit is handed back and costs its sender an attempt.
constexpr double kColdShare = 0.5;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

bool Contains(const std::vector<TargetId>& targets, TargetId target) {
  return std::find(targets.begin(), targets.end(), target) != targets.end();
}

}  // namespace

Result<Router> Router::Create(const Init& init) {
  Findings findings;
  if (!init.self.valid()) findings.Add("self", "missing");
  if (!(init.max_ejected >= 0 && init.max_ejected <= 1)) {
    findings.Add("max_ejected", "out of range 0 to 1");
  }
  if (init.slow_start < Duration::zero()) {
    findings.Add("slow_start", "negative");
  }
  if (!findings.empty()) return boost::leaf::new_error(findings);
  return Router(init);
}

int Router::DistanceTo(HostId host, const Configuration& configuration) const {
  const auto found = configuration.hosts.find(host);
  if (found == configuration.hosts.end()) return kDistances - 1;
  const FailureDomainId domain = found->second.failure_domain;
  if (domain == init_.failure_domain) return 0;
  const auto other = configuration.failure_domains.find(domain);
  const auto own = configuration.failure_domains.find(init_.failure_domain);
  const bool known = other != configuration.failure_domains.end() &&
                     own != configuration.failure_domains.end();
  return known && other->second.region == own->second.region ? 1 : 2;
}

Router::Service Router::Merge(const ServiceEntry& entry,
                              const Configuration& configuration, Instant now) {
  const auto old = services_.find(entry.id);
  Service merged;
  merged.cold_rate = entry.cold_rate;
  for (const TargetEntry& target : entry.targets) {
    Target state;
    if (const Target* known = Find(target.id)) {
      state = *known;
    } else if (old != services_.end()) {
      state.slow_start_begin = now;  // added to a running service
    }
    state.entry = target;
    SetCold(merged, state, target.cold_until, now);
    const bool evacuated = IsEvacuated(target.host, configuration);
    if (state.evacuated && !evacuated) {
      // Its targets may have turned cold meanwhile. Until the daemons beside
      // them say so, they get no more than cold ones.
      state.slow_start_begin = now;
      SetCold(merged, state, now + entry.cold_time, now);
    }
    state.evacuated = evacuated;
    state.region = RegionOf(target.host, configuration);
    state.distance = DistanceTo(target.host, configuration);
    merged.targets.push_back(state);
  }
  if (old != services_.end()) {
    merged.shed_ratio = old->second.shed_ratio;
    merged.latency = std::move(old->second.latency);
    for (const Target& target : old->second.targets) {
      const TargetId id = target.entry.id;
      const bool kept = std::any_of(
          merged.targets.begin(), merged.targets.end(),
          [id](const Target& other) { return other.entry.id == id; });
      if (!kept) merged.latency.Forget(id);
    }
  }
  return merged;
}

void Router::Apply(const std::shared_ptr<const Configuration>& configuration,
                   Instant now) {
  hosts_ = std::max<std::size_t>(1, configuration->hosts.size());
  std::unordered_map<ServiceId, Service> services;
  for (const auto& [id, entry] : configuration->services) {
    services.emplace(id, Merge(entry, *configuration, now));
  }
  services_ = std::move(services);
  locations_.clear();
  for (const auto& [id, service] : services_) {
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
      locations_[service.targets[i].entry.id] = {id, i};
    }
  }
}

Router::Target* Router::Find(TargetId target) {
  const auto location = locations_.find(target);
  if (location == locations_.end()) return nullptr;
  return &services_[location->second.service].targets[location->second.index];
}

void Router::CollectUsable(Service& service, const Membership& membership,
                           const Filter& filter, Instant now) {
  usable_.clear();
  for (std::size_t i = 0; i < service.targets.size(); ++i) {
    Target& target = service.targets[i];
    if (const auto* member = membership.Find(target.entry.host)) {
      const bool restarted = target.incarnation.valid() &&
                             target.incarnation != member->incarnation;
      if (restarted) target.slow_start_begin = now;
      target.incarnation = member->incarnation;
    }
    const bool waits = !filter.allow_cold && IsCold(service, target, now) &&
                       now < target.next_cold_pick;
    const bool excluded = (target.ejected && !filter.allow_ejected) ||
                          target.entry.draining || target.evacuated || waits ||
                          !AllowsRegion(filter.homes, target.region);
    if (excluded || !membership.IsUsable(target.entry.host)) continue;
    if (!Contains(filter.tried, target.entry.id)) usable_.push_back(i);
  }
}

void Router::CollectCandidates(Service& service, const Membership& membership,
                               const std::vector<TargetId>& tried,
                               const HomeRegions& homes, Instant now) {
  const std::vector<TargetId> none;
  CollectUsable(service, membership, {tried, homes}, now);
  if (usable_.empty() && service.cold_rate > 0) {
    CollectUsable(service, membership, {tried, homes, true}, now);
  }
  if (usable_.empty()) {
    CollectUsable(service, membership, {none, homes, true}, now);
  }
  // The ejected fraction is bounded for the whole service, so that all targets
  // in the homes may be ejected.
  if (usable_.empty() && !homes.empty()) {
    CollectUsable(service, membership, {none, homes, true, true}, now);
  }
}

Router::Target* Router::PickProbe(Service& service,
                                  const Membership& membership,
                                  const std::vector<TargetId>& tried,
                                  const HomeRegions& homes, Instant now) {
  for (Target& target : service.targets) {
    const bool due = target.ejected && !target.entry.draining &&
                     !target.evacuated && now >= target.ejected_until &&
                     target.outstanding_probes < kMaxProbes;
    if (!due || Contains(tried, target.entry.id)) continue;
    if (!AllowsRegion(homes, target.region)) continue;
    if (membership.IsUsable(target.entry.host)) return &target;
  }
  return nullptr;
}

// Outstanding calls divided by the weight of the target. The weight grows
// during slow start. A target that sheds gets a lower weight: its refusals come
// back fast, so that few outstanding calls would make it look idle.
double Router::Load(const Target& target, Instant now) const {
  double weight = 1;
  if (target.slow_start_begin != Instant{} &&
      init_.slow_start > Duration::zero()) {
    const double progress =
        Seconds(now - target.slow_start_begin) / Seconds(init_.slow_start);
    weight = std::clamp(progress, kMinWeight, 1.0);
  }
  if (now < target.cold_until) weight = std::min(weight, kWarmUpWeight);
  weight *= std::max(kMinWeight, 1 - target.shed_ratio);
  weight *= std::max(kMinWeight, 1 - target.busy_ratio);
  return (target.outstanding + 1) / weight;
}

bool Router::IsCold(const Service& service, const Target& target, Instant now) {
  return service.cold_rate > 0 && now < target.cold_until;
}

// All hosts choose at the same rate, without asking each other: each has an
// equal part of what a cold target bears.
Duration Router::ColdInterval(const Service& service) const {
  return std::chrono::duration_cast<Duration>(
      Seconds(static_cast<double>(hosts_) / (kColdShare * service.cold_rate)));
}

// The news of a cold target reaches all hosts at about the same moment. Their
// first choices are spread by a hash of host and target.
void Router::SetCold(const Service& service, Target& target, Instant until,
                     Instant now) const {
  if (until <= now) return;
  if (service.cold_rate > 0 && !IsCold(service, target, now)) {
    const std::uint64_t hash =
        CombineHash(init_.self.value(), target.entry.id.value());
    const double fraction =
        static_cast<double>(hash) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    target.next_cold_pick = now + Scale(ColdInterval(service), fraction);
  }
  // Not shortened: a later report may be an older guess.
  target.cold_until = std::max(target.cold_until, until);
}

// Each host learns for itself which targets are slow for their share of the
// calls, so that not all hosts turn to the same targets at once.
void Router::OnBusy(TargetId target) {
  Target* found = Find(target);
  if (found == nullptr) return;
  found->busy_ratio += kBusySmoothing * (1 - found->busy_ratio);
}

void Router::OnCold(TargetId target, Duration left, Instant now) {
  const auto location = locations_.find(target);
  if (location == locations_.end()) return;
  Service& service = services_[location->second.service];
  SetCold(service, service.targets[location->second.index], now + left, now);
}

Router::Target* Router::PickAt(Service& service,
                               const std::vector<std::size_t>& usable,
                               int distance, Instant now,
                               Random& random) const {
  std::size_t count = 0;
  for (const std::size_t i : usable) {
    count += service.targets[i].distance == distance ? 1 : 0;
  }
  if (count == 0) return nullptr;
  const auto nth = [&](std::size_t n) {
    for (const std::size_t i : usable) {
      if (service.targets[i].distance != distance) continue;
      if (n-- == 0) return &service.targets[i];
    }
    return static_cast<Target*>(nullptr);
  };
  std::uniform_int_distribution<std::size_t> pick(0, count - 1);
  const std::size_t first = pick(random);
  if (count == 1) return nth(first);
  const std::size_t step =
      1 + std::uniform_int_distribution<std::size_t>(0, count - 2)(random);
  Target* a = nth(first);
  Target* b = nth((first + step) % count);
  return Load(*a, now) <= Load(*b, now) ? a : b;
}

// Starts at the nearest distance. Spills over to the next one with a
// probability equal to the fraction of recent calls that was shed here.
Router::Target* Router::PickNear(Service& service, Instant now,
                                 Random& random) {
  std::uniform_real_distribution<double> uniform(0, 1);
  Target* nearest = nullptr;
  for (int distance = 0; distance < kDistances; ++distance) {
    Target* picked = PickAt(service, usable_, distance, now, random);
    if (picked == nullptr) continue;
    if (nearest == nullptr) nearest = picked;
    const double shed = service.shed_ratio[static_cast<std::size_t>(distance)];
    if (shed <= 0 || uniform(random) >= shed) return picked;
  }
  return nearest;
}

Router::Target* Router::PickFaster(Service& service, Target* near,
                                   const CallKind& kind, Instant now,
                                   Random& random) const {
  if (near == nullptr || kind.target_latency <= Duration::zero()) return near;
  const auto expected = [&](const Target& target) {
    return Seconds(
               service.latency.ExpectedLatency(kind, target.entry.id, now)) /
               Seconds(kind.target_latency) +
           kDistancePenalty[static_cast<std::size_t>(target.distance)];
  };
  std::uniform_real_distribution<double> uniform(0, 1);
  Target* chosen = near;
  for (int distance = near->distance + 1; distance < kDistances; ++distance) {
    Target* far = PickAt(service, usable_, distance, now, random);
    if (far == nullptr) continue;
    const double saved = expected(*chosen) - expected(*far);
    if (saved > 0 && uniform(random) < saved / kFullSpillSaving) chosen = far;
  }
  return chosen;
}

std::optional<Router::Pick> Router::Choose(const CallKind& kind,
                                           const Membership& membership,
                                           const std::vector<TargetId>& tried,
                                           Instant now, Random& random,
                                           const HomeRegions& homes) {
  const auto found = services_.find(kind.service);
  if (found == services_.end()) {
    ++stats_.no_target;
    return std::nullopt;
  }
  Service& service = found->second;
  Target* target = PickProbe(service, membership, tried, homes, now);
  if (target != nullptr) {
    ++stats_.probes;
  } else {
    CollectCandidates(service, membership, tried, homes, now);
    target =
        PickFaster(service, PickNear(service, now, random), kind, now, random);
  }
  if (target == nullptr) {
    ++stats_.no_target;
    return std::nullopt;
  }
  ++stats_.picks;
  if (target->distance > 0) ++stats_.remote_picks;
  if (IsCold(service, *target, now)) {
    ++stats_.cold_picks;
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    target->next_cold_pick = now + Scale(ColdInterval(service), jitter(random));
  }
  return Pick{target->entry.id, target->entry.host};
}

void Router::OnStart(TargetId target) {
  Target* found = Find(target);
  if (found == nullptr) return;
  ++found->outstanding;
  if (found->ejected) ++found->outstanding_probes;
}

void Router::OnEnd(TargetId target, const CallKind& kind, CallResult result,
                   Duration latency, Instant now) {
  const auto location = locations_.find(target);
  if (location == locations_.end()) return;
  Service& service = services_[location->second.service];
  Target& state = service.targets[location->second.index];
  state.outstanding = std::max(0, state.outstanding - 1);
  if (result == CallResult::kDeferred) {
    // A probe that brought nothing may be repeated at once.
    state.outstanding_probes = std::max(0, state.outstanding_probes - 1);
    return;
  }
  state.busy_ratio -= kBusySmoothing * state.busy_ratio;
  const bool failed =
      result == CallResult::kFailed || result == CallResult::kRefused;
  if (!failed) {
    const double shed = result == CallResult::kShed ? 1 : 0;
    double& distance_ratio =
        service.shed_ratio[static_cast<std::size_t>(state.distance)];
    distance_ratio += kShedSmoothing * (shed - distance_ratio);
    state.shed_ratio += kShedSmoothing * (shed - state.shed_ratio);
  }
  if (result != CallResult::kRefused &&
      kind.target_latency > Duration::zero()) {
    // A shed call counts as at least the target latency: the target could not
    // have answered in time.
    const bool shed = result == CallResult::kShed;
    service.latency.Record(
        kind, target, shed ? std::max(latency, kind.target_latency) : latency,
        now);
  }
  if (state.ejected) {
    EndProbe(state, !failed, now);
  } else {
    UpdateHealth(service, state, !failed, now);
  }
}

void Router::UpdateHealth(Service& service, Target& target, bool ok,
                          Instant now) {
  target.failure_ratio +=
      kFailureSmoothing * ((ok ? 0 : 1) - target.failure_ratio);
  target.consecutive_failures = ok ? 0 : target.consecutive_failures + 1;
  if (ok && target.failure_ratio < kFailureSmoothing) target.ejection_count = 0;
  if (target.consecutive_failures >= kFailuresToEject ||
      target.failure_ratio > kFailureRatioToEject) {
    Eject(service, target, now);
  }
}

void Router::Eject(Service& service, Target& target, Instant now) {
  const auto ejected =
      std::count_if(service.targets.begin(), service.targets.end(),
                    [](const Target& other) { return other.ejected; });
  const double max_count =
      init_.max_ejected * static_cast<double>(service.targets.size());
  if (static_cast<double>(ejected + 1) > max_count) return;
  target.ejected = true;
  target.outstanding_probes = 0;
  target.ejected_until =
      now +
      kFirstEjection * (1 << std::min(target.ejection_count, kMaxDoublings));
  ++target.ejection_count;
  ++stats_.ejections;
}

// Calls that were outstanding at the ejection also end here, possibly while no
// probe is outstanding.
void Router::EndProbe(Target& target, bool ok, Instant now) {
  if (target.outstanding_probes == 0) return;
  --target.outstanding_probes;
  if (now < target.ejected_until) return;
  if (ok) {
    target.ejected = false;
    target.consecutive_failures = 0;
    target.failure_ratio = 0;
    target.slow_start_begin = now;
    return;
  }
  target.ejected_until =
      now +
      kFirstEjection * (1 << std::min(target.ejection_count, kMaxDoublings));
  ++target.ejection_count;
}

}  // namespace lentilcross
