#include "node.h"

namespace lentilcross::bench {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(5);
// A refusal on arrival is in favour of calls that were taken in shortly before.
constexpr Duration kInFavourOf = std::chrono::milliseconds(10);
constexpr Duration kQueueTimeout = std::chrono::milliseconds(50);

ConcurrencyLimit::Sample SampleOf(CallEnd end) {
  switch (end) {
    case CallEnd::kOk:
      return ConcurrencyLimit::Sample::kOk;
    case CallEnd::kLate:
      return ConcurrencyLimit::Sample::kTimedOut;
    case CallEnd::kShed:
    case CallEnd::kBehind:
    case CallEnd::kFailed:
      break;
  }
  return ConcurrencyLimit::Sample::kFailed;
}

}  // namespace

Node::Node(World& world, std::size_t hop)
    : world_(world),
      hop_(hop),
      target_(world.loop, world.deployment.chain[hop].slots),
      admission_({}),
      caller_(world) {
  if (world.policy == Policy::kQueueTimeout) {
    target_.set_longest_wait(kQueueTimeout);
  }
}

void Node::Receive(const RequestPtr& request, std::uint16_t extra,
                   OnReply on_reply) {
  if (!target_.up()) {
    on_reply({CallEnd::kFailed, extra, {}});
    return;
  }
  const auto connections =
      static_cast<std::size_t>(world_.deployment.chain[hop_].connections);
  if (world_.policy == Policy::kFixedLimit && held_.size() >= connections) {
    CountRefused(*request, world_.loop.now() - kInFavourOf);
    on_reply({CallEnd::kShed, extra, {}});
    return;
  }
  const std::uint64_t number = next_number_++;
  held_[number] = {request, extra, std::move(on_reply), world_.loop.now()};
  if (world_.policy == Policy::kLentilcross) {
    Offer(number);
  } else {
    Run(number);
  }
}

void Node::Offer(std::uint64_t number) {
  const Request& request = *held_.at(number).request;
  const OrganisationSize& organisation =
      world_.deployment.organisations[request.organisation];
  TargetAdmission::Entry entry;
  entry.number = number;
  entry.request = request.id;
  entry.organisation = organisation.id;
  entry.weight = organisation.weight;
  entry.importance = request.importance;
  entry.deadline = request.deadline;
  Apply(admission_.Offer(entry, world_.loop.now()));
  ScheduleTick();
}

void Node::ScheduleTick() {
  if (tick_scheduled_ || admission_.queued() == 0) return;
  tick_scheduled_ = true;
  world_.loop.After(kTick, [this] {
    tick_scheduled_ = false;
    Apply(admission_.Tick(world_.loop.now()));
    ScheduleTick();
  });
}

void Node::Apply(const TargetAdmission::Actions& actions) {
  for (const std::uint64_t number : actions.start) Run(number);
  for (const auto& refused : actions.refuse) Refuse(refused);
}

// In favour of a lower request if one started after `lower_since`.
void Node::CountRefused(const Request& request, Instant lower_since) {
  if (request.importance != Importance::kCritical) return;
  ++world_.counters.critical_refused;
  if (lower_started_ > lower_since) {
    ++world_.counters.critical_refused_in_favour;
  }
}

void Node::Refuse(const TargetAdmission::Refused& refused) {
  const auto found = held_.find(refused.number);
  const Held held = std::move(found->second);
  held_.erase(found);
  // A call that can no longer end in time is not refused for a lower one.
  const bool late = refused.reason == Reason::kDeadlineExceeded;
  if (!late) CountRefused(*held.request, held.arrived);
  held.on_reply({late ? CallEnd::kLate : CallEnd::kShed,
                 held.extra,
                 {OwnLevel(*held.request)}});
}

void Node::Run(std::uint64_t number) {
  const Request& request = *held_.at(number).request;
  if (request.importance < Importance::kCritical) {
    lower_started_ = world_.loop.now();
  }
  // Only lentilcross passes deadlines on to targets.
  const Instant deadline =
      world_.policy == Policy::kLentilcross ? request.deadline : Instant::max();
  target_.Submit(
      world_.DrawWork(), deadline,
      [this, number](FakeTarget::End end) { OnTargetEnd(number, end); });
}

void Node::OnTargetEnd(std::uint64_t number, FakeTarget::End end) {
  const Held& held = held_.at(number);
  if (end == FakeTarget::End::kLost) {
    Complete(number, {CallEnd::kFailed, held.extra, {}});
    return;
  }
  if (end == FakeTarget::End::kDropped) {
    const bool late = world_.policy == Policy::kLentilcross;
    if (!late) CountRefused(*held.request, held.arrived);
    Complete(number, {late ? CallEnd::kLate : CallEnd::kShed, held.extra, {}});
    return;
  }
  if (hop_ + 1 == world_.deployment.chain.size()) {
    Complete(number, {CallEnd::kOk, held.extra, {}});
    return;
  }
  const bool late = world_.policy == Policy::kLentilcross &&
                    world_.loop.now() > held.request->deadline;
  if (late) {
    Complete(number, {CallEnd::kLate, held.extra, {}});
    return;
  }
  CallOnward(number);
}

void Node::CallOnward(std::uint64_t number) {
  const bool controlled = world_.policy == Policy::kLentilcross;
  if (controlled) Apply(admission_.BeginOnwardWait(number, world_.loop.now()));
  const Held held = held_.at(number);
  caller_.Call(hop_ + 1, held.request, held.extra,
               [this, number, controlled](const CallReply& reply) {
                 if (controlled) {
                   admission_.EndOnwardWait(number, world_.loop.now());
                 }
                 CallReply own = reply;
                 if (own.end != CallEnd::kOk && own.end != CallEnd::kLate) {
                   own.end = CallEnd::kBehind;
                 }
                 Complete(number, own);
               });
}

ServiceLevel Node::OwnLevel(const Request& request) const {
  const auto organisation =
      world_.deployment.organisations[request.organisation].id;
  return {world_.deployment.services[hop_],
          admission_.level(organisation, world_.loop.now())};
}

void Node::Complete(std::uint64_t number, CallReply reply) {
  const auto found = held_.find(number);
  const Held held = std::move(found->second);
  held_.erase(found);
  if (world_.policy == Policy::kLentilcross) {
    reply.levels.insert(reply.levels.begin(), OwnLevel(*held.request));
    Apply(admission_.Finish(number, SampleOf(reply.end), world_.loop.now()));
  }
  held.on_reply(reply);
}

void Node::Restart() {
  target_.set_up(false);
  target_.Restart();
  admission_.OnTargetRestart(world_.loop.now());
}

}  // namespace lentilcross::bench
