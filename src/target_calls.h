#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon_init.h"
#include "data_state.h"
#include "lentilcross/peer_message.h"
#include "target_connections.h"

namespace lentilcross {

/// Runs calls on the targets of this host: registers them with the fence, waits
/// for admission, issues context tokens, and sends HTTP requests. Runs on the
/// thread `data`.
class TargetCalls {
 public:
  using ReplyHandler = std::function<void(Reply&&)>;

  struct Options {
    bool local = false;  ///< The call comes from this daemon itself.
    /// Key of the caller; checked again when the call leaves the queue, in case
    /// it was withdrawn.
    std::optional<KeyRing::Lookup> key;
  };

  TargetCalls(DataState& state, TargetConnections& client,
              const std::vector<LocalTarget>& targets);
  ~TargetCalls();

  /// Starts a call. Calls `done` once, possibly before this returns, unless the
  /// call is cancelled. Returns false, without a call of `done`, if the call is
  /// a duplicate.
  bool Accept(Incarnation origin, Call call, const Options& options,
              ReplyHandler done);
  /// Ends a call without a reply. Returns true if it is proven that the call
  /// never ran and never will.
  bool Cancel(Incarnation origin, CallNumber number);

  /// Returns the context of the running call with this token, or null if it has
  /// ended. With `HttpDialect::parent_request_of`, the request id is the token.
  const RequestContext* FindContext(std::string_view token) const;
  /// Records that the call of the token starts, or has stopped, to wait for an
  /// onward call.
  void BeginOnwardWait(std::string_view token);
  void EndOnwardWait(std::string_view token);
  /// Adds the shedding levels of an onward call to the reply of the running
  /// call that made it, and whether the onward call exhausted its attempts.
  void RecordOnwardResult(std::string_view token,
                          const std::vector<ServiceLevel>& levels,
                          bool attempts_exhausted);
  /// Sets the handler that is called with the token of a call that has ended,
  /// so that its onward calls can be cancelled.
  void SetTokenRevokedHandler(
      std::function<void(const std::string& token)> handler);

  /// Sets the longest time that a call may wait in the queue of a target.
  void SetMaxQueueTime(Duration max_queue_time);
  /// Applies a new configuration, or a change of the registered targets.
  void OnConfiguration(const Configuration& configuration);
  /// Ends all calls with a reply; used when a drain reaches its time limit.
  void AbortAll();

  /// Number of calls that are queued or running.
  std::size_t running() const;
  std::vector<TargetStatus> Status() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
