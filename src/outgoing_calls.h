#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "call_links.h"
#include "data_state.h"
#include "http_types.h"
#include "lentilcross/peer_message.h"
#include "target_calls.h"

namespace lentilcross {

/// A request that this daemon sends to a service, in one or more attempts.
struct OutgoingRequest {
  RequestContext context;
  RouteId route;
  ServiceId service;
  HttpRequest request;
  Instant deadline{};
  Duration target_latency{};  ///< From the route; 0: not set.
  bool idempotent = true;
  bool open = false;  ///< The route is open.
  std::uint16_t extra_attempts = 0;
  /// Key of the caller, at the entry daemon only. Checked again after each
  /// wait, in case it was withdrawn.
  std::optional<KeyRing::Lookup> key;
  /// If set, the request goes to the process that issued its ticket, which
  /// routes it to a target.
  std::optional<TicketStore::Issuer> issuer;
};

/// Chooses targets for requests, sends the requests over peer links or to
/// targets on this host, and retries them. Runs on the thread `data`.
class OutgoingCalls {
 public:
  /// Handle of a request in progress. 0 is invalid.
  using Handle = std::uint64_t;
  using Done = std::function<void(Reply&&)>;

  OutgoingCalls(DataState& state, CallLinks& links, TargetCalls& targets);
  ~OutgoingCalls();

  /// Calls `done` once, possibly before this returns. The reply carries the
  /// number of unused extra attempts.
  Handle Start(OutgoingRequest request, Done done);
  /// Cancels a request, also at the hosts that it has reached. `done` follows
  /// with `reason`, or with a response that was already on its way. Ignored if
  /// the request has ended.
  void Abort(Handle handle, Reason reason);
  void AbortAll(Reason reason);

  void OnReply(LinkId link, Reply&& reply);
  void OnCancelAck(LinkId link, const CancelAck& ack);
  void OnLinkUp(HostId host, LinkId link);
  /// Ends the calls that can be repeated. The others wait for their answers
  /// until `OnLinkDown`, as the peer may only be slow.
  void OnLinkSilent(LinkId link);
  void OnLinkDown(LinkId link);
  void OnUnreachable(HostId host);

  /// Number of requests in progress.
  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
