#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "lentilcross/rate.h"

namespace lentilcross {

/// Token bucket for all requests of an organisation in one place. It defines
/// which offered requests are within rate and which admissions are in excess: a
/// sequence stays within rate x window + burst in every window if and only if
/// this bucket, full at the start, admits all of it.
class ReferenceBucket {
 public:
  ReferenceBucket(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}
  bool Take(Instant now);
  double tokens() const { return tokens_; }

 private:
  double rate_;
  double burst_;
  double tokens_;
  Instant last_{};
};

/// Rate limiters of all hosts on a simulated network, in virtual time.
class SimulatedRateFleet {
 public:
  struct Options {
    int domains = 6;
    int hosts_per_domain = 4;
    int domains_per_region = 2;
    int owners_per_region = 2;
    std::vector<Quota> organisations;  ///< Default: one of rate 200, burst 100.
    Duration delay_in_domain = std::chrono::microseconds(250);
    Duration delay_in_region = std::chrono::microseconds(500);
    Duration delay_between_regions = std::chrono::milliseconds(8);
    Duration tick = std::chrono::milliseconds(20);
    Duration loan_term = RateLimiter::Init{}.loan_term;
    Duration handover = RateLimiter::Init{}.handover;
    Duration longest_wait = RateLimiter::Init{}.longest_wait;
    double loss = 0;       ///< Probability per message, 0 to 1.
    double duplicate = 0;  ///< Probability per message, 0 to 1.
    Duration jitter{};     ///< Maximum extra delay; reorders messages.
    std::uint64_t seed = 1;
  };
  /// Messages of one kind, with estimated bytes on the wire.
  struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t entries = 0;  ///< Organisations in the messages.
    std::uint64_t bytes = 0;
    std::uint64_t bytes_between_regions = 0;
  };
  struct Count {
    std::uint64_t offered = 0;
    std::uint64_t within = 0;  ///< Admitted by `ReferenceBucket`.
    std::uint64_t admitted = 0;
    std::uint64_t refused_within = 0;  ///< Refused although within rate.
    std::uint64_t excess = 0;  ///< Admitted beyond rate x window + burst.
    Duration longest_wait{};
  };

  explicit SimulatedRateFleet(const Options& options);

  Instant now() const { return now_; }
  int hosts() const { return static_cast<int>(hosts_.size()); }
  int DomainOf(int host) const { return host / options_.hosts_per_domain; }
  int RegionOf(int host) const {
    return DomainOf(host) / options_.domains_per_region;
  }
  OrganisationId organisation(int index) const;
  /// True if the host owns part of the organisation's quota.
  bool IsOwner(int host, int organisation) const;
  RateLimiter* limiter(int host);
  Random& random() { return random_; }

  void At(Instant time, std::function<void()> action);
  void RunUntil(Instant time);
  /// Sends a new request to the host.
  void Arrive(int host, int organisation);

  /// A paused host handles requests and messages when it resumes.
  void Pause(int host, Duration duration);
  /// Replaces the host's process by a new one at once.
  void Restart(int host);
  /// Drops messages between hosts on different sides until the next call.
  void Partition(std::vector<bool> side);
  void SetLoss(double loss) { options_.loss = loss; }
  /// Publishes the next configuration version to all hosts within 4 s.
  void Publish(const std::function<void(Configuration&)>& change);

  /// Called after every step.
  std::function<void()> on_step;

  const Count& count(int organisation) const;
  /// Clears all counts, to exclude the start from a measurement.
  void ResetCounts();
  std::uint64_t messages() const;
  /// Indexed by the alternative of `RateLimiter::Outgoing::message`.
  const std::array<Traffic, 3>& traffic() const { return traffic_; }
  /// Estimated bytes sent since `ResetCounts` by the host that sent most.
  std::uint64_t MaxBytesPerHost() const;
  /// Estimated bytes sent by all hosts since `ResetCounts`.
  std::uint64_t TotalBytes() const;

 private:
  struct Waiting {
    std::uint64_t number = 0;
    int organisation = 0;
    Instant arrived{};
    bool within = false;
  };
  struct Host {
    HostId id;
    std::optional<RateLimiter> limiter;
    std::uint64_t process = 0;
    Instant paused_until{};
    std::deque<Waiting> waiting;
    Instant retry_at{};  ///< Time of the only scheduled retry.
    std::uint64_t bytes = 0;
  };
  struct Event {
    Instant time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };
  struct Organisation {
    OrganisationId id;
    ReferenceBucket offered;
    ReferenceBucket admitted;
    Count count;
  };

  void Start(int host);
  /// Runs the action once the host is not paused, if the process still runs.
  void RunOnHost(int host, std::uint64_t process, std::function<void()> action);
  void Tick(int host);
  void ScheduleTick(int host, std::uint64_t process);
  void ScheduleContact(int host, std::uint64_t process);
  void CountTraffic(int from, int to, const RateLimiter::Outgoing& message);
  void Send(int from, const RateLimiter::Outgoing& message);
  void Deliver(int from, int to, const RateLimiter::Outgoing& message);
  void Retry(int host);
  void ScheduleRetry(int host, Instant time);
  /// False if the request has to wait.
  bool TryRequest(int host, const Waiting& request);
  bool Reachable(int from, int to) const;
  Duration Delay(int from, int to);
  double Uniform() { return std::uniform_real_distribution<>()(random_); }

  Options options_;
  Random random_;
  Instant now_{std::chrono::seconds(1000)};
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::shared_ptr<const Configuration> configuration_;
  std::vector<Host> hosts_;
  std::map<HostId, int> index_;
  std::vector<bool> side_;
  std::vector<Organisation> organisations_;
  std::array<Traffic, 3> traffic_;
  std::uint64_t requests_ = 0;
};

}  // namespace lentilcross
