#include "other_policies.h"

#include <algorithm>
#include <map>

namespace lentilcross {
namespace {

constexpr Duration kLongestWait = std::chrono::milliseconds(30);
// Time until a host's membership list shows that another host left or returned.
constexpr Duration kMembershipLag = std::chrono::seconds(1);

// Token bucket in one process.
struct Bucket {
  double rate = 0;
  double burst = 0;
  double tokens = 0;
  Duration last{};

  void Refill(Duration now) {
    const std::chrono::duration<double> elapsed = now - last;
    tokens = std::min(burst, tokens + rate * elapsed.count());
    last = now;
  }

  /// Takes a token that is available now or generated within `kLongestWait`.
  /// Returns the time of admission, or a negative time for a refusal.
  Duration Take(Duration now) {
    Refill(now);
    if (rate <= 0) return Duration(-1);
    const double missing = std::max(0.0, 1 - tokens);
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(missing / rate));
    if (wait > kLongestWait) return Duration(-1);
    tokens -= 1;
    return now + wait;
  }
};

// Counts the outcomes of requests against `ReferenceBucket`.
class ReferenceCount {
 public:
  explicit ReferenceCount(const RateRun& run) {
    for (const Quota quota : run.options.organisations) {
      offered_.emplace_back(quota.rate, quota.burst);
      admitted_.emplace_back();
    }
  }

  /// `admitted_at` is negative for a refusal.
  void Record(const RateArrival& arrival, Duration admitted_at) {
    const auto index = static_cast<std::size_t>(arrival.organisation);
    const bool within = offered_[index].Take(Instant(arrival.at));
    if (within) ++result_.within;
    if (admitted_at < Duration::zero()) {
      if (within) ++result_.refused_within;
      return;
    }
    admitted_[index].push_back(admitted_at);
    result_.longest_wait =
        std::max(result_.longest_wait, admitted_at - arrival.at);
  }

  RateResult Finish(const RateRun& run) {
    for (std::size_t i = 0; i < admitted_.size(); ++i) {
      const Quota quota = run.options.organisations[i];
      ReferenceBucket bucket(quota.rate, quota.burst);
      std::sort(admitted_[i].begin(), admitted_[i].end());
      for (const Duration at : admitted_[i]) {
        if (!bucket.Take(Instant(at))) ++result_.excess;
      }
    }
    return result_;
  }

 private:
  std::vector<ReferenceBucket> offered_;
  std::vector<std::vector<Duration>> admitted_;
  RateResult result_;
};

int HostCount(const RateRun& run) {
  return run.options.domains * run.options.hosts_per_domain;
}

bool IsPaused(const RateRun& run, int host, Duration at) {
  return std::any_of(run.faults.begin(), run.faults.end(), [&](const auto& f) {
    return f.kind == RateFault::Kind::kPause && f.host == host && f.at <= at &&
           at < f.at + f.duration;
  });
}

bool IsPartitioned(const RateRun& run, int a, int b, Duration at) {
  if (IsFirstSide(run, a) == IsFirstSide(run, b)) return false;
  return std::any_of(run.faults.begin(), run.faults.end(), [&](const auto& f) {
    return f.kind == RateFault::Kind::kPartition && f.at <= at &&
           at < f.at + f.duration;
  });
}

bool IsReachable(const RateRun& run, int from, int to, Duration at) {
  return !IsPaused(run, to, at) && !IsPartitioned(run, from, to, at);
}

// Identifies the running process of a host: the number of restarts so far.
std::size_t ProcessOf(const RateRun& run, int host, Duration at) {
  return static_cast<std::size_t>(
      std::count_if(run.faults.begin(), run.faults.end(), [&](const auto& f) {
        return f.kind == RateFault::Kind::kRestart && f.host == host &&
               f.at <= at;
      }));
}

Duration RoundTrip(const RateRun& run, int from, int to) {
  if (from == to) return {};
  const auto& options = run.options;
  const int a = from / options.hosts_per_domain;
  const int b = to / options.hosts_per_domain;
  if (a == b) return 2 * options.delay_in_domain;
  const int size = options.domains_per_region;
  return 2 * (a / size == b / size ? options.delay_in_region
                                   : options.delay_between_regions);
}

int OwnerSeenBy(const RateRun& run, int host, int organisation, Duration at) {
  const int count = HostCount(run);
  const int first = (organisation * 7 + 3) % count;
  for (int i = 0; i < count; ++i) {
    const int owner = (first + i) % count;
    if (IsReachable(run, host, owner, at - kMembershipLag)) return owner;
  }
  return host;
}

}  // namespace

bool IsFirstSide(const RateRun& run, int host) {
  return host / run.options.hosts_per_domain % 2 == 0;
}

RateResult RunFixedSplit(const RateRun& run) {
  ReferenceCount reference(run);
  std::map<std::tuple<int, int, std::size_t>, Bucket> buckets;
  const double hosts = HostCount(run);
  for (const RateArrival& arrival : run.arrivals) {
    const auto index = static_cast<std::size_t>(arrival.organisation);
    const Quota quota = run.options.organisations[index];
    const std::size_t process = ProcessOf(run, arrival.host, arrival.at);
    // A restarted process has no tokens at first.
    const double tokens = process == 0 ? quota.burst / hosts : 0;
    Bucket& bucket =
        buckets
            .try_emplace({arrival.host, arrival.organisation, process},
                         Bucket{quota.rate / hosts, quota.burst / hosts, tokens,
                                arrival.at})
            .first->second;
    const bool paused = IsPaused(run, arrival.host, arrival.at);
    reference.Record(arrival, paused ? Duration(-1) : bucket.Take(arrival.at));
  }
  return reference.Finish(run);
}

RateResult RunOneOwner(const RateRun& run) {
  ReferenceCount reference(run);
  std::map<std::tuple<int, int, std::size_t>, Bucket> buckets;
  for (const RateArrival& arrival : run.arrivals) {
    const auto index = static_cast<std::size_t>(arrival.organisation);
    const Quota quota = run.options.organisations[index];
    const int owner =
        OwnerSeenBy(run, arrival.host, arrival.organisation, arrival.at);
    if (IsPaused(run, arrival.host, arrival.at) ||
        !IsReachable(run, arrival.host, owner, arrival.at)) {
      reference.Record(arrival, Duration(-1));
      continue;
    }
    const std::size_t process = ProcessOf(run, owner, arrival.at);
    // A new owner starts with full burst, as it does not know what the previous
    // one admitted.
    Bucket& bucket = buckets
                         .try_emplace({owner, arrival.organisation, process},
                                      Bucket{quota.rate, quota.burst,
                                             quota.burst, arrival.at})
                         .first->second;
    const Duration taken = bucket.Take(arrival.at);
    const Duration trip = RoundTrip(run, arrival.host, owner);
    const bool late = taken - arrival.at + trip > kLongestWait;
    reference.Record(arrival, taken < Duration::zero() || late ? Duration(-1)
                                                               : taken + trip);
  }
  return reference.Finish(run);
}

}  // namespace lentilcross
