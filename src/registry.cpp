#include "lentilcross/registry.h"

#include <algorithm>
#include <utility>

#include "lentilcross/store_revision.h"

namespace lentilcross {
namespace {

// Changes kept for peers that are behind; a peer further behind gets a
// snapshot.
constexpr std::size_t kMaxHistory = 1024;
// After this time without an answer, a request may go to another peer.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);
// A digest of the same revision is answered if the peer's state is older than
// the local one by more than this.
constexpr Duration kMinAgeGain = std::chrono::milliseconds(500);
// A new process asks for lapsed hosts until its peers have seen all changes
// that its first state of the registry included.
constexpr Duration kLapsedHostQueryTime = std::chrono::seconds(10);
// Limits reads by new fallback readers to 1,667 calls/s; the platform allows
// 2,000.
constexpr double kFallbackSecondsPerHost = 600e-6;

RegistryEntry ToEntry(const RegistryChange& change, Instant now) {
  RegistryEntry entry;
  entry.name = change.name;
  entry.revision = change.revision;
  entry.removed = !change.target;
  if (entry.removed) return entry;
  const RegisteredTarget& target = *change.target;
  entry.service = target.service;
  entry.host = target.host;
  entry.failure_domain = target.failure_domain;
  entry.peer = target.peer;
  entry.slots = static_cast<std::uint32_t>(std::max(target.slots, 0));
  entry.draining = target.draining;
  entry.warm_in = std::max(target.cold_until - now, Duration::zero());
  entry.started_ms =
      static_cast<std::uint64_t>(std::max<std::int64_t>(target.started_ms, 0));
  return entry;
}

RegistryChange ToChange(const RegistryEntry& entry, Instant now) {
  RegistryChange change{entry.name, entry.revision, std::nullopt};
  if (entry.removed) return change;
  RegisteredTarget target;
  target.name = entry.name;
  target.service = entry.service;
  target.host = entry.host;
  target.failure_domain = entry.failure_domain;
  target.peer = entry.peer;
  target.slots = static_cast<int>(entry.slots);
  target.draining = entry.draining;
  target.cold_until = now + entry.warm_in;
  target.started_ms = static_cast<std::int64_t>(entry.started_ms);
  change.target = std::move(target);
  return change;
}

}  // namespace

Duration Registry::Age(Instant now) const {
  if (!confirmed_) return kMaxPeerDuration;
  return std::clamp(now - *confirmed_, Duration::zero(), kMaxPeerDuration);
}

// Callers apply received changes after this call, so that registrations that
// lapsed in an outage get their grace period.
void Registry::Confirm(Instant at, Instant now) {
  if (!confirmed_ || at > *confirmed_) confirmed_ = at;
  if (Age(now) > init_.lost_after) return;
  lost_ = false;
  tracker_.OnRegistryReachable(now);
}

bool Registry::ApplySnapshot(const Fleet& snapshot, Instant now) {
  if (known() && snapshot.revision < state_.revision) return false;
  if (known() && EpochOf(snapshot.revision) > EpochOf(state_.revision)) {
    tracker_.OnRegistryRestored(now);
  }
  if (!known_since_) known_since_ = now;
  state_ = snapshot;
  history_.clear();
  history_base_ = snapshot.revision;
  requested_.reset();
  ++stats_.applied;
  return tracker_.OnSnapshot(snapshot, now);
}

bool Registry::OnSnapshot(const Fleet& snapshot, Instant now) {
  Confirm(now, now);
  if (!ApplySnapshot(snapshot, now)) return false;
  has_unsent_changes_ = true;
  return true;
}

bool Registry::Apply(const RegistryChange& change, Instant now) {
  if (change.revision <= state_.revision) return false;
  history_.push_back(change);
  while (history_.size() > kMaxHistory) {
    history_base_ = history_.front().revision;
    history_.pop_front();
  }
  ++stats_.applied;
  if (change.target) {
    state_.targets[change.name] = *change.target;
    return tracker_.OnRegistered(*change.target, change.revision, now);
  }
  state_.targets.erase(change.name);
  return tracker_.OnRemoved(change.name, change.revision, now);
}

bool Registry::OnChanges(std::uint64_t revision,
                         const std::vector<RegistryChange>& changes,
                         Instant now) {
  if (!known() || revision < state_.revision) return false;
  Confirm(now, now);
  bool changed = false;
  for (const RegistryChange& change : changes) changed |= Apply(change, now);
  state_.revision = revision;
  has_unsent_changes_ = has_unsent_changes_ || changed;
  return changed;
}

void Registry::AddRegistryState(Digest& digest, Instant now) const {
  digest.registry_revision = state_.revision;
  digest.registry_age = Age(now);
  digest.wants_lapsed_hosts =
      !known_since_ || now - *known_since_ < kLapsedHostQueryTime;
}

std::vector<PeerMessage> Registry::OnDigest(const Digest& digest, Instant now) {
  std::vector<PeerMessage> answers = OnRegistryState(digest, now);
  if (digest.wants_lapsed_hosts) {
    for (PeerMessage& list : MakeLapsedHostLists(now)) {
      answers.push_back(std::move(list));
    }
  }
  return answers;
}

std::vector<PeerMessage> Registry::OnRegistryState(const Digest& digest,
                                                   Instant now) {
  if (digest.registry_revision == 0) return {};
  if (digest.registry_revision > state_.revision) {
    if (requested_ && now - *requested_ < kRequestTimeout) return {};
    requested_ = now;
    ++stats_.requests_sent;
    return {RegistryRequest{state_.revision}};
  }
  if (digest.registry_revision < state_.revision) {
    return ChangesSince(digest.registry_revision, now);
  }
  if (Age(now) + kMinAgeGain < digest.registry_age) {
    RegistryDelta confirmation;
    confirmation.from = confirmation.to = state_.revision;
    confirmation.age = Age(now);
    return {std::move(confirmation)};
  }
  Confirm(now - digest.registry_age, now);
  return {};
}

std::vector<PeerMessage> Registry::OnRequest(const RegistryRequest& request,
                                             Instant now) {
  if (!known() || request.have >= state_.revision) return {};
  return ChangesSince(request.have, now);
}

std::vector<PeerMessage> Registry::ChangesSince(std::uint64_t revision,
                                                Instant now) {
  if (revision < history_base_) {
    ++stats_.snapshots_sent;
    return MakeSnapshot(now);
  }
  RegistryDelta delta;
  delta.from = revision;
  delta.to = state_.revision;
  delta.age = Age(now);
  for (const RegistryChange& change : history_) {
    if (change.revision <= revision) continue;
    if (delta.entries.size() == kMaxRegistryEntries) {
      ++stats_.snapshots_sent;
      return MakeSnapshot(now);
    }
    delta.entries.push_back(ToEntry(change, now));
  }
  ++stats_.deltas_sent;
  return {std::move(delta)};
}

std::vector<PeerMessage> Registry::MakeSnapshot(Instant now) const {
  const std::size_t count = state_.targets.size();
  const std::size_t pieces = std::max<std::size_t>(
      1, (count + kMaxRegistryEntries - 1) / kMaxRegistryEntries);
  std::vector<PeerMessage> messages;
  auto next = state_.targets.begin();
  for (std::size_t piece = 0; piece < pieces; ++piece) {
    RegistryDelta delta;
    delta.to = state_.revision;
    delta.age = Age(now);
    delta.piece = static_cast<std::uint32_t>(piece);
    delta.pieces = static_cast<std::uint32_t>(pieces);
    while (next != state_.targets.end() &&
           delta.entries.size() < kMaxRegistryEntries) {
      const RegistryChange change{next->first, state_.revision, next->second};
      delta.entries.push_back(ToEntry(change, now));
      ++next;
    }
    messages.emplace_back(std::move(delta));
  }
  return messages;
}

std::vector<PeerMessage> Registry::MakeLapsedHostLists(Instant now) const {
  std::vector<PeerMessage> messages;
  LapsedHostList list;
  for (const auto& [host, lapsed] : fleet().lapsed_hosts) {
    if (lapsed.until <= now) continue;
    list.hosts.push_back(
        {host, lapsed.failure_domain, lapsed.peer, lapsed.until - now});
    if (list.hosts.size() == kMaxRegistryEntries) {
      messages.emplace_back(std::exchange(list, {}));
    }
  }
  if (!list.hosts.empty()) messages.emplace_back(std::move(list));
  return messages;
}

bool Registry::OnLapsedHosts(const LapsedHostList& list, Instant now) {
  // A process that has run for longer would add hosts again that it removed.
  if (known_since_ && now - *known_since_ > init_.tracker.host_grace) {
    return false;
  }
  bool changed = false;
  for (const LapsedHostEntry& entry : list.hosts) {
    changed |= tracker_.AddLapsedHost(
        entry.host, {entry.failure_domain, entry.peer, now + entry.remaining},
        now);
  }
  return changed;
}

bool Registry::OnDelta(const RegistryDelta& delta, Instant now) {
  if (delta.to < state_.revision) return false;
  if (delta.from > 0) {
    // Changes are missing; the next digest makes this host request them.
    if (delta.from > state_.revision) return false;
    requested_.reset();
    Confirm(now - delta.age, now);
    bool changed = false;
    for (const RegistryEntry& entry : delta.entries) {
      changed |= Apply(ToChange(entry, now), now);
    }
    state_.revision = delta.to;
    has_unsent_changes_ = has_unsent_changes_ || changed;
    return changed;
  }
  const bool is_next = delta.piece > 0 && delta.to == partial_snapshot_.to &&
                       delta.pieces == partial_snapshot_.pieces &&
                       delta.piece == partial_snapshot_.piece + 1;
  if (delta.piece > 0 && !is_next) return false;
  if (delta.piece == 0) partial_snapshot_.entries.clear();
  partial_snapshot_.to = delta.to;
  partial_snapshot_.piece = delta.piece;
  partial_snapshot_.pieces = delta.pieces;
  partial_snapshot_.entries.insert(partial_snapshot_.entries.end(),
                                   delta.entries.begin(), delta.entries.end());
  if (delta.piece + 1 < delta.pieces) return false;
  Fleet snapshot;
  snapshot.revision = delta.to;
  for (const RegistryEntry& entry :
       std::exchange(partial_snapshot_, {}).entries) {
    RegistryChange change = ToChange(entry, now);
    if (change.target) snapshot.targets[entry.name] = std::move(*change.target);
  }
  Confirm(now - delta.age, now);
  return ApplySnapshot(snapshot, now);
}

std::optional<RegistryDelta> Registry::TakeUnsentChanges(Instant now) {
  if (!has_unsent_changes_) return std::nullopt;
  has_unsent_changes_ = false;
  // A peer that needs a snapshot requests it when it receives a digest.
  const std::uint64_t since =
      std::max(std::exchange(pushed_revision_, state_.revision), history_base_);
  if (since >= state_.revision) return std::nullopt;
  auto messages = ChangesSince(since, now);
  if (messages.size() != 1) return std::nullopt;
  return std::get<RegistryDelta>(std::move(messages.front()));
}

bool Registry::Tick(Instant now) {
  if (known() && !lost_ && Age(now) > init_.lost_after) {
    lost_ = true;
    tracker_.OnRegistryLost(now);
  }
  return tracker_.Tick(now);
}

bool Registry::NeedsOwnReads(ReaderRole role, Instant now) {
  const auto stagger =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          init_.stagger * kFallbackSecondsPerHost *
          static_cast<double>(state_.targets.size())));
  const bool overdue =
      standby_timer_.IsOverdue(role, Age(now), init_.takeover_after, now);
  return overdue || Age(now) > init_.fallback_after + stagger;
}

bool Registry::ShouldReadPlatform(ReaderRole role, Instant now) {
  // Without registered hosts there are no peers to ask.
  if (state_.targets.empty()) return true;
  if (NeedsOwnReads(role, now)) last_fallback_ = now;
  return role == ReaderRole::kReader || IsFallbackReader(now);
}

bool Registry::IsFallbackReader(Instant now) const {
  return last_fallback_ && now - *last_fallback_ < init_.min_fallback_time;
}

}  // namespace lentilcross
