#include "control_world.h"
#include "documents.h"

namespace lentilcross::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSampleInterval = milliseconds(50);
/// Goal of promise P10 for a version to be in force everywhere.
constexpr Duration kInForceWithin = seconds(4);
constexpr Duration kLeavingKnownWithin = seconds(4);

/// In force at `at`; 0 before the first version.
Version VersionAt(const std::map<Instant, Version>& history, Instant at) {
  const auto after = history.upper_bound(at);
  return after == history.begin() ? Version() : std::prev(after)->second;
}

}  // namespace

void ControlWorld::Sample() {
  for (const auto& [a, node] : nodes_) {
    for (const auto& [b, other] : nodes_) {
      if (!Connected(a, b)) connected_since_[{a, b}] = time_.Now();
    }
  }
  for (const auto& [name, node] : nodes_) CheckNode(name, *node);
  time_.At(time_.Now() + kSampleInterval, [this] { Sample(); });
}

/// Both processes run and the network lets messages through in both
/// directions, on the link that they have or on a new one.
bool ControlWorld::Connected(const std::string& a, const std::string& b) {
  const ControlNode* node = Find(a);
  const ControlNode* other = Find(b);
  if (a == b || node->paused() || other->paused()) return false;
  if (IsCut(a, b) || IsCut(b, a)) return false;
  for (const auto& [id, link] : links_) {
    const bool between =
        (link.from == a && link.to == b) || (link.from == b && link.to == a);
    if (between && link.silent) return false;
  }
  return true;
}

void ControlWorld::CheckNode(const std::string& name, ControlNode& node) {
  if (node.went_back_) Violate("P10: the version went back at " + name);
  CheckKeys(name, node);
  CheckStart(name, node);
  CheckSpread(name, node);
  CheckLeaver(name, node);
}

/// A withdrawn key stays withdrawn, also on connections opened before.
void ControlWorld::CheckKeys(const std::string& name, ControlNode& node) {
  for (const auto& [key, version] : withdrawn_) {
    const bool good = node.keys_.Find(key).reason == Reason::kNone;
    const auto open = node.open_connections_.find(key);
    const bool works_on_open = open != node.open_connections_.end() &&
                               open->second.reason == Reason::kNone &&
                               node.keys_.IsStillValid(open->second);
    if (!good && node.applied_.valid()) node.refused_keys_.insert(key);
    if (good && node.refused_keys_.count(key) != 0) {
      Violate("P3: a withdrawn key works again at " + name);
    }
    if (version <= node.applied_ && (good || works_on_open)) {
      Violate("P3: a withdrawn key works at " + name);
    }
  }
}

/// A process that becomes ready is not behind all of its peers.
void ControlWorld::CheckStart(const std::string& name, ControlNode& node) {
  if (node.was_ready_ || node.paused() || !node.ready()) return;
  node.was_ready_ = true;
  const Instant then = time_.Now() - seconds(1);
  Version lowest;
  for (const auto& [peer, other] : nodes_) {
    if (!other->was_ready_ || !Connected(name, peer)) continue;
    const Version held = VersionAt(other->history_, then);
    if (!lowest.valid() || held < lowest) lowest = held;
  }
  if (node.applied_ < lowest) {
    Violate("P10: " + name + " became ready with an older version");
  }
}

/// A version is in force within the goal wherever a connected peer has it.
void ControlWorld::CheckSpread(const std::string& name,
                               const ControlNode& node) {
  const Instant then = time_.Now() - kInForceWithin;
  for (const auto& [peer, other] : nodes_) {
    const auto since = connected_since_.find({name, peer});
    if (peer == name || since == connected_since_.end() ||
        since->second > then || node.started_ > then) {
      continue;
    }
    if (node.applied_ < VersionAt(other->history_, then)) {
      Violate("P10: " + name + " lacks a version that a peer has for 4 s");
    }
  }
}

/// No new work goes to a process that announced that it leaves.
void ControlWorld::CheckLeaver(const std::string& name,
                               const ControlNode& node) {
  const Instant then = time_.Now() - kLeavingKnownWithin;
  if (leaver_life_ == 0 || left_at_ == Instant{} || left_at_ > then) return;
  for (const auto& [leaver, left] : nodes_) {
    if (left->life_ != leaver_life_ || leaver == name) continue;
    const HostId host = HostId::FromName(leaver);
    // A host that does not know the leaver yet is told by the first link to it.
    const auto since = connected_since_.find({name, leaver});
    if (since == connected_since_.end() || since->second > then ||
        node.started_ > then || node.membership_.Find(host) == nullptr) {
      continue;
    }
    if (node.membership_.IsUsable(host)) {
      Violate("P8: " + name + " may send new work to a leaving host");
    }
  }
}

/// Once the fault is over, every host holds the last version and may send work
/// to every other one.
void ControlWorld::CheckEnd() {
  for (const auto& [name, node] : nodes_) {
    if (node->applied_ != version_) {
      Violate("P10: " + name + " has an old version at the end");
    }
    if (!node->ready()) Violate("not ready at the end: " + name);
    for (const auto& [peer, other] : nodes_) {
      if (peer != name && !node->membership_.IsUsable(HostId::FromName(peer))) {
        Violate("no recovery: " + name + " sends no work to " + peer);
      }
    }
  }
}

}  // namespace lentilcross::matrix
