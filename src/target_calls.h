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

/// Calls to the targets on this host: fence, admission, context token, HTTP.
/// Runs on the thread `data`.
class TargetCalls {
 public:
  using ReplyHandler = std::function<void(Reply&&)>;

  struct Options {
    bool local = false;  ///< From this daemon itself.
    /// Checked again when the call leaves the queue.
    std::optional<KeyRing::Lookup> key;
  };

  TargetCalls(DataState& state, TargetConnections& client,
              const std::vector<LocalTarget>& targets);
  ~TargetCalls();

  /// Takes a call. `done` is called once, possibly before this returns, unless
  /// the call is cancelled. False if the call is a duplicate and was dropped.
  bool Accept(Incarnation origin, Call call, const Options& options,
              ReplyHandler done);
  /// Ends a call without a reply. True if it is proven that it never ran and
  /// never will.
  bool Cancel(Incarnation origin, CallNumber number);

  /// What was decided about the running call of the token; null if it has
  /// ended. Where the dialect names calls, the name stands for the token.
  const RequestContext* FindContext(std::string_view token) const;
  /// The running call of the token waits for an onward call, or goes on.
  void BeginOnward(std::string_view token);
  void EndOnward(std::string_view token);
  /// Adds what an onward call of a running call has learned.
  void NoteOnward(std::string_view token,
                  const std::vector<ServiceLevel>& levels, bool exhausted);
  /// Called when the token of a call ends, so that its onward calls stop.
  void SetTokenRevokedHandler(
      std::function<void(const std::string& token)> hook);

  void SetLongestQueue(Duration longest_queue);
  /// A new configuration or a change of the registered targets.
  void OnConfiguration(const Configuration& configuration);
  /// Answers everything that runs or waits; used when a drain is cut short.
  void AbortAll();

  std::size_t running() const;
  std::vector<TargetStatus> Status() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
