#include "target_calls.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "call_replies.h"
#include "health_checks.h"
#include "lentilcross/config.h"
#include "lentilcross/home_regions.h"
#include "local_targets.h"
#include "target_request.h"

namespace lentilcross {
namespace {

using Sample = ConcurrencyLimit::Sample;
using CallKey = DispatchFence::CallKey;

/// Interval at which queues drop expired calls. Section 6.6 of the design
/// limits the time in a queue to a few milliseconds.
constexpr Duration kQueueTickInterval = std::chrono::milliseconds(5);
/// A draining target gets one request per interval, to find out whether another
/// process has replaced it.
constexpr Duration kDrainProbeInterval = std::chrono::seconds(5);
/// A call that is queued or running.
struct RunningCall {
  RunningCall(Scheduler& scheduler, Call&& incoming)
      : call(std::move(incoming)), timer(scheduler.MakeTimer()) {}

  std::uint64_t number = 0;
  CallKey key;
  Call call;
  TargetCalls::Options options;
  TargetCalls::ReplyHandler done;
  Instant deadline{};
  Instant sent{};  ///< When it was passed to `TargetConnections`.
  std::unique_ptr<Timer> timer;
  std::size_t target = SIZE_MAX;
  bool started = false;  ///< Admitted; no longer queued.
  std::string token;
  TargetConnections::Handle http = 0;
  std::vector<ServiceLevel> levels;
  bool attempts_exhausted = false;
  bool waited = false;  ///< In the queue.
};

using RunningCallPtr = std::shared_ptr<RunningCall>;

Sample SampleOf(std::uint16_t status) {
  if (status == 503 || status == 429) return Sample::kRefused;
  return status >= 500 ? Sample::kFailed : Sample::kOk;
}

/// True if the load that a target states has a fourth figure, besides running
/// and waiting calls and slots: how long work takes there at this moment.
bool StatesPace(std::string_view load) {
  return std::count(load.begin(), load.end(), ',') == 3;
}

bool IsWellFormed(const Call& call) {
  const RequestContext& context = call.context;
  if (context.depth > LENTILCROSS_CONFIG_MAX_DEPTH) return false;
  if (context.organisation.valid() && context.organisation_name.empty()) {
    return false;
  }
  return IsFieldValue(context.organisation_name) &&
         IsSafeToSerialise(
             HttpRequest{call.method, call.path, call.headers, {}});
}

}  // namespace

struct TargetCalls::Impl : std::enable_shared_from_this<Impl> {
  Impl(DataState& data_state, TargetConnections& target_client,
       const std::vector<LocalTarget>& settings)
      : state(data_state),
        client(target_client),
        targets(settings),
        health_checks(std::make_shared<HealthChecks>(state, client, targets)),
        queue_timer(state.scheduler.MakeTimer()) {}

  // ----- Arrival

  bool Accept(Incarnation origin, Call&& call, const Options& options,
              ReplyHandler done) {
    const Instant now = state.Now();
    const CallKey key{origin, call.number};
    const Instant deadline = now + call.remaining;
    switch (state.fence.OnCall(key, deadline, now)) {
      case DispatchFence::ReceiveResult::kDuplicate:
        return false;
      case DispatchFence::ReceiveResult::kFenced:
        done(MakeNotRunReply(call, Reason::kDeadlineExceeded,
                             "cancelled before the call arrived"));
        return true;
      case DispatchFence::ReceiveResult::kFull:
        done(MakeNotRunReply(call, Reason::kOverloaded,
                             "the fence has no room for another call"));
        return true;
      case DispatchFence::ReceiveResult::kNew:
        break;
    }
    auto running =
        std::make_shared<RunningCall>(state.scheduler, std::move(call));
    running->number = ++last_number;
    running->key = key;
    running->options = options;
    running->done = std::move(done);
    running->deadline = deadline;
    Admit(running, now);
    return true;
  }

