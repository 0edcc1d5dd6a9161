#pragma once

#include <functional>
#include <memory>

#include "data_state.h"
#include "lentilcross/peer_message.h"
#include "peer_links.h"
#include "target_calls.h"

namespace lentilcross {

/// Calls that other daemons send to this one. Runs on the thread `data`.
class PeerCalls {
 public:
  using ReplyHandler = TargetCalls::ReplyHandler;
  /// Stops a call that goes through this daemon as ticket issuer; its reply
  /// still follows.
  using Stop = std::function<void()>;
  /// Takes a call to this daemon as ticket issuer.
  using IssuerCall =
      std::function<Stop(const PeerLinks::Peer&, Call&&, ReplyHandler)>;

  PeerCalls(DataState& state, PeerLinks& links, TargetCalls& targets,
            IssuerCall issuer_call);
  ~PeerCalls();

  void OnCall(const PeerLinks::Peer& peer, Call&& call);
  void OnCancel(const PeerLinks::Peer& peer, const Cancel& cancel);
  /// Replies can no longer be delivered: the calls are cancelled.
  void OnLinkDown(const PeerLinks::Peer& peer);

  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
