#pragma once

#include <functional>
#include <memory>

#include "call_links.h"
#include "data_state.h"
#include "lentilcross/peer_message.h"
#include "target_calls.h"

namespace lentilcross {

/// Handles calls that other daemons send to this one. Runs on the thread
/// `data`.
class PeerCalls {
 public:
  using ReplyHandler = TargetCalls::ReplyHandler;
  /// Aborts a call that this daemon forwards as ticket issuer. The call is
  /// still replied to.
  using AbortFunction = std::function<void()>;
  /// Handles a call that was sent to this daemon as the issuer of its ticket.
  /// The result may be null.
  using IssuerCallHandler =
      std::function<AbortFunction(const LinkPeer&, Call&&, ReplyHandler)>;

  PeerCalls(DataState& state, CallLinks& links, TargetCalls& targets,
            IssuerCallHandler issuer_call);
  ~PeerCalls();

  void OnCall(const LinkPeer& peer, Call&& call);
  void OnCancel(const LinkPeer& peer, const Cancel& cancel);
  /// Cancels the calls of the link, because replies can no longer be sent.
  void OnLinkDown(const LinkPeer& peer);

  /// Number of calls in progress.
  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