  void Admit(const RunningCallPtr& running, Instant now) {
    by_number[running->number] = running;
    by_key[running->key] = running;
    const Call& call = running->call;
    if (!IsWellFormed(call)) {
      Refuse(running, Reason::kBadRequest, "malformed call", {});
      return;
    }
    if (state.draining && !running->options.local) {
      Refuse(running, Reason::kDraining, "daemon is draining", {});
      return;
    }
    if (running->deadline <= now) {
      Refuse(running, Reason::kDeadlineExceeded,
             "deadline passed before the call arrived", {});
      return;
    }
    if (!IsHome(call)) {
      Refuse(running, Reason::kHomeUnreachable,
             "this host is outside the home regions of the request", {});
      return;
    }
    const std::size_t target = targets.LeastLoaded(call.service);
    if (target == targets.size()) {
      Refuse(running, Reason::kNoTarget,
             "no target of the service on this host", {});
      return;
    }
    running->target = target;
    if (targets[target].drain_probe_at > now ||
        targets[target].draining_in_registry) {
      Refuse(running, Reason::kDraining, "the target is draining", {});
      return;
    }
    if (targets[target].evacuated) {
      Refuse(running, Reason::kDraining, "the failure domain is evacuated", {});
      return;
    }
    if (!targets[target].cold.HasRoom(now)) {
      RefuseAsCold(running);
      return;
    }
    // Its registered name is sent with the request, so that another target at
    // the same address refuses it.
    if (!state.dialect.expected_target.empty() &&
        targets[target].registered_name.empty()) {
      Refuse(running, Reason::kNotReady, "the target is not registered", {});
      return;
    }
    if (call.may_hand_back && targets[target].states_pace &&
        !targets[target].admission->has_room()) {
      ++targets[target].handed_back;
      Refuse(running, Reason::kTargetBusy, "the target has no room", {});
      return;
    }
    StartDeadline(running);
    Apply(target, targets[target].admission->Offer(EntryOf(*running), now));
    running->waited = !running->started;
    StartQueueTimer();
  }

  /// Whether the call may be served here. Its sender may know an older
  /// configuration, in which the route or organisation has other home regions.
  bool IsHome(const Call& call) const {
    if (!state.configuration) return call.context.home_regions.empty();
    const Configuration& configuration = *state.configuration;
    const RegionId own = RegionOf(state.failure_domain, configuration);
    if (!AllowsRegion(call.context.home_regions, own)) return false;
    if (configuration.version <= call.context.version) return true;
    const auto route = configuration.route_index.find(call.route);
    if (route != configuration.route_index.end() &&
        !AllowsRegion(configuration.routes[route->second].home_regions, own)) {
      return false;
    }
    const auto organisation =
        configuration.organisations.find(call.context.organisation);
    return organisation == configuration.organisations.end() ||
           AllowsRegion(organisation->second.home_regions, own);
  }

  TargetAdmission::Entry EntryOf(const RunningCall& running) const {
    const RequestContext& context = running.call.context;
    TargetAdmission::Entry entry;
    entry.number = running.number;
    entry.request = context.id;
    entry.route = running.call.route;
    entry.organisation = context.organisation;
    entry.importance = context.importance;
    entry.deadline = running.deadline;
    entry.pinned = !context.home_regions.empty();
    if (state.configuration) {
      const auto& organisations = state.configuration->organisations;
      const auto it = organisations.find(context.organisation);
      if (it != organisations.end()) entry.weight = it->second.weight;
    }
    return entry;
  }

  // ----- Admission

  void Apply(std::size_t target, const TargetAdmission::Actions& actions) {
    for (const auto& refused : actions.refuse) {
      const auto it = by_number.find(refused.number);
      if (it == by_number.end()) continue;
      const RunningCallPtr running = it->second;
      Refuse(running, refused.reason,
             "refused by the admission control of the target",
             refused.retry_after);
    }
    for (const std::uint64_t number : actions.start) {
      const auto it = by_number.find(number);
      if (it == by_number.end()) {
        EndAdmission(target, number, Sample::kRefused);
        continue;
      }
      const RunningCallPtr running = it->second;
      running->started = true;
      Start(running);
    }
  }

  void EndAdmission(std::size_t target, std::uint64_t number, Sample sample) {
    Apply(target,
          targets[target].admission->Finish(number, sample, state.Now()));
  }

  void StartQueueTimer() {
    if (queue_timer_runs || !targets.HasQueuedCalls()) return;
    queue_timer_runs = true;
    queue_timer->Start(state.Now() + kQueueTickInterval,
                       [this] { OnQueueTimer(); });
  }

  void OnQueueTimer() {
    queue_timer_runs = false;
    const Instant now = state.Now();
    for (std::size_t i = 0; i < targets.size(); ++i) {
      Apply(i, targets[i].admission->Tick(now));
    }
    StartQueueTimer();
  }

  // ----- Cold starts

  void RefuseAsCold(const RunningCallPtr& running) {
    ColdStartLimit& cold = targets[running->target].cold;
    cold.CountRefused();
    const Duration remaining = cold.Remaining(state.Now());
    health_checks->Start();
    Refuse(running, Reason::kTargetCold, "the target is cold", remaining);
  }

