#include "target_calls.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "call_replies.h"
#include "lentilcross/config.h"
#include "local_targets.h"
#include "target_request.h"

namespace lentilcross {
namespace {

using std::chrono::steady_clock;
using Sample = ConcurrencyLimit::Sample;
using CallKey = DispatchFence::CallKey;

/// The bounds of section 6.6: a queue holds a call only for a few milliseconds.
constexpr Duration kQueueTick = std::chrono::milliseconds(5);
/// A draining target gets one request in this time, which finds out whether
/// another process has taken its place.
constexpr Duration kDrainProbe = std::chrono::seconds(5);

struct Running {
  Running(Scheduler& scheduler, Call&& incoming)
      : call(std::move(incoming)), timer(scheduler.MakeTimer()) {}

  std::uint64_t number = 0;
  CallKey key;
  Call call;
  TargetCalls::Options options;
  TargetCalls::ReplyHandler done;
  Instant deadline{};
  Instant sent{};  ///< Handed to the client of the target.
  std::unique_ptr<Timer> timer;
  std::size_t target = SIZE_MAX;
  bool started = false;  ///< Left the queue.
  std::string token;
  TargetConnections::Handle http = 0;
  std::vector<ServiceLevel> levels;
  bool exhausted = false;
};

using RunningPtr = std::shared_ptr<Running>;

Sample SampleOf(std::uint16_t status) {
  if (status == 503 || status == 429) return Sample::kRefused;
  return status >= 500 ? Sample::kFailed : Sample::kOk;
}

}  // namespace

struct TargetCalls::Impl : std::enable_shared_from_this<Impl> {
  Impl(DataState& data_state, TargetConnections& target_client,
       const std::vector<LocalTarget>& settings)
      : state(data_state),
        client(target_client),
        targets(settings),
        queue_timer(state.scheduler.MakeTimer()) {}

  // ----- Arrival

  bool Accept(Incarnation origin, Call&& call, const Options& options,
              ReplyHandler done) {
    const Instant now = state.Now();
    const CallKey key{origin, call.number};
    const Instant deadline = now + call.remaining;
    switch (state.fence.OnCall(key, deadline, now)) {
      case DispatchFence::Received::kDuplicate:
        return false;
      case DispatchFence::Received::kFenced:
        done(MakeNotRunReply(call, Reason::kDeadlineExceeded,
                             "cancelled before"));
        return true;
      case DispatchFence::Received::kFull:
        done(MakeNotRunReply(call, Reason::kOverloaded,
                             "too many calls remembered"));
        return true;
      case DispatchFence::Received::kNew:
        break;
    }
    auto running = std::make_shared<Running>(state.scheduler, std::move(call));
    running->number = ++last_number;
    running->key = key;
    running->options = options;
    running->done = std::move(done);
    running->deadline = deadline;
    Admit(running, now);
    return true;
  }

  void Admit(const RunningPtr& running, Instant now) {
    by_number[running->number] = running;
    by_key[running->key] = running;
    const Call& call = running->call;
    if (call.context.depth > LENTILCROSS_CONFIG_MAX_DEPTH ||
        !IsWritable(HttpRequest{call.method, call.path, call.headers, {}})) {
      Refuse(running, Reason::kBadRequest, "malformed call", {});
      return;
    }
    if (state.draining && !running->options.local) {
      Refuse(running, Reason::kDraining, "daemon is draining", {});
      return;
    }
    if (running->deadline <= now) {
      Refuse(running, Reason::kDeadlineExceeded, "no time left", {});
      return;
    }
    const std::size_t target = targets.LeastLoaded(call.service);
    if (target == targets.size()) {
      Refuse(running, Reason::kNoTarget, "no target of the service here", {});
      return;
    }
    running->target = target;
    if (targets[target].drains_until > now || targets[target].leaving) {
      Refuse(running, Reason::kDraining, "the target is draining", {});
      return;
    }
    // Its name guards against another target at the same address.
    if (!state.dialect.expected_target.empty() &&
        targets[target].registered_name.empty()) {
      Refuse(running, Reason::kNotReady, "the target is not registered", {});
      return;
    }
    StartDeadline(running);
    Apply(target, targets[target].admission->Offer(EntryOf(*running), now));
    StartQueueTimer();
  }

