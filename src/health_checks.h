#pragma once

#include <memory>

#include "data_state.h"
#include "local_targets.h"
#include "target_connections.h"

namespace lentilcross {

/// Asks targets on this host for their health while it is unknown whether they
/// are cold. Runs on the thread `data`.
class HealthChecks : public std::enable_shared_from_this<HealthChecks> {
 public:
  /// All three must outlive the object.
  HealthChecks(DataState& state, TargetConnections& client,
               LocalTargets& targets)
      : state_(state), client_(client), targets_(targets) {}

  /// Starts the checks that are due. Call when a target may have restarted and
  /// with each call to a target in doubt.
  void Start();

 private:
  void OnResult(std::size_t index, const TargetConnections::Result& result);

  DataState& state_;
  TargetConnections& client_;
  LocalTargets& targets_;
};

}  // namespace lentilcross