  // ----- Running

  void Start(const RunningCallPtr& running) {
    if (!state.StillAdmits(running->options.key, running->call.route)) {
      Refuse(running, Reason::kWithdrawnKey,
             "API key withdrawn while the call was queued", {});
      return;
    }
    LocalTargetState& target = targets[running->target];
    if (target.evacuated) {
      Refuse(running, Reason::kDraining,
             "the failure domain was evacuated while the call was queued", {});
      return;
    }
    if (!target.cold.TryStart(state.Now())) {
      RefuseAsCold(running);
      return;
    }
    health_checks->Start();
    if (state.dialect.parent_request_of) {
      UseRequestIdAsToken(running);
    } else if (!state.dialect.context.empty() && !IssueToken(running)) {
      Refuse(running, Reason::kOverloaded, "too many context tokens", {});
      return;
    }
    Send(running);
  }

  /// Makes the caller's request id the token, by which onward calls are then
  /// recognised. If two calls have the same id, only the first gets the token.
  void UseRequestIdAsToken(const RunningCallPtr& running) {
    const HttpRequest request{{}, {}, running->call.headers, {}};
    const std::string name(request.header(state.dialect.request_id));
    if (name.empty() || !by_token.emplace(name, running).second) return;
    running->token = name;
  }

  bool IssueToken(const RunningCallPtr& running) {
    ContextTokens::Entry entry;
    entry.context = running->call.context;
    entry.deadline = running->deadline;
    entry.allowance = AttemptAllowance(running->call.extra_attempts);
    running->token = state.tokens.Issue(entry);
    if (running->token.empty()) return false;
    by_token[running->token] = running;
    return true;
  }

  void Send(const RunningCallPtr& running) {
    running->sent = state.Now();
    const HttpRequest request = ToTargetRequest(
        running->call, running->token, targets[running->target].registered_name,
        running->deadline - state.Now(), state.dialect);
    running->http = client.Start(
        targets[running->target].settings.address, request,
        [this, key = running->key] {
          return state.fence.BeginWrite(key, state.Now());
        },
        [weak = weak_from_this(), running](TargetConnections::Result&& result) {
          if (auto self = weak.lock()) {
            self->OnResult(running, std::move(result));
          }
        });
  }

  void OnResult(const RunningCallPtr& running,
                TargetConnections::Result&& result) {
    running->http = 0;
    switch (result.failure) {
      case TargetConnections::Failure::kNone:
        OnResponse(running, std::move(result.response));
        return;
      case TargetConnections::Failure::kNotAllowed:
        Refuse(running, Reason::kDeadlineExceeded,
               "deadline passed before the call was written", {});
        return;
      case TargetConnections::Failure::kPoolFull:
        Refuse(running, Reason::kOverloaded, result.detail, {});
        return;
      case TargetConnections::Failure::kUnsent:
        state.fence.WriteFailedUnsent(running->key);
        // It may be starting again.
        targets[running->target].cold.OnDoubt(state.Now());
        Refuse(running, Reason::kNoTarget, result.detail, {}, Sample::kFailed);
        return;
      case TargetConnections::Failure::kSent:
        state.fence.OnAnswered(running->key, state.Now());
        Finish(running,
               MakeUnknownOutcomeReply(running->call, Reason::kTargetFailed,
                                       result.detail),
               Sample::kFailed);
        return;
    }
  }

  void OnResponse(const RunningCallPtr& running, HttpResponse response) {
    const Instant now = state.Now();
    state.fence.OnAnswered(running->key, now);
    state.target_latency.Add(now - running->sent);
    LocalTargetState& target = targets[running->target];
    target.states_pace = target.states_pace ||
                         StatesPace(response.header(state.dialect.target_load));
    if (response.header(header::kTargetState) == "draining") {
      target.drain_probe_at = now + kDrainProbeInterval;
      if (response.status == 503) {
        Finish(running,
               MakeNotRunReply(running->call, Reason::kDraining,
                               "the target is draining and refused the call"),
               Sample::kRefused);
        return;
      }
    }
    if (!state.dialect.not_run.empty() && FinishIfNotRun(running, response)) {
      return;
    }
    Reply reply;
    reply.number = running->call.number;
    reply.status = static_cast<std::uint16_t>(response.status);
    reply.headers = std::move(response.headers);
    reply.body = std::move(response.body);
    const Sample sample = SampleOf(reply.status);
    Finish(running, std::move(reply), sample);
  }

