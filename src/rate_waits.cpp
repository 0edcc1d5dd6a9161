#include "rate_waits.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lentilcross {
namespace {

constexpr std::size_t kMaxWaiting = 8192;

struct Waiting {
  RateWaitQueue::Handle handle = 0;
  Instant arrived{};
  Instant deadline{};
  Instant retry_at{};
  RateWaitQueue::Done done;
};

struct Completion {
  RateWaitQueue::Done done;
  RateWaitQueue::Result result;
};

}  // namespace

struct RateWaitQueue::Impl : std::enable_shared_from_this<Impl> {
  Impl(DataState& data_state, Hooks wait_hooks)
      : state(data_state),
        hooks(std::move(wait_hooks)),
        timer(state.scheduler.MakeTimer()) {}

  Handle Acquire(OrganisationId organisation, Instant deadline, Done done) {
    const Instant now = state.Now();
    RetryOrganisation(organisation, now);
    const RateLimiter::AcquireResult result =
        state.rate.TryAcquire(organisation, Duration::zero(), now);
    if (result.verdict == RateLimiter::Verdict::kAdmitted) {
      done({Verdict::kAdmitted, {}});
      return 0;
    }
    if (result.verdict == RateLimiter::Verdict::kRefused ||
        count >= kMaxWaiting) {
      done({Verdict::kRefused, result.retry_after});
      return 0;
    }
    ++state.stats.rate_waits;
    ++count;
    const Handle handle = ++last_handle;
    queues[organisation].push_back(
        {handle, now, deadline, result.retry_at, std::move(done)});
    hooks.on_wait();
    StartTimer();
    return handle;
  }

  void Cancel(Handle handle) {
    for (auto& [organisation, queue] : queues) {
      const auto it = std::find_if(
          queue.begin(), queue.end(),
          [handle](const Waiting& entry) { return entry.handle == handle; });
      if (it == queue.end()) continue;
      queue.erase(it);
      --count;
      return;
    }
  }

  void Retry() {
    const Instant now = state.Now();
    std::vector<OrganisationId> organisations;
    for (const auto& [organisation, queue] : queues) {
      if (!queue.empty()) organisations.push_back(organisation);
    }
    for (const OrganisationId organisation : organisations) {
      RetryOrganisation(organisation, now);
    }
    StartTimer();
  }

  void RetryOrganisation(OrganisationId organisation, Instant now) {
    const auto it = queues.find(organisation);
    if (it == queues.end() || it->second.empty()) return;
    std::vector<Completion> completions;
    TakeExpired(it->second, now, completions);
    TakeDecided(organisation, it->second, now, completions);
    count -= completions.size();
    // The callbacks may change the queues.
    for (const Completion& each : completions) each.done(each.result);
  }

  static void TakeExpired(std::deque<Waiting>& queue, Instant now,
                          std::vector<Completion>& completions) {
    for (auto it = queue.begin(); it != queue.end();) {
      if (now < it->deadline) {
        ++it;
        continue;
      }
      completions.push_back({std::move(it->done), {Verdict::kDeadline, {}}});
      it = queue.erase(it);
    }
  }

  // Takes requests from the front until one has to keep waiting.
  void TakeDecided(OrganisationId organisation, std::deque<Waiting>& queue,
                   Instant now, std::vector<Completion>& completions) {
    while (!queue.empty()) {
      Waiting& front = queue.front();
      // A wait of 0 would mark the request as new.
      const Duration waited = std::max(now - front.arrived, Duration(1));
      const auto result = state.rate.TryAcquire(organisation, waited, now);
      if (result.verdict == RateLimiter::Verdict::kWait) {
        front.retry_at = result.retry_at;
        return;
      }
      const bool admitted = result.verdict == RateLimiter::Verdict::kAdmitted;
      completions.push_back({std::move(front.done),
                             {admitted ? Verdict::kAdmitted : Verdict::kRefused,
                              result.retry_after}});
      queue.pop_front();
    }
  }

  void StartTimer() {
    Instant next = Instant::max();
    for (const auto& [organisation, queue] : queues) {
      // Only the front request is retried; the others' retry times are
      // outdated.
      if (!queue.empty()) next = std::min(next, queue.front().retry_at);
      for (const Waiting& waiting : queue) {
        next = std::min(next, waiting.deadline);
      }
    }
    if (next == Instant::max()) return;
    timer->Start(next, [this] { Retry(); });
  }

  DataState& state;
  Hooks hooks;
  std::unique_ptr<Timer> timer;
  Handle last_handle = 0;
  std::size_t count = 0;
  std::unordered_map<OrganisationId, std::deque<Waiting>> queues;
};

RateWaitQueue::RateWaitQueue(DataState& state, Hooks hooks)
    : impl_(std::make_shared<Impl>(state, std::move(hooks))) {}

RateWaitQueue::~RateWaitQueue() = default;

RateWaitQueue::Handle RateWaitQueue::Acquire(OrganisationId organisation,
                                             Instant deadline, Done done) {
  return impl_->Acquire(organisation, deadline, std::move(done));
}

void RateWaitQueue::Cancel(Handle handle) { impl_->Cancel(handle); }

void RateWaitQueue::Retry() { impl_->Retry(); }

std::size_t RateWaitQueue::waiting() const { return impl_->count; }

}  // namespace lentilcross
