#pragma once

#include <functional>
#include <memory>

#include "data_state.h"
#include "http_types.h"
#include "outgoing_calls.h"
#include "rate_waits.h"

namespace lentilcross {

/// Path of a request of a caller: route, key, ticket, rate, entry gate, target.
/// Runs on the thread `data`.
class RequestPipeline {
 public:
  /// Handle of one request that waits for its response.
  using ExchangeId = std::uint64_t;
  using Respond = std::function<void(ExchangeId, HttpResponse)>;

  RequestPipeline(DataState& state, OutgoingCalls& outgoing,
                  TargetCalls& targets, RateWaits& waits, Respond respond);
  ~RequestPipeline();

  void OnRequest(ExchangeId exchange, HttpRequest&& request);
  /// The caller is gone: cancels down the chain.
  void OnClientDisconnect(ExchangeId exchange);

  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
