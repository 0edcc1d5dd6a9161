#include "rate_fleet.h"

#include <algorithm>
#include <stdexcept>

#include "rate_owners.h"

namespace lentilcross {
namespace {

constexpr Duration kContactInterval = std::chrono::seconds(1);
constexpr Duration kMaxPublishDelay = std::chrono::seconds(4);
// Estimated message size on the wire: the WebSocket, TCP and IP headers and the
// CBOR envelope, plus one entry per organisation.
constexpr std::uint64_t kEnvelopeBytes = 66;
constexpr std::uint64_t kAskBytes = 60;
constexpr std::uint64_t kLoanBytes = 40;

struct EntryCount {
  std::uint64_t operator()(const LoanRequest& message) const {
    return message.asks.size();
  }
  std::uint64_t operator()(const LoanGrant& message) const {
    return message.loans.size();
  }
  std::uint64_t operator()(const LoanReturn& message) const {
    return message.asks.size();
  }
};

std::uint64_t WireSize(const RateLimiter::Outgoing& outgoing) {
  const bool is_grant = std::holds_alternative<LoanGrant>(outgoing.message);
  return kEnvelopeBytes + std::visit(EntryCount{}, outgoing.message) *
                              (is_grant ? kLoanBytes : kAskBytes);
}

std::shared_ptr<Configuration> MakeConfiguration(
    const SimulatedRateFleet::Options& options) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = Version(1);
  configuration->rate_owners_per_region = options.owners_per_region;
  for (int d = 0; d < options.domains; ++d) {
    const std::string name = "domain-" + std::to_string(d);
    const auto domain = FailureDomainId::FromName(name);
    const std::string region =
        "region-" + std::to_string(d / options.domains_per_region);
    configuration->failure_domains[domain] = {domain, name, region,
                                              1.0 / options.domains};
    for (int h = 0; h < options.hosts_per_domain; ++h) {
      const int number = d * options.hosts_per_domain + h;
      const std::string host_name = "host-" + std::to_string(number);
      const auto host = HostId::FromName(host_name);
      configuration->hosts[host] = {host, host_name, domain, ""};
    }
  }
  for (std::size_t i = 0; i < options.organisations.size(); ++i) {
    const std::string name = "organisation-" + std::to_string(i);
    const auto id = OrganisationId::FromName(name);
    configuration->organisations[id] = {id, name, options.organisations[i].rate,
                                        options.organisations[i].burst, 1};
  }
  return configuration;
}

}  // namespace

bool ReferenceBucket::Take(Instant now) {
  const std::chrono::duration<double> elapsed = now - last_;
  tokens_ = std::min(burst_, tokens_ + rate_ * elapsed.count());
  last_ = now;
  // Tolerates the rounding of times to whole nanoseconds.
  if (tokens_ < 1 - 1e-6) return false;
  tokens_ -= 1;
  return true;
}

SimulatedRateFleet::SimulatedRateFleet(const Options& options)
    : options_(options), random_(options.seed) {
  if (options_.organisations.empty()) {
    options_.organisations.push_back({200, 100});
  }
  configuration_ = MakeConfiguration(options_);
  const int count = options.domains * options.hosts_per_domain;
  hosts_.resize(static_cast<std::size_t>(count));
  side_.assign(hosts_.size(), false);
  for (std::size_t i = 0; i < options_.organisations.size(); ++i) {
    const Quota quota = options_.organisations[i];
    organisations_.push_back(
        {OrganisationId::FromName("organisation-" + std::to_string(i)),
         ReferenceBucket(quota.rate, quota.burst),
         ReferenceBucket(quota.rate, quota.burst),
         {}});
  }
  for (int i = 0; i < count; ++i) {
    Host& host = hosts_[static_cast<std::size_t>(i)];
    host.id = HostId::FromName("host-" + std::to_string(i));
    index_[host.id] = i;
    Start(i);
  }
}

OrganisationId SimulatedRateFleet::organisation(int index) const {
  return organisations_[static_cast<std::size_t>(index)].id;
}

bool SimulatedRateFleet::IsOwner(int host, int organisation_index) const {
  QuotaOwners owners;
  owners.Apply(*configuration_);
  const HostId id = hosts_[static_cast<std::size_t>(host)].id;
  const auto list =
      owners.Find(organisation(organisation_index), owners.GroupOf(id));
  return std::find(list.begin(), list.end(), id) != list.end();
}

RateLimiter* SimulatedRateFleet::limiter(int host) {
  auto& limiter = hosts_[static_cast<std::size_t>(host)].limiter;
  return limiter ? &*limiter : nullptr;
}

