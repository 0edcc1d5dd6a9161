#include "control_world.h"

#include <algorithm>
#include <utility>

#include "documents.h"

namespace lentilcross::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDelay = milliseconds(4);
constexpr Duration kPlatformDelay = milliseconds(10);
constexpr Duration kPlatformPoll = milliseconds(20);
/// An idle link is dead after so long without a byte (design, 6.11).
constexpr Duration kSilenceBound = seconds(3);
/// Long enough for links to die and for a paused process to be missed.
constexpr Duration kFaultLasts = seconds(6);
/// Covers the restart of a host and the leaving of another one too.
constexpr Duration kPlatformFaultLasts = seconds(12);
constexpr Duration kDown = milliseconds(1500);
const std::vector<std::string> kHosts = {"a1", "a2", "a3", "b1", "b2", "b3"};
const std::string kKilledHost = "a3";
const std::string kLeavingHost = "b2";
const std::string kOldHost = "b3";

}  // namespace

ControlWorld::ControlWorld(ControlStep step, ControlFault fault,
                           std::uint64_t seed)
    : step_(step),
      fault_(fault),
      random_(seed),
      last_incarnation_(seed * 1000),
      document_(ControlDocument(kHosts)),
      first_text_(document_.dump()),
      text_(first_text_),
      version_(1) {}

void ControlWorld::Run() {
  for (const std::string& host : kHosts) Start(host);
  time_.At(time_.Now(), [this] { Sample(); });
  time_.RunUntil(time_.Now() + seconds(11));
  if (fault_ == ControlFault::kOldPeer) isolated_ = kOldHost;
  CloseAfterSilence([this](const Link& link) {
    return link.from == isolated_ || link.to == isolated_;
  });
  watching_ = true;
  time_.RunUntil(time_.Now() + seconds(2));
  Withdraw("coopers", kKey);
  time_.RunUntil(time_.Now() + seconds(5));
  Kill(kKilledHost, kDown);
  time_.RunUntil(time_.Now() + seconds(6));
  if (ControlNode* node = Find(kLeavingHost)) {
    leaver_life_ = node->life_;
    node->time_.At(time_.Now(), [this] {
      left_at_ = time_.Now();
      Find(kLeavingHost)->Leave();
    });
  }
  time_.RunUntil(time_.Now() + seconds(9));
  Kill(kLeavingHost, kDown);
  // The fault has ended by now at every step.
  time_.RunUntil(time_.Now() + seconds(12));
  Publish([](Json& c) { c["organisations"]["coopers"]["rate"] = 200; });
  time_.RunUntil(time_.Now() + seconds(4));
  CheckEnd();
}

void ControlWorld::Start(const std::string& host) {
  nodes_[host] =
      std::make_unique<ControlNode>(*this, host, ++last_incarnation_);
}

void ControlWorld::Kill(const std::string& host, Duration down) {
  if (nodes_.erase(host) == 0) return;
  std::vector<std::uint64_t> broken;
  for (const auto& [id, link] : links_) {
    if (link.from == host || link.to == host) broken.push_back(id);
  }
  for (const std::uint64_t link : broken) CloseLink(link);
  time_.At(time_.Now() + down, [this, host] {
    if (Find(host) == nullptr) Start(host);
  });
}

void ControlWorld::Publish(const std::function<void(Json&)>& change) {
  version_ = Version(version_.value() + 1);
  document_["version"] = version_.value();
  change(document_);
  text_ = document_.dump();
}

void ControlWorld::Withdraw(const std::string& name, std::string_view key) {
  Publish([&name](Json& c) { c["keys"][name]["withdrawn"] = true; });
  withdrawn_[std::string(key)] = version_;
}

// ----- Faults

void ControlWorld::Reach(ControlStep step, const std::string& host,
                         const std::string& peer) {
  if (struck_ || !watching_ || step != step_) return;
  struck_ = true;
  // A process cannot be destroyed inside its own call.
  time_.At(time_.Now(), [this, host, peer] { Strike(host, peer); });
  time_.At(time_.Now() + kFaultLasts, [this] { HealNetwork(); });
  time_.At(time_.Now() + kPlatformFaultLasts, [this] { HealPlatform(); });
}