  /// Ends the call and returns true if the response proves that the target did
  /// not run it, or, with an unknown outcome, if only the status suggests so.
  bool FinishIfNotRun(const RunningCallPtr& running,
                      const HttpResponse& response) {
    const std::string status = std::to_string(response.status);
    if (!response.header(state.dialect.not_run).empty() ||
        response.status == 421) {
      const bool busy = response.status == 503 || response.status == 429;
      // Another target has the address, or this one started again.
      if (response.status == 421) {
        targets[running->target].cold.OnDoubt(state.Now());
      }
      Finish(running,
             MakeNotRunReply(
                 running->call, busy ? Reason::kOverloaded : Reason::kNoTarget,
                 "the target did not run the call: status " + status),
             Sample::kRefused);
      return true;
    }
    const bool suggests_not_run = response.status == 503 ||
                                  response.status == 429 ||
                                  response.status == 408;
    if (!suggests_not_run) return false;
    Finish(
        running,
        MakeUnknownOutcomeReply(running->call, Reason::kTargetFailed,
                                "the target responded with status " + status),
        Sample::kFailed);
    return true;
  }

  /// Ends a call that was not written. The fence ensures that it never will be.
  void Refuse(const RunningCallPtr& running, Reason reason,
              const std::string& detail, Duration retry_after,
              Sample sample = Sample::kRefused) {
    state.fence.OnCancel(running->key, state.Now());
    Reply reply = MakeNotRunReply(running->call, reason, detail);
    reply.refusal.retry_after = retry_after;
    Finish(running, std::move(reply), sample);
  }

  void Finish(const RunningCallPtr& running, Reply reply, Sample sample) {
    if (!running->done) return;
    ReplyHandler done = std::exchange(running->done, nullptr);
    FillReply(running, reply);
    Remove(running, sample);
    done(std::move(reply));
  }

  /// Adds the unused extra attempts and the shedding levels to a reply.
  void FillReply(const RunningCallPtr& running, Reply& reply) {
    reply.extra_attempts_left = running->call.extra_attempts;
    if (const auto* entry = state.tokens.Find(running->token)) {
      reply.extra_attempts_left = entry->allowance.extra_attempts();
    }
    reply.attempts_exhausted = running->attempts_exhausted;
    reply.waited = running->waited;
    reply.levels = running->levels;
    if (running->target >= targets.size()) return;
    const LocalTargetState& target = targets[running->target];
    if (target.service != running->call.service) return;
    const std::uint32_t level = target.admission->level(
        running->call.context.organisation, state.Now());
    reply.levels.push_back({target.service, level});
  }

  void Remove(const RunningCallPtr& running, Sample sample) {
    running->timer->Stop();
    by_number.erase(running->number);
    by_key.erase(running->key);
    if (!running->token.empty()) {
      state.tokens.Revoke(running->token);
      by_token.erase(running->token);
      if (token_revoked) token_revoked(running->token);
    }
    if (running->started) {
      EndAdmission(running->target, running->number, sample);
    }
  }

  // ----- Deadline and cancellation

  void StartDeadline(const RunningCallPtr& running) {
    // `running` owns the timer: a strong reference would be a cycle.
    running->timer->Start(running->deadline,
                          [this, weak = std::weak_ptr<RunningCall>(running)] {
                            const RunningCallPtr expired = weak.lock();
                            if (expired && expired->done) OnDeadline(expired);
                          });
  }

  void OnDeadline(const RunningCallPtr& running) {
    const bool never_run = Stop(running);
    Reply reply =
        never_run
            ? MakeNotRunReply(running->call, Reason::kDeadlineExceeded,
                              "deadline passed before the call was written")
            : MakeUnknownOutcomeReply(
                  running->call, Reason::kDeadlineExceeded,
                  "deadline passed while the target ran the call");
    Finish(running, std::move(reply), Sample::kTimedOut);
  }

  /// Removes the call from the queue or closes its connection. Returns true if
  /// it never ran.
  bool Stop(const RunningCallPtr& running) {
    const auto result = state.fence.OnCancel(running->key, state.Now());
    if (!running->started && running->target < targets.size()) {
      targets[running->target].admission->Cancel(running->number);
    }
    if (running->http != 0) {
      client.Cancel(running->http);
      running->http = 0;
    }
    if (result == DispatchFence::CancelResult::kNeverRun) return true;
    state.fence.OnAnswered(running->key, state.Now());
    return false;
  }