  TargetAdmission::Entry EntryOf(const Running& running) const {
    const RequestContext& context = running.call.context;
    TargetAdmission::Entry entry;
    entry.number = running.number;
    entry.request = context.id;
    entry.route = running.call.route;
    entry.organisation = context.organisation;
    entry.importance = context.importance;
    entry.deadline = running.deadline;
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
      const RunningPtr running = it->second;
      Refuse(running, refused.reason, "refused by the admission of the target",
             refused.retry_after);
    }
    for (const std::uint64_t number : actions.start) {
      const auto it = by_number.find(number);
      if (it == by_number.end()) {
        EndAdmission(target, number, Sample::kRefused);
        continue;
      }
      const RunningPtr running = it->second;
      running->started = true;
      Start(running);
    }
  }

  void EndAdmission(std::size_t target, std::uint64_t number, Sample sample) {
    Apply(target,
          targets[target].admission->Finish(number, sample, state.Now()));
  }

  void StartQueueTimer() {
    if (queue_timer_runs || !targets.HasQueue()) return;
    queue_timer_runs = true;
    queue_timer->Start(state.Now() + kQueueTick, [this] { OnQueueTimer(); });
  }

  void OnQueueTimer() {
    queue_timer_runs = false;
    const Instant now = state.Now();
    for (std::size_t i = 0; i < targets.size(); ++i) {
      Apply(i, targets[i].admission->Tick(now));
    }
    StartQueueTimer();
  }

  // ----- Running

  void Start(const RunningPtr& running) {
    const auto& key = running->options.key;
    if (key && !state.keys.IsGood(*key)) {
      Refuse(running, Reason::kWithdrawnKey, "key withdrawn while queued", {});
      return;
    }
    if (state.dialect.parent_of) {
      NameCall(running);
    } else if (!state.dialect.context.empty() && !IssueToken(running)) {
      Refuse(running, Reason::kOverloaded, "too many context tokens", {});
      return;
    }
    Send(running);
  }

  /// Onward calls are recognised by the caller's name for the request, which
  /// is the token then. Of two calls with one name the first keeps it.
  void NameCall(const RunningPtr& running) {
    const HttpRequest request{{}, {}, running->call.headers, {}};
    const std::string name(request.header(state.dialect.request_id));
    if (name.empty() || !by_token.emplace(name, running).second) return;
    running->token = name;
  }

  bool IssueToken(const RunningPtr& running) {
    ContextTokens::Entry entry;
    entry.context = running->call.context;
    entry.deadline = running->deadline;
    entry.allowance = AttemptAllowance(running->call.extra_attempts);
    running->token = state.tokens.Issue(entry);
    if (running->token.empty()) return false;
    by_token[running->token] = running;
    return true;
  }