void ControlWorld::Strike(const std::string& host, const std::string& peer) {
  const auto pause = [this](const std::string& name) {
    if (ControlNode* node = Find(name)) {
      node->time_.PauseUntil(time_.Now() + kFaultLasts);
      CloseAfterSilence([name](const Link& link) {
        return link.from == name || link.to == name;
      });
    }
  };
  switch (fault_) {
    case ControlFault::kHostKilled:
      return Kill(host, kDown);
    case ControlFault::kPeerKilled:
      return Kill(peer, kDown);
    case ControlFault::kHostPaused:
      return pause(host);
    case ControlFault::kPeerPaused:
      return pause(peer);
    case ControlFault::kPlatformDown:
      platform_up_ = false;
      return;
    case ControlFault::kPlatformStale:
      platform_stale_ = true;
      return;
    case ControlFault::kPlatformStaleContent:
      platform_stale_content_ = true;
      return;
    case ControlFault::kKeyWithdrawn:
      return Withdraw("flood", kFloodKey);
    case ControlFault::kPresetSwitched:
      return Publish([](Json& c) { c["preset"] = "peak"; });
    case ControlFault::kOldPeer:
      return ReturnOldPeer();
    default:
      StrikeNetwork(host);
  }
}

void ControlWorld::StrikeNetwork(const std::string& host) {
  switch (fault_) {
    case ControlFault::kLinkReset: {
      std::vector<std::uint64_t> all;
      for (const auto& [id, link] : links_) {
        if (link.from == host || link.to == host) all.push_back(id);
      }
      for (const std::uint64_t link : all) CloseLink(link);
      return;
    }
    case ControlFault::kLinkSilent:
      for (auto& [id, link] : links_) {
        link.silent = link.from == host || link.to == host;
      }
      return CloseAfterSilence([](const Link& link) { return link.silent; });
    case ControlFault::kPartitionOneWay:
    case ControlFault::kPartition:
      partitioned_ = true;
      one_way_ = fault_ == ControlFault::kPartitionOneWay;
      return CloseAfterSilence([this](const Link& link) {
        return IsCut(link.from, link.to) || IsCut(link.to, link.from);
      });
    case ControlFault::kDuplicateDelivery:
      duplicate_ = true;
      return;
    case ControlFault::kReorderedDelivery:
      reorder_ = true;
      return;
    default:
      return;
  }
}

/// The host also answers old requests of the others, whose answers are now of
/// an old version.
void ControlWorld::ReturnOldPeer() {
  isolated_.clear();
  ControlNode* old = Find(kOldHost);
  if (old == nullptr) return;
  for (const std::string& host : kHosts) {
    if (host == kOldHost) continue;
    old->SendAll(old->spread_.OnMessage(HostId::FromName(host), ConfigRequest{},
                                        time_.Now()));
  }
}

void ControlWorld::HealPlatform() {
  platform_up_ = true;
  platform_stale_ = false;
  platform_stale_content_ = false;
}

void ControlWorld::HealNetwork() {
  partitioned_ = false;
  duplicate_ = false;
  reorder_ = false;
}

// ----- Network

ControlNode* ControlWorld::Find(const std::string& name) {
  const auto it = nodes_.find(name);
  return it == nodes_.end() ? nullptr : it->second.get();
}

ControlNode* ControlWorld::Find(HostId host) {
  for (const auto& [name, node] : nodes_) {
    if (HostId::FromName(name) == host) return node.get();
  }
  return nullptr;
}

bool ControlWorld::IsCut(const std::string& from, const std::string& to) const {
  if (from == isolated_ || to == isolated_) return true;
  if (!partitioned_) return false;
  if (from.front() == 'a' && to.front() == 'b') return true;
  return from.front() == 'b' && to.front() == 'a' && !one_way_;
}

std::uint64_t ControlWorld::LinkOf(const ControlNode& node,
                                   const std::string& peer) const {
  for (const auto& [link, name] : node.links_) {
    if (name == peer) return link;
  }
  return 0;
}