void SimulatedRateFleet::At(Instant time, std::function<void()> action) {
  events_.push({std::max(time, now_), order_++, std::move(action)});
}

void SimulatedRateFleet::RunUntil(Instant time) {
  while (!events_.empty() && events_.top().time <= time) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.action();
    if (on_step) on_step();
  }
  now_ = time;
}

void SimulatedRateFleet::Start(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  RateLimiter::Init init;
  init.self = host.id;
  init.failure_domain =
      FailureDomainId::FromName("domain-" + std::to_string(DomainOf(index)));
  init.incarnation = Incarnation(random_() | 1);
  init.loan_term = options_.loan_term;
  init.handover = options_.handover;
  init.longest_wait = options_.longest_wait;
  auto limiter = RateLimiter::Create(init);
  if (!limiter) throw std::logic_error("RateLimiter::Create failed");
  host.limiter.emplace(std::move(*limiter));
  host.process = random_();
  host.paused_until = {};
  host.waiting.clear();
  host.limiter->Apply(configuration_, now_);
  host.limiter->RecordContact(now_, now_);
  ScheduleTick(index, host.process);
  ScheduleContact(index, host.process);
}

void SimulatedRateFleet::RunOnHost(int index, std::uint64_t process,
                                   std::function<void()> action) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  if (host.process != process) return;
  if (host.paused_until <= now_) {
    action();
    return;
  }
  At(host.paused_until, [this, index, process, action = std::move(action)] {
    RunOnHost(index, process, action);
  });
}

void SimulatedRateFleet::ScheduleTick(int index, std::uint64_t process) {
  const auto spread = static_cast<double>(options_.tick.count());
  const Duration delay(
      static_cast<std::int64_t>(spread * (0.5 + Uniform() / 2)));
  At(now_ + delay, [this, index, process] {
    RunOnHost(index, process, [this, index, process] {
      Tick(index);
      ScheduleTick(index, process);
    });
  });
}

void SimulatedRateFleet::ScheduleContact(int index, std::uint64_t process) {
  At(now_ + kContactInterval, [this, index, process] {
    const int peer = static_cast<int>(random_() % hosts_.size());
    const bool answered =
        peer != index && Reachable(index, peer) &&
        hosts_[static_cast<std::size_t>(peer)].paused_until <= now_ &&
        Uniform() >= options_.loss;
    RunOnHost(index, process, [this, index, process, answered, began = now_] {
      if (answered) limiter(index)->RecordContact(began, now_);
      ScheduleContact(index, process);
    });
  });
}

void SimulatedRateFleet::Tick(int index) {
  for (const auto& message : limiter(index)->Tick(now_)) {
    Send(index, message);
  }
}

Duration SimulatedRateFleet::Delay(int from, int to) {
  Duration delay = options_.delay_in_domain;
  if (DomainOf(from) != DomainOf(to)) {
    delay = RegionOf(from) == RegionOf(to) ? options_.delay_in_region
                                           : options_.delay_between_regions;
  }
  const auto jitter = static_cast<double>(options_.jitter.count());
  return delay + Duration(static_cast<std::int64_t>(jitter * Uniform()));
}

bool SimulatedRateFleet::Reachable(int from, int to) const {
  return side_[static_cast<std::size_t>(from)] ==
         side_[static_cast<std::size_t>(to)];
}

void SimulatedRateFleet::CountTraffic(int from, int to,
                                      const RateLimiter::Outgoing& message) {
  const std::uint64_t size = WireSize(message);
  hosts_[static_cast<std::size_t>(from)].bytes += size;
  Traffic& traffic = traffic_[message.message.index()];
  ++traffic.messages;
  traffic.entries += std::visit(EntryCount{}, message.message);
  traffic.bytes += size;
  if (RegionOf(from) != RegionOf(to)) traffic.bytes_between_regions += size;
}

void SimulatedRateFleet::Send(int from, const RateLimiter::Outgoing& message) {
  const auto it = index_.find(message.to);
  if (it == index_.end()) return;
  const int to = it->second;
  CountTraffic(from, to, message);
  if (!Reachable(from, to) || Uniform() < options_.loss) return;
  const int copies = Uniform() < options_.duplicate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    At(now_ + Delay(from, to), [this, from, to, message] {
      // Delivered to the process that runs as this host at that time.
      RunOnHost(to, hosts_[static_cast<std::size_t>(to)].process,
                [this, from, to, message] { Deliver(from, to, message); });
    });
  }
}