  bool Cancel(const CallKey& key) {
    const auto it = by_key.find(key);
    if (it == by_key.end()) {
      return state.fence.OnCancel(key, state.Now()) ==
             DispatchFence::CancelResult::kNeverRun;
    }
    const RunningCallPtr running = it->second;
    running->done = nullptr;
    const bool never_run = Stop(running);
    // A cancelled call gives no valid sample of the target's latency.
    Remove(running, never_run ? Sample::kRefused : Sample::kTimedOut);
    return never_run;
  }

  RunningCallPtr FindByToken(std::string_view token) const {
    const auto it = by_token.find(std::string(token));
    return it == by_token.end() ? nullptr : it->second;
  }

  DataState& state;
  TargetConnections& client;
  LocalTargets targets;
  std::shared_ptr<HealthChecks> health_checks;
  std::unique_ptr<Timer> queue_timer;
  bool queue_timer_runs = false;
  std::uint64_t last_number = 0;
  std::function<void(const std::string&)> token_revoked;
  std::unordered_map<std::uint64_t, RunningCallPtr> by_number;
  std::unordered_map<CallKey, RunningCallPtr, DispatchFence::KeyHash> by_key;
  std::unordered_map<std::string, RunningCallPtr> by_token;
};

TargetCalls::TargetCalls(DataState& state, TargetConnections& client,
                         const std::vector<LocalTarget>& targets)
    : impl_(std::make_shared<Impl>(state, client, targets)) {}

TargetCalls::~TargetCalls() = default;

bool TargetCalls::Accept(Incarnation origin, Call call, const Options& options,
                         ReplyHandler done) {
  return impl_->Accept(origin, std::move(call), options, std::move(done));
}

bool TargetCalls::Cancel(Incarnation origin, CallNumber number) {
  return impl_->Cancel({origin, number});
}

const RequestContext* TargetCalls::FindContext(std::string_view token) const {
  const RunningCallPtr running = impl_->FindByToken(token);
  return running ? &running->call.context : nullptr;
}

void TargetCalls::BeginOnwardWait(std::string_view token) {
  const RunningCallPtr running = impl_->FindByToken(token);
  if (!running) return;
  TargetAdmission& admission = *impl_->targets[running->target].admission;
  impl_->Apply(running->target,
               admission.BeginOnwardWait(running->number, impl_->state.Now()));
}

void TargetCalls::EndOnwardWait(std::string_view token) {
  const RunningCallPtr running = impl_->FindByToken(token);
  if (!running) return;
  impl_->targets[running->target].admission->EndOnwardWait(running->number,
                                                           impl_->state.Now());
}

void TargetCalls::RecordOnwardResult(std::string_view token,
                                     const std::vector<ServiceLevel>& levels,
                                     bool attempts_exhausted) {
  const RunningCallPtr running = impl_->FindByToken(token);
  if (!running) return;
  MergeLevels(running->levels, levels);
  running->attempts_exhausted =
      running->attempts_exhausted || attempts_exhausted;
}

void TargetCalls::SetTokenRevokedHandler(
    std::function<void(const std::string& token)> handler) {
  impl_->token_revoked = std::move(handler);
}

void TargetCalls::SetMaxQueueTime(Duration max_queue_time) {
  impl_->targets.SetMaxQueueTime(max_queue_time);
}

void TargetCalls::OnConfiguration(const Configuration& configuration) {
  SetMaxQueueTime(configuration.preset.max_queue_time);
  impl_->targets.ApplyRegistrations(configuration, impl_->state.self,
                                    impl_->state.failure_domain,
                                    impl_->state.Now());
  impl_->health_checks->Start();
}

void TargetCalls::AbortAll() {
  std::vector<RunningCallPtr> all;
  for (const auto& [number, running] : impl_->by_number) all.push_back(running);
  for (const RunningCallPtr& running : all) {
    if (!running->done) continue;
    const bool never_run = impl_->Stop(running);
    Reply reply =
        never_run
            ? MakeNotRunReply(running->call, Reason::kDraining,
                              "the daemon stopped before the call was written")
            : MakeUnknownOutcomeReply(
                  running->call, Reason::kTargetFailed,
                  "the daemon stopped while the target ran the call");
    impl_->Finish(running, std::move(reply), Sample::kTimedOut);
  }
}

std::size_t TargetCalls::running() const { return impl_->by_number.size(); }

std::vector<TargetStatus> TargetCalls::Status() const {
  return impl_->targets.Status(impl_->state.Now());
}

}  // namespace lentilcross