std::uint64_t ControlWorld::Open(ControlNode& from, const std::string& to) {
  ControlNode* other = Find(to);
  if (other == nullptr || other->paused() || IsCut(from.name_, to) ||
      IsCut(to, from.name_)) {
    return 0;
  }
  const std::uint64_t id = ++last_link_;
  links_[id] = {from.name_, to, false};
  from.links_[id] = to;
  other->links_[id] = from.name_;
  const Instant up = time_.Now() + kDelay;
  from.time_.At(up, [this, &from, id, to, peer = other->incarnation_] {
    if (from.links_.count(id) == 0) return;
    if (watching_ && from.started_ + kFaultLasts > time_.Now()) {
      Reach(ControlStep::kJoined, from.name_, to);
    }
    from.OnLinkUp(id, to, peer);
  });
  other->time_.At(up, [other, id, name = from.name_, peer = from.incarnation_] {
    if (other->links_.count(id) != 0) other->OnLinkUp(id, name, peer);
  });
  return id;
}

void ControlWorld::Deliver(ControlNode& from, std::uint64_t link,
                           const PeerMessage& message) {
  const auto it = links_.find(link);
  if (it == links_.end() || it->second.silent) return;
  const std::string to =
      it->second.from == from.name_ ? it->second.to : it->second.from;
  ControlNode* receiver = Find(to);
  if (receiver == nullptr || IsCut(from.name_, to)) return;
  const std::string bytes = Encode(message);
  const auto arrive = [receiver, link, bytes] {
    receiver->OnMessage(link, Decode(bytes).value());
  };
  Duration delay = kDelay * 2;  // after the handshake of a new link
  // Every other message is overtaken by later ones.
  if (reorder_ && random_() % 2 == 0) delay += milliseconds(300);
  receiver->time_.At(time_.Now() + delay, arrive);
  if (!duplicate_) return;
  receiver->time_.At(time_.Now() + delay, arrive);
  receiver->time_.At(time_.Now() + delay + seconds(2), arrive);
}

void ControlWorld::CloseLink(std::uint64_t link) {
  const auto it = links_.find(link);
  if (it == links_.end()) return;
  for (const std::string& host : {it->second.from, it->second.to}) {
    ControlNode* node = Find(host);
    if (node == nullptr) continue;
    // What arrived before the end of a link is read first.
    node->time_.At(time_.Now() + kDelay * 3,
                   [node, link] { node->OnLinkDown(link); });
  }
  links_.erase(it);
}

void ControlWorld::CloseAfterSilence(
    const std::function<bool(const Link&)>& dead) {
  std::vector<std::uint64_t> silent;
  for (const auto& [id, link] : links_) {
    if (dead(link)) silent.push_back(id);
  }
  time_.At(time_.Now() + kSilenceBound, [this, silent] {
    for (const std::uint64_t link : silent) CloseLink(link);
  });
}

// ----- Platform

void ControlWorld::CallPlatform(ControlNode& node, Version have,
                                Duration wait) {
  Reach(ControlStep::kAsked, node.name_, {});
  AnswerPlatform(node.name_, node.life_, have, time_.Now() + wait);
}

void ControlWorld::AnswerPlatform(const std::string& host, std::uint64_t life,
                                  Version have, Instant until) {
  ControlNode* node = Find(host);
  if (node == nullptr || node->life_ != life) return;
  const Instant answered = time_.Now() + kPlatformDelay;
  if (!platform_up_ || host == isolated_) {
    node->time_.At(answered, [node] { node->OnPlatformFailure(); });
  } else if (platform_stale_content_) {
    node->time_.At(answered,
                   [node, text = first_text_] { node->OnPlatform(text); });
  } else if (have < (platform_stale_ ? Version(1) : version_)) {
    const std::string& text = platform_stale_ ? first_text_ : text_;
    node->time_.At(answered, [node, text] { node->OnPlatform(text); });
  } else if (until <= time_.Now()) {
    node->time_.At(answered, [node] { node->OnPlatform({}); });
  } else {
    time_.At(time_.Now() + kPlatformPoll, [this, host, life, have, until] {
      AnswerPlatform(host, life, have, until);
    });
  }
}

}  // namespace lentilcross::matrix
