#pragma once

#include <functional>
#include <memory>

#include "data_state.h"
#include "http_types.h"
#include "outgoing_calls.h"
#include "rate_waits.h"

namespace lentilcross {

/// Handles requests of callers: checks route, API key, ticket, rate and entry
/// gate, then calls a target. Runs on the thread `data`.
class RequestPipeline {
 public:
  /// Handle of one HTTP request that waits for its response.
  using ExchangeId = std::uint64_t;
  using Respond = std::function<void(ExchangeId, HttpResponse)>;

  RequestPipeline(DataState& state, OutgoingCalls& outgoing,
                  TargetCalls& targets, RateWaitQueue& waits, Respond respond);
  ~RequestPipeline();

  void OnRequest(ExchangeId exchange, HttpRequest&& request);
  /// The caller closed its connection: cancels the request, also at the hosts
  /// that it has reached.
  void OnClientDisconnect(ExchangeId exchange);

  /// Number of requests in progress.
  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
