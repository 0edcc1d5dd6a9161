#include "stats_snapshot.h"

#include <utility>

namespace lentilcross {
namespace {

std::string StateName(const Membership::Member* member) {
  if (member == nullptr) return "unknown";
  switch (member->state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspected:
      return "suspected";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::vector<MemberStatus> MembersOf(const DataState& state,
                                    const PeerLinks& links) {
  std::vector<MemberStatus> members;
  if (!state.configuration) return members;
  for (const auto& [id, host] : state.configuration->hosts) {
    MemberStatus status;
    status.host = host.name;
    const bool self = id == state.self;
    status.state = self ? (state.draining ? "leaving" : "alive")
                        : StateName(state.membership.Find(id));
    status.linked = links.Find(id) != 0;
    members.push_back(std::move(status));
  }
  return members;
}

}  // namespace

DaemonStats SnapshotOf(const DataState& state, const PeerLinks& links,
                       const TargetCalls& targets) {
  DaemonStats stats;
  stats.ready = state.ready && !state.draining;
  stats.draining = state.draining;
  stats.stale = state.stale;
  stats.incarnation = state.incarnation;
  if (state.configuration) {
    stats.version = state.configuration->version;
    stats.preset = state.configuration->preset.name;
  }
  stats.members = MembersOf(state, links);
  stats.targets = targets.Status();
  stats.used_tickets = state.tickets.used();
  stats.rate = state.rate.stats();
  stats.retry = state.retry.stats();
  stats.tickets = state.tickets.stats();
  stats.fence = state.fence.stats();
  stats.gate = state.gate.stats();
  stats.router = state.router.stats();
  stats.membership = state.membership.stats();
  stats.peers = links.stats();
  stats.pipeline = state.stats;
  stats.hand_backs = state.hand_backs.stats();
  stats.home_refusals = state.home_refusals.counts();
  stats.request_latency = state.request_latency.stats();
  stats.target_latency = state.target_latency.stats();
  return stats;
}

void AddControlStats(const ControlStats& control, DaemonStats& stats) {
  stats.spread = control.config_distributor;
  stats.platform = control.platform;
  stats.findings = control.findings;
  stats.refused_version = control.refused_version;
  stats.confirmation_age = control.confirmation_age;
  stats.fleet = control.fleet;
  stats.evacuations = control.evacuations;
  stats.evacuated = control.evacuated;
  stats.rings.to_data_full = control.to_data_full;
}

}  // namespace lentilcross