  void Send(const RunningPtr& running) {
    running->sent = state.Now();
    const HttpRequest request = ToTargetRequest(
        running->call, running->token, targets[running->target].registered_name,
        running->deadline - state.Now(), state.configuration.get(),
        state.dialect);
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

  void OnResult(const RunningPtr& running, TargetConnections::Result&& result) {
    running->http = 0;
    switch (result.failure) {
      case TargetConnections::Failure::kNone:
        OnAnswer(running, std::move(result.response));
        return;
      case TargetConnections::Failure::kNotAllowed:
        Refuse(running, Reason::kDeadlineExceeded, "deadline before the write",
               {});
        return;
      case TargetConnections::Failure::kPoolFull:
        Refuse(running, Reason::kOverloaded, result.detail, {});
        return;
      case TargetConnections::Failure::kUnsent:
        state.fence.WriteFailedUnsent(running->key);
        Refuse(running, Reason::kNoTarget, result.detail, {}, Sample::kFailed);
        return;
      case TargetConnections::Failure::kSent:
        state.fence.OnAnswered(running->key, state.Now());
        Finish(running,
               Unknown(running->call, Reason::kTargetFailed, result.detail),
               Sample::kFailed);
        return;
    }
  }

  void OnAnswer(const RunningPtr& running, HttpResponse response) {
    const Instant now = state.Now();
    state.fence.OnAnswered(running->key, now);
    state.target_latency.Add(now - running->sent);
    AdmittedTarget& target = targets[running->target];
    if (response.header(header::kTargetState) == "draining") {
      target.drains_until = now + kDrainProbe;
      if (response.status == 503) {
        Finish(running,
               MakeNotRunReply(running->call, Reason::kDraining,
                               "the target refused"),
               Sample::kRefused);
        return;
      }
    }
    if (!state.dialect.not_run.empty() && JudgeExecution(running, response)) {
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

  /// Ends the call if the target did not run it, or if its status would claim
  /// so without proof.
  bool JudgeExecution(const RunningPtr& running, const HttpResponse& response) {
    const std::string status = std::to_string(response.status);
    if (!response.header(state.dialect.not_run).empty() ||
        response.status == 421) {
      const bool busy = response.status == 503 || response.status == 429;
      Finish(running,
             MakeNotRunReply(running->call,
                             busy ? Reason::kOverloaded : Reason::kNoTarget,
                             "the target did not run it: status " + status),
             Sample::kRefused);
      return true;
    }
    const bool claims_not_run = response.status == 503 ||
                                response.status == 429 ||
                                response.status == 408;
    if (!claims_not_run) return false;
    Finish(running,
           Unknown(running->call, Reason::kTargetFailed,
                   "the target answered with status " + status),
           Sample::kFailed);
    return true;
  }

  /// Ends a call that was not written and, by the fence, never will be.
  void Refuse(const RunningPtr& running, Reason reason,
              const std::string& detail, Duration retry_after,
              Sample sample = Sample::kRefused) {
    state.fence.OnCancel(running->key, state.Now());
    Reply reply = MakeNotRunReply(running->call, reason, detail);
    reply.refusal.retry_after = retry_after;
    Finish(running, std::move(reply), sample);
  }

  void Finish(const RunningPtr& running, Reply reply, Sample sample) {
    if (!running->done) return;
    ReplyHandler done = std::exchange(running->done, nullptr);
    Complete(running, reply);
    Remove(running, sample);
    done(std::move(reply));
  }

  /// Adds the unused attempts and the levels to a reply.
  void Complete(const RunningPtr& running, Reply& reply) {
    reply.extra_attempts_left = running->call.extra_attempts;
    if (const auto* entry = state.tokens.Find(running->token)) {
      reply.extra_attempts_left = entry->allowance.extra_attempts();
    }
    reply.attempts_exhausted = running->exhausted;
    reply.levels = running->levels;
    if (running->target >= targets.size()) return;
    const AdmittedTarget& target = targets[running->target];
    if (target.service != running->call.service) return;
    const std::uint32_t level = target.admission->level(
        running->call.context.organisation, state.Now());
    reply.levels.push_back({target.service, level});
  }

  void Remove(const RunningPtr& running, Sample sample) {
    running->timer->Stop();
    by_number.erase(running->number);
    by_key.erase(running->key);
    if (!running->token.empty()) {
      state.tokens.Revoke(running->token);
      by_token.erase(running->token);
      if (token_ended) token_ended(running->token);
    }
    if (running->started) {
      EndAdmission(running->target, running->number, sample);
    }
  }

  // ----- Deadline and cancellation

  void StartDeadline(const RunningPtr& running) {
    // The timer belongs to `running`, so it must not keep it.
    running->timer->Start(running->deadline,
                          [this, weak = std::weak_ptr<Running>(running)] {
                            const RunningPtr late = weak.lock();
                            if (late && late->done) OnDeadline(late);
                          });
  }

  void OnDeadline(const RunningPtr& running) {
    const bool never_run = Stop(running);
    Reply reply =
        never_run
            ? MakeNotRunReply(running->call, Reason::kDeadlineExceeded,
                              "deadline passed before the call was written")
            : Unknown(running->call, Reason::kDeadlineExceeded,
                      "deadline passed while the target worked");
    Finish(running, std::move(reply), Sample::kTimedOut);
  }

  /// Takes the call out of the queue or closes its connection. True if it never
  /// ran.
  bool Stop(const RunningPtr& running) {
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
    const RunningPtr running = it->second;
    running->done = nullptr;
    const bool never_run = Stop(running);
    // A cancelled call says nothing about the target's latency.
    Remove(running, never_run ? Sample::kRefused : Sample::kTimedOut);
    return never_run;
  }

  RunningPtr FindByToken(std::string_view token) const {
    const auto it = by_token.find(std::string(token));
    return it == by_token.end() ? nullptr : it->second;
  }

  DataState& state;
  TargetConnections& client;
  LocalTargets targets;
  std::unique_ptr<Timer> queue_timer;
  bool queue_timer_runs = false;
  std::uint64_t last_number = 0;
  std::function<void(const std::string&)> token_ended;
  std::unordered_map<std::uint64_t, RunningPtr> by_number;
  std::unordered_map<CallKey, RunningPtr, DispatchFence::KeyHash> by_key;
  std::unordered_map<std::string, RunningPtr> by_token;
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
  const RunningPtr running = impl_->FindByToken(token);
  return running ? &running->call.context : nullptr;
}

void TargetCalls::BeginOnward(std::string_view token) {
  const RunningPtr running = impl_->FindByToken(token);
  if (!running) return;
  TargetAdmission& admission = *impl_->targets[running->target].admission;
  impl_->Apply(running->target,
               admission.BeginOnward(running->number, impl_->state.Now()));
}

void TargetCalls::EndOnward(std::string_view token) {
  const RunningPtr running = impl_->FindByToken(token);
  if (!running) return;
  impl_->targets[running->target].admission->EndOnward(running->number,
                                                       impl_->state.Now());
}

void TargetCalls::NoteOnward(std::string_view token,
                             const std::vector<ServiceLevel>& levels,
                             bool exhausted) {
  const RunningPtr running = impl_->FindByToken(token);
  if (!running) return;
  MergeLevels(running->levels, levels);
  running->exhausted = running->exhausted || exhausted;
}

void TargetCalls::SetTokenRevokedHandler(
    std::function<void(const std::string& token)> hook) {
  impl_->token_ended = std::move(hook);
}

void TargetCalls::SetLongestQueue(Duration longest_queue) {
  impl_->targets.SetLongestQueue(longest_queue);
}

void TargetCalls::OnConfiguration(const Configuration& configuration) {
  SetLongestQueue(configuration.preset.queue);
  impl_->targets.Follow(configuration, impl_->state.self);
}

void TargetCalls::AbortAll() {
  std::vector<RunningPtr> all;
  for (const auto& [number, running] : impl_->by_number) all.push_back(running);
  for (const RunningPtr& running : all) {
    if (!running->done) continue;
    const bool never_run = impl_->Stop(running);
    Reply reply =
        never_run ? MakeNotRunReply(running->call, Reason::kDraining,
                                    "daemon stops before the call was written")
                  : Unknown(running->call, Reason::kTargetFailed,
                            "daemon stops while the target worked");
    impl_->Finish(running, std::move(reply), Sample::kTimedOut);
  }
}

std::size_t TargetCalls::running() const { return impl_->by_number.size(); }

std::vector<TargetStatus> TargetCalls::Status() const {
  return impl_->targets.Status(impl_->state.Now());
}

}  // namespace lentilcross
