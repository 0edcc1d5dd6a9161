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

/// One request that this daemon sends to a service, with all its attempts.
struct OutgoingRequest {
  RequestContext context;
  RouteId route;
  ServiceId service;
  HttpRequest request;
  Instant deadline{};
  Duration target_latency{};  ///< Of the route; 0: not set.
  bool idempotent = true;
  bool open = false;  ///< Of an open route.
  std::uint16_t extra_attempts = 0;
  /// At entry: checked again when the request leaves a wait.
  std::optional<KeyRing::Lookup> key;
  /// Goes to the process that issued the ticket, which routes it further.
  std::optional<TicketBook::Issuer> issuer;
};

/// Sends requests to the chosen targets, over peer links or on this host, and
/// retries them. Runs on the thread `data`.
class OutgoingCalls {
 public:
  /// Handle of a request in progress. 0 is invalid.
  using Handle = std::uint64_t;
  using Done = std::function<void(Reply&&)>;

  OutgoingCalls(DataState& state, CallLinks& links, TargetCalls& targets);
  ~OutgoingCalls();

  /// `done` is called once, possibly before this returns. Its reply carries
  /// what is left of the extra attempts.
  Handle Start(OutgoingRequest request, Done done);
  /// Cancels down the chain. `done` follows with `reason`, or with an answer
  /// that was already on its way. Ignored if the request has ended.
  void Abort(Handle handle, Reason reason);
  void AbortAll(Reason reason);

  void OnReply(LinkId link, Reply&& reply);
  void OnCancelAck(LinkId link, const CancelAck& ack);
  void OnLinkUp(HostId host, LinkId link);
  void OnLinkDown(LinkId link);
  void OnUnreachable(HostId host);

  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
