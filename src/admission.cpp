#include "lentilcross/admission.h"

#include <algorithm>
#include <unordered_map>

#include "call_queue.h"
#include "lentilcross/shedding.h"
#include "level_estimator.h"
#include "slot_limit.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Refused callers are told to retry after this time plus up to as much jitter.
constexpr Duration kRetryAfter = milliseconds(500);
// Leaves room for short bursts at targets with few calls.
constexpr std::size_t kMinQueueBound = 8;
// The queue holds the calls that start within this many times the maximum queue
// time. With 1, calls of higher importance filled the queue while a probe
// lowered the limit, and the last lookups of small organisations were evicted.
constexpr double kQueueBoundFactor = 2;
// A queue that did not empty within the maximum queue time divided by this is a
// standing queue.
constexpr int kStandingQueueDivisor = 2;

}  // namespace

struct TargetAdmission::Impl {
  explicit Impl(const Init& given) : init(given), limit(given.limit) {}

  struct Running {
    Instant started{};
    RouteId route;
    int slots_taken = 0;  ///< At the start, including that of this call.
    int onward_calls = 0;
    Instant onward_wait_start{};
    Duration onward_time{};  ///< Total time spent waiting for onward calls.
  };

  void Start(const Entry& entry, Instant now, Actions& actions);
  void StartQueued(Instant now, Actions& actions);
  void Shed(const Entry& entry, Reason reason, Actions& actions);
  void ShedOverflow(std::uint64_t arrived, Instant now, Actions& actions);
  void DropExpired(Instant now, Actions& actions);
  void UpdateLevels(Instant now);
  bool has_room() const {
    // A call keeps its slot while it waits for onward calls. An estimated limit
    // counts only the calls that the target is working on.
    const int slots_taken =
        slots ? static_cast<int>(running.size()) : in_flight();
    return slots_taken < current_limit() && running.size() < init.max_started;
  }
  int current_limit() const { return slots ? slots->limit() : limit.limit(); }
  int in_flight() const {
    return static_cast<int>(running.size()) - waiting_onward;
  }
  std::size_t queue_bound() const;

  Init init;
  std::optional<SlotLimit> slots;  ///< Empty if the number is unknown.
  ConcurrencyLimit limit;
  CallQueue queue;
  LevelEstimator levels{Instant{}};
  std::unordered_map<std::uint64_t, Running> running;
  int waiting_onward = 0;  ///< Running calls that wait for an onward call.
  Instant queue_empty_at{};
  Stats stats;
};

std::size_t TargetAdmission::Impl::queue_bound() const {
  const double calls = kQueueBoundFactor * levels.start_rate() *
                       Seconds(init.max_queue_time).count();
  return std::clamp(static_cast<std::size_t>(calls), kMinQueueBound,
                    std::max(kMinQueueBound, init.max_queued));
}

void TargetAdmission::Impl::Start(const Entry& entry, Instant now,
                                  Actions& actions) {
  Running& call = running[entry.number];
  call.started = now;
  call.route = entry.route;
  call.slots_taken = static_cast<int>(running.size());
  queue.CountStart(entry.organisation, entry.weight, now);
  levels.CountStart(entry.importance);
  ++stats.admitted;
  actions.start.push_back(entry.number);
}

void TargetAdmission::Impl::StartQueued(Instant now, Actions& actions) {
  const bool standing =
      now - queue_empty_at > init.max_queue_time / kStandingQueueDivisor;
  const Duration service_time = limit.base_latency(now);
  while (has_room() && queue.size() > 0) {
    const auto next = queue.PopNext(standing);
    if (next->entry.deadline < now + service_time) {
      ++stats.expired;
      Shed(next->entry, Reason::kDeadlineExceeded, actions);
    } else {
      Start(next->entry, now, actions);
    }
  }
  if (queue.size() == 0) queue_empty_at = now;
  levels.CountRoom(has_room());
}

void TargetAdmission::Impl::Shed(const Entry& entry, Reason reason,
                                 Actions& actions) {
  // The hash of the request gives the jitter without a random source.
  const auto hash = RankOf(Importance::kBackground, entry.request);
  const Duration jitter = Duration(hash) % kRetryAfter;
  actions.refuse.push_back({entry.number, reason, kRetryAfter + jitter});
}

void TargetAdmission::Impl::ShedOverflow(std::uint64_t arrived, Instant now,
                                         Actions& actions) {
  while (queue.size() > queue_bound()) {
    const auto lowest = queue.PopLowest(now);
    levels.CountShed();
    ++(lowest->entry.number == arrived ? stats.shed : stats.evicted);
    Shed(lowest->entry, Reason::kOverloaded, actions);
  }
}