void SimulatedRateFleet::Deliver(int from, int to,
                                 const RateLimiter::Outgoing& message) {
  const HostId sender = hosts_[static_cast<std::size_t>(from)].id;
  RateLimiter& receiver = *limiter(to);
  if (const auto* request = std::get_if<LoanRequest>(&message.message)) {
    receiver.OnRequest(sender, *request, now_);
  } else if (const auto* grant = std::get_if<LoanGrant>(&message.message)) {
    if (receiver.OnGrant(sender, *grant, now_)) Retry(to);
  } else if (const auto* loan_return =
                 std::get_if<LoanReturn>(&message.message)) {
    receiver.OnReturn(sender, *loan_return, now_);
  }
  Tick(to);
}

void SimulatedRateFleet::Arrive(int index, int organisation_index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  Organisation& org =
      organisations_[static_cast<std::size_t>(organisation_index)];
  ++org.count.offered;
  const bool within = org.offered.Take(now_);
  if (within) ++org.count.within;
  const Waiting request{++requests_, organisation_index, now_, within};
  RunOnHost(index, host.process, [this, index, request] {
    if (TryRequest(index, request)) return;
    hosts_[static_cast<std::size_t>(index)].waiting.push_back(request);
    Tick(index);
  });
}

bool SimulatedRateFleet::TryRequest(int index, const Waiting& request) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  Organisation& org =
      organisations_[static_cast<std::size_t>(request.organisation)];
  const Duration waited = now_ - request.arrived;
  const auto result = host.limiter->TryAcquire(org.id, waited, now_);
  if (result.verdict == RateLimiter::Verdict::kWait) {
    ScheduleRetry(index, result.retry_at);
    return false;
  }
  org.count.longest_wait = std::max(org.count.longest_wait, waited);
  if (result.verdict == RateLimiter::Verdict::kAdmitted) {
    ++org.count.admitted;
    if (!org.admitted.Take(now_)) ++org.count.excess;
  } else if (request.within) {
    ++org.count.refused_within;
  }
  return true;
}

void SimulatedRateFleet::Retry(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  std::deque<Waiting> waiting;
  waiting.swap(host.waiting);
  for (const Waiting& request : waiting) {
    if (!TryRequest(index, request)) host.waiting.push_back(request);
  }
  if (!host.waiting.empty()) Tick(index);
}

void SimulatedRateFleet::ScheduleRetry(int index, Instant time) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  if (host.retry_at > now_ && host.retry_at <= time) return;
  host.retry_at = time;
  At(time, [this, index, time, process = host.process] {
    RunOnHost(index, process, [this, index, time] {
      Host& waiting_host = hosts_[static_cast<std::size_t>(index)];
      if (waiting_host.retry_at != time) return;
      waiting_host.retry_at = {};
      Retry(index);
    });
  });
}

void SimulatedRateFleet::Pause(int host, Duration duration) {
  hosts_[static_cast<std::size_t>(host)].paused_until = now_ + duration;
}

void SimulatedRateFleet::Restart(int host) { Start(host); }

void SimulatedRateFleet::Partition(std::vector<bool> side) {
  side_ = std::move(side);
}

void SimulatedRateFleet::Publish(
    const std::function<void(Configuration&)>& change) {
  auto next = std::make_shared<Configuration>(*configuration_);
  next->version = Version(next->version.value() + 1);
  change(*next);
  configuration_ = next;
  for (int i = 0; i < hosts(); ++i) {
    const auto most = static_cast<double>(kMaxPublishDelay.count());
    const Duration delay(static_cast<std::int64_t>(most * Uniform()));
    const auto process = hosts_[static_cast<std::size_t>(i)].process;
    At(now_ + delay, [this, i, process, next] {
      RunOnHost(i, process, [this, i, next] { limiter(i)->Apply(next, now_); });
    });
  }
}

const SimulatedRateFleet::Count& SimulatedRateFleet::count(
    int organisation) const {
  return organisations_[static_cast<std::size_t>(organisation)].count;
}

void SimulatedRateFleet::ResetCounts() {
  for (Organisation& org : organisations_) org.count = {};
  for (Host& host : hosts_) host.bytes = 0;
  traffic_ = {};
}

std::uint64_t SimulatedRateFleet::messages() const {
  std::uint64_t sum = 0;
  for (const Traffic& traffic : traffic_) sum += traffic.messages;
  return sum;
}

std::uint64_t SimulatedRateFleet::TotalBytes() const {
  std::uint64_t sum = 0;
  for (const Host& host : hosts_) sum += host.bytes;
  return sum;
}

std::uint64_t SimulatedRateFleet::MaxBytesPerHost() const {
  std::uint64_t most = 0;
  for (const Host& host : hosts_) most = std::max(most, host.bytes);
  return most;
}

}  // namespace lentilcross
