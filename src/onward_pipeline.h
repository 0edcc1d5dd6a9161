#pragma once

#include <functional>
#include <memory>
#include <string>

#include "data_state.h"
#include "http_types.h"
#include "outgoing_calls.h"
#include "target_calls.h"

namespace lentilcross {

/// Handles onward calls: calls that a target on this host makes to other
/// services while it serves a request. The call's context token identifies that
/// request. Runs on the thread `data`.
class OnwardPipeline {
 public:
  /// Handle of one HTTP request that waits for its response.
  using ExchangeId = std::uint64_t;
  using Respond = std::function<void(ExchangeId, HttpResponse)>;

  OnwardPipeline(DataState& state, OutgoingCalls& outgoing,
                 TargetCalls& targets, Respond respond);
  ~OnwardPipeline();

  void OnRequest(ExchangeId exchange, HttpRequest&& request);
  /// The target closed its connection: cancels the onward call, also at the
  /// hosts that it has reached.
  void OnClientDisconnect(ExchangeId exchange);
  /// The request of the token has ended: cancels its onward calls.
  void OnTokenRevoked(const std::string& token);

  /// Number of onward calls in progress.
  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