void TargetAdmission::Impl::DropExpired(Instant now, Actions& actions) {
  const Duration service_time = limit.base_latency(now);
  const Instant oldest = now - init.max_queue_time;
  for (const auto& call : queue.PopExpired(now, service_time, oldest)) {
    levels.CountShed();
    ++stats.expired;
    const bool late = call.entry.deadline < now + service_time;
    Shed(call.entry, late ? Reason::kDeadlineExceeded : Reason::kOverloaded,
         actions);
  }
}

void TargetAdmission::Impl::UpdateLevels(Instant now) {
  const double base_latency = Seconds(limit.base_latency(now)).count();
  const double concurrency = slots ? slots->limit() : limit.estimate();
  levels.Update(base_latency > 0 ? concurrency / base_latency : 0, now);
}

TargetAdmission::TargetAdmission(const Init& init)
    : impl_(std::make_shared<Impl>(init)) {}

void TargetAdmission::SetSlots(int slots) {
  if (slots <= 0) {
    impl_->slots.reset();
  } else if (!impl_->slots || impl_->slots->slots() != slots) {
    impl_->slots.emplace(slots);
  }
}

void TargetAdmission::SetMaxQueueTime(Duration max_queue_time) {
  impl_->init.max_queue_time = max_queue_time;
}

TargetAdmission::Actions TargetAdmission::Offer(const Entry& entry,
                                                Instant now) {
  Actions actions;
  Impl& impl = *impl_;
  impl.levels.CountArrival(entry.organisation, entry.weight, entry.importance,
                           RankOf(entry.importance, entry.request));
  if (entry.deadline < now + impl.limit.base_latency(now)) {
    ++impl.stats.expired;
    impl.Shed(entry, Reason::kDeadlineExceeded, actions);
  } else if (impl.queue.size() == 0 && impl.has_room()) {
    impl.Start(entry, now, actions);
    impl.queue_empty_at = now;
    impl.levels.CountRoom(impl.has_room());
  } else {
    impl.queue.Push(entry, now);
    ++impl.stats.queued;
    impl.StartQueued(now, actions);
    impl.ShedOverflow(entry.number, now, actions);
  }
  impl.UpdateLevels(now);
  return actions;
}

TargetAdmission::Actions TargetAdmission::Finish(
    std::uint64_t number, ConcurrencyLimit::Sample sample, Instant now) {
  Actions actions;
  Impl& impl = *impl_;
  const auto found = impl.running.find(number);
  if (found == impl.running.end()) return actions;
  if (found->second.onward_calls > 0) {
    found->second.onward_calls = 1;
    EndOnwardWait(number, now);
  }
  // Onward waits do not count, or a slow service that the target calls would
  // lower the limit of the target.
  const Duration latency =
      now - found->second.started - found->second.onward_time;
  impl.limit.Record(sample, latency, impl.in_flight(), now);
  if (impl.slots && sample == ConcurrencyLimit::Sample::kOk) {
    impl.slots->Record(found->second.route, found->second.slots_taken, latency,
                       now);
  }
  impl.running.erase(found);
  impl.StartQueued(now, actions);
  impl.UpdateLevels(now);
  return actions;
}

TargetAdmission::Actions TargetAdmission::BeginOnwardWait(std::uint64_t number,
                                                          Instant now) {
  Actions actions;
  const auto found = impl_->running.find(number);
  if (found == impl_->running.end()) return actions;
  Impl::Running& call = found->second;
  if (++call.onward_calls > 1) return actions;
  call.onward_wait_start = now;
  ++impl_->waiting_onward;
  impl_->StartQueued(now, actions);
  return actions;
}

void TargetAdmission::EndOnwardWait(std::uint64_t number, Instant now) {
  const auto found = impl_->running.find(number);
  if (found == impl_->running.end()) return;
  Impl::Running& call = found->second;
  if (call.onward_calls == 0 || --call.onward_calls > 0) return;
  call.onward_time += now - call.onward_wait_start;
  --impl_->waiting_onward;
}

bool TargetAdmission::Cancel(std::uint64_t number) {
  return impl_->queue.Remove(number);
}

TargetAdmission::Actions TargetAdmission::Tick(Instant now) {
  Actions actions;
  impl_->StartQueued(now, actions);
  impl_->DropExpired(now, actions);
  impl_->queue.Prune(now);
  impl_->UpdateLevels(now);
  return actions;
}

void TargetAdmission::OnTargetRestart(Instant now) { impl_->limit.Reset(now); }

std::uint32_t TargetAdmission::level(OrganisationId organisation,
                                     Instant now) const {
  return impl_->levels.level(organisation, now);
}

bool TargetAdmission::has_room() const {
  return impl_->queue.size() == 0 && impl_->has_room();
}

int TargetAdmission::limit() const { return impl_->current_limit(); }

int TargetAdmission::in_flight() const { return impl_->in_flight(); }

std::size_t TargetAdmission::started() const { return impl_->running.size(); }

std::size_t TargetAdmission::queued() const { return impl_->queue.size(); }

const TargetAdmission::Stats& TargetAdmission::stats() const {
  return impl_->stats;
}

}  // namespace lentilcross
