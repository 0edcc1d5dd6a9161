#pragma once

#include "daemon_stats.h"
#include "data_state.h"
#include "peer_links.h"
#include "target_calls.h"
#include "thread_messages.h"

namespace lentilcross {

/// Counters and states that the thread `data` owns.
DaemonStats SnapshotOf(const DataState& state, const PeerLinks& links,
                       const TargetCalls& targets);

/// Adds what the thread `control` reported last.
void AddControlStats(const ControlStats& control, DaemonStats& stats);

}  // namespace lentilcross
