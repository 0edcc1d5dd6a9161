#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lentilcross/admission.h"
#include "lentilcross/cold_start.h"
#include "lentilcross/dispatch.h"
#include "lentilcross/error.h"
#include "lentilcross/evacuation.h"
#include "lentilcross/findings.h"
#include "lentilcross/fleet.h"
#include "lentilcross/hand_back.h"
#include "lentilcross/home_regions.h"
#include "lentilcross/membership.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/rate.h"
#include "lentilcross/retry.h"
#include "lentilcross/routing.h"
#include "lentilcross/shedding.h"
#include "lentilcross/spread.h"
#include "lentilcross/tickets.h"
#include "lentilcross/types.h"

namespace lentilcross {

struct PeerLinkStats {
  std::uint64_t dialled = 0;
  std::uint64_t accepted = 0;
  std::uint64_t authenticated = 0;
  std::uint64_t refused_proof = 0;     ///< Wrong key or wrong identity.
  std::uint64_t refused_messages = 0;  ///< Malformed, oversize, wrong version.
  std::uint64_t silent = 0;            ///< Closed after silence.
  std::uint64_t closed = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t queue_full = 0;
  /// Bytes of messages sent, by the index of the message kind.
  std::array<std::uint64_t, std::variant_size_v<PeerMessage>> bytes_sent{};
};

struct HttpFrontStats {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t disconnects = 0;  ///< Caller gone before its answer.
  std::uint64_t refused_connections = 0;
};

struct TargetClientStats {
  std::uint64_t connects = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t reused = 0;
  std::uint64_t requests = 0;
  std::uint64_t failed_unsent = 0;  ///< Proven that no byte left.
  std::uint64_t failed_sent = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t pool_full = 0;
  std::uint64_t foreign_answers = 0;  ///< Named another request; dropped.
  /// Responses with a status that is none, or that was not asked for.
  std::uint64_t impossible_statuses = 0;
  std::uint64_t held_bytes = 0;  ///< Of incomplete responses, now.
  std::uint64_t held_full = 0;   ///< Requests failed by their limit.
};

struct PipelineStats {
  std::uint64_t entry_requests = 0;
  std::uint64_t onward_requests = 0;
  std::uint64_t peer_calls = 0;
  std::uint64_t answered = 0;  ///< With an answer of a target.
  std::array<std::uint64_t, kReasonCount> refused{};  ///< By `Reason`.
  std::uint64_t retries = 0;
  std::uint64_t rate_waits = 0;
  std::uint64_t cancels_sent = 0;
  std::uint64_t unmatched_replies = 0;
  std::uint64_t tickets_forwarded = 0;
};

struct PlatformClientStats {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t host_lists = 0;
  std::uint64_t failures = 0;
};

struct RingStats {
  std::uint64_t to_control_full = 0;
  std::uint64_t to_data_full = 0;
};

/// Latency of one kind of operation, in seconds; see `LatencySummary`.
struct LatencyStats {
  std::uint64_t count = 0;
  double sum_s = 0;
  double max_s = 0;
  double p50_s = 0;
  double p90_s = 0;
  double p99_s = 0;
};

struct MemberStatus {
  std::string host;
  std::string state;  ///< alive, suspected, leaving, left, unknown
  bool linked = false;
};

struct TargetStatus {
  std::string name;
  std::string service;
  int limit = 0;
  int in_flight = 0;
  std::size_t queued = 0;
  std::uint32_t level = 0;
  TargetAdmission::Stats admission;
  bool cold = false;  ///< Or may be.
  bool evacuated = false;
  ColdStartLimit::Stats cold_start{};
  std::uint64_t health_checks = 0;
  std::uint64_t handed_back = 0;
};

/// Snapshot of a daemon for its operator endpoint.
struct DaemonStats {
  bool live = false;
  bool ready = false;
  bool draining = false;
  bool stale = false;
  std::string host;
  std::string failure_domain;
  Incarnation incarnation;
  Version version;
  std::string preset;
  Findings findings;  ///< Of the last invalid document.
  /// Newer than `version`, but refused; invalid if it could not be read.
  std::optional<Version> refused_version;
  /// Since the platform last confirmed `version` to this host or a peer.
  Duration confirmation_age{};
  std::vector<MemberStatus> members;
  std::vector<TargetStatus> targets;
  std::size_t running_requests = 0;
  std::size_t used_tickets = 0;

  RateLimiter::Stats rate;
  RetryBudget::Stats retry;
  TicketStore::Stats tickets;
  DispatchFence::Stats fence;
  EntryGate::Stats gate;
  Router::Stats router;
  Membership::Stats membership;
  ConfigDistributor::Stats spread;
  FleetTracker::Stats fleet;
  EvacuationTable::Stats evacuations;
  std::vector<std::string> evacuated;  ///< Failure domains.
  PeerLinkStats peers;
  HttpFrontStats caller;
  HttpFrontStats onward;
  TargetClientStats target_client;
  PipelineStats pipeline;
  std::vector<HomeRefusals::Count> home_refusals;
  HandBackPolicy::Stats hand_backs;
  PlatformClientStats platform;
  RingStats rings;
  LatencyStats request_latency;  ///< Callers' requests, arrival to answer.
  LatencyStats target_latency;   ///< Own targets, dispatch to answer.
};

}  // namespace lentilcross
