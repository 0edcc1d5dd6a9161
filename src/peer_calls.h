#pragma once

#include <functional>
#include <memory>

#include "call_links.h"
#include "data_state.h"
#include "lentilcross/peer_message.h"
#include "target_calls.h"

namespace lentilcross {

/// Calls that other daemons send to this one. Runs on the thread `data`.
class PeerCalls {
 public:
  using ReplyHandler = TargetCalls::ReplyHandler;
  /// Stops a call that goes through this daemon as ticket issuer; its reply
  /// still follows.
  using AbortFunction = std::function<void()>;
  /// Takes a call to this daemon as ticket issuer.
  using IssuerCall =
      std::function<AbortFunction(const LinkPeer&, Call&&, ReplyHandler)>;

  PeerCalls(DataState& state, CallLinks& links, TargetCalls& targets,
            IssuerCall issuer_call);
  ~PeerCalls();

  void OnCall(const LinkPeer& peer, Call&& call);
  void OnCancel(const LinkPeer& peer, const Cancel& cancel);
  /// Replies can no longer be delivered: the calls are cancelled.
  void OnLinkDown(const LinkPeer& peer);

  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
