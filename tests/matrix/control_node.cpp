#include <algorithm>
#include <utility>

#include "control_world.h"
#include "documents.h"
#include "result.h"

namespace lentilcross::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(100);
constexpr Duration kSlowTick = seconds(1);
constexpr Duration kSeedInterval = milliseconds(500);
/// From the control thread to the data thread.
constexpr Duration kHandOver = milliseconds(1);

ConfigDistributor MakeSpread(const std::string& name) {
  ConfigDistributor::Init init;
  init.self = HostId::FromName(name);
  init.failure_domain = FailureDomainId::FromName(DomainOfControlHost(name));
  return std::move(*Capture<ConfigDistributor>([&] {
                      return ConfigDistributor::Create(init);
                    }).value);
}

/// The version that a message carries or announces; 0 if none.
Version VersionIn(const PeerMessage& message) {
  if (const auto* digest = std::get_if<Digest>(&message)) {
    return digest->version;
  }
  if (const auto* delta = std::get_if<ConfigDelta>(&message)) return delta->to;
  if (const auto* piece = std::get_if<ConfigSnapshot>(&message)) {
    return piece->version;
  }
  return {};
}

}  // namespace

ControlNode::ControlNode(ControlWorld& world, std::string name,
                         std::uint64_t incarnation)
    : world_(world),
      name_(std::move(name)),
      incarnation_(incarnation),
      time_(world.time_),
      spread_(MakeSpread(name_)),
      membership_({HostId::FromName(name_), incarnation_}),
      random_(incarnation),
      life_(++world.last_life_),
      started_(time_.Now()) {
  const auto first = std::chrono::microseconds(random_() % 100000);
  time_.At(time_.Now() + first, [this] { Tick(); });
  time_.At(time_.Now() + kSlowTick, [this] { SlowTick(); });
  time_.At(time_.Now() + first, [this] { DialSeeds(); });
}

Version ControlNode::held() const {
  const auto current = spread_.current();
  return current ? current->version : Version();
}

bool ControlNode::ready() const {
  return spread_.IsReady(time_.Now()) && applied_.valid();
}

void ControlNode::Tick() {
  SendAll(spread_.Tick(membership_, time_.Now(), random_));
  Step();
  time_.At(time_.Now() + kTick, [this] { Tick(); });
}

void ControlNode::SlowTick() {
  const Instant now = time_.Now();
  for (const auto& [link, peer] : links_) {
    membership_.OnHostContact(HostId::FromName(peer), now);
  }
  if (const auto current = spread_.current(); current && !leaving_) {
    for (const auto& [id, host] : current->hosts) {
      if (host.name != name_ && membership_.ShouldProbe(id, now) &&
          world_.LinkOf(*this, host.name) == 0) {
        world_.Open(*this, host.name);
      }
    }
  }
  time_.At(now + kSlowTick, [this] { SlowTick(); });
}

/// Each process knows one host of either failure domain from its settings.
void ControlNode::DialSeeds() {
  if (links_.empty() && !leaving_) {
    for (const std::string seed : {"a1", "b1", "a2"}) {
      if (seed != name_) world_.Open(*this, seed);
    }
  }
  time_.At(time_.Now() + kSeedInterval, [this] { DialSeeds(); });
}

/// Starts what is due at the platform.
void ControlNode::Step() {
  if (reading_) return;
  const auto action =
      spread_.NextPlatformAction(membership_, time_.Now(), random_);
  if (action == ConfigDistributor::PlatformAction::kNone) return;
  reading_ = true;
  const bool watch = action == ConfigDistributor::PlatformAction::kWatch;
  world_.CallPlatform(
      *this, held(),
      watch ? ConfigDistributor::Init{}.watch_wait : Duration::zero());
}

void ControlNode::OnPlatform(const std::string& document) {
  reading_ = false;
  const Instant now = time_.Now();
  if (document.empty()) {
    spread_.OnPlatformUnchanged(now);
  } else {
    const Version before = held();
    Capture<bool>([&]() -> Result<bool> {
      auto read = spread_.OnPlatformDocument(document, now);
      if (!read) return read.error();
      return true;
    });
    if (before < held() && world_.IsNew(held())) {
      world_.Reach(ControlStep::kRead, name_, {});
    }
  }
  Publish();
  Step();
}

void ControlNode::OnPlatformFailure() {
  reading_ = false;
  spread_.OnPlatformFailure(time_.Now());
  Step();
}

/// Passes a new version on to the request path and to peers.
void ControlNode::Publish() {
  const auto current = spread_.current();
  if (!current || current->version == published_) return;
  if (current->version < published_) went_back_ = true;
  published_ = current->version;
  time_.At(time_.Now() + kHandOver, [this, current] {
    if (world_.IsNew(current->version)) {
      world_.Reach(ControlStep::kApplied, name_, {});
    }
    if (current->version < applied_) went_back_ = true;
    keys_.Apply(*current);
    if (!applied_.valid()) {
      for (const std::string_view key : {kKey, kFloodKey}) {
        open_connections_[std::string(key)] = keys_.Find(key);
      }
    }
    applied_ = current->version;
    history_[time_.Now()] = applied_;
  });
  SendAll(spread_.Tick(membership_, time_.Now(), random_));
}

void ControlNode::Leave() {
  leaving_ = true;
  membership_.Leave(time_.Now());
  world_.Reach(ControlStep::kLeaving, name_, {});
  for (const auto& [link, peer] : std::map(links_)) {
    world_.Deliver(*this, link,
                   lentilcross::Leave{HostId::FromName(name_), incarnation_});
  }
  SendAll(spread_.Tick(membership_, time_.Now(), random_));
}

void ControlNode::OnLinkUp(std::uint64_t link, const std::string& peer,
                           Incarnation incarnation) {
  const HostId host = HostId::FromName(peer);
  if (!membership_.OnHello(host, incarnation, time_.Now())) {
    world_.CloseLink(link);
    return;
  }
  Digest digest;
  digest.version = applied_;
  digest.platform_age = kMaxPeerDuration;
  world_.Deliver(*this, link, digest);
  if (leaving_) {
    world_.Deliver(*this, link,
                   lentilcross::Leave{HostId::FromName(name_), incarnation_});
  }
}

void ControlNode::OnLinkDown(std::uint64_t link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const std::string peer = found->second;
  links_.erase(found);
  if (world_.LinkOf(*this, peer) != 0) return;
  const HostId host = HostId::FromName(peer);
  membership_.OnLinkDead(host, time_.Now());
  const auto* member = membership_.Find(host);
  if (member != nullptr && member->state == MemberState::kSuspected) {
    world_.Reach(ControlStep::kSuspected, name_, peer);
  }
}

void ControlNode::OnMessage(std::uint64_t link, const PeerMessage& message) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const std::string peer = found->second;
  const HostId from = HostId::FromName(peer);
  const Instant now = time_.Now();
  if (world_.IsNew(VersionIn(message))) {
    world_.Reach(ControlStep::kReceived, name_, peer);
  }
  if (const auto* leave = std::get_if<lentilcross::Leave>(&message)) {
    world_.Reach(ControlStep::kLeft, name_, peer);
    membership_.OnLeave(leave->host, leave->incarnation, now);
    return;
  }
  membership_.OnHostContact(from, now);
  if (const auto* digest = std::get_if<Digest>(&message)) {
    membership_.OnUpdates(digest->members, now);
  }
  SendAll(spread_.OnMessage(from, message, now));
  Publish();
  Step();
}

void ControlNode::SendAll(
    const std::vector<ConfigDistributor::Outgoing>& messages) {
  for (const auto& [to, message] : messages) {
    const ControlNode* peer = world_.Find(to);
    if (peer == nullptr) continue;  // refused at connect
    if (world_.IsNew(VersionIn(message))) {
      world_.Reach(ControlStep::kSent, name_, peer->name_);
    }
    SendTo(peer->name_, message);
  }
}

void ControlNode::SendTo(const std::string& peer, const PeerMessage& message) {
  std::uint64_t link = world_.LinkOf(*this, peer);
  if (link == 0) link = world_.Open(*this, peer);
  if (link != 0) world_.Deliver(*this, link, message);
}

}  // namespace lentilcross::matrix
