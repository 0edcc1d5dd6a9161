#pragma once

#include <functional>
#include <memory>
#include <string>

#include "data_state.h"
#include "http_types.h"
#include "outgoing_calls.h"
#include "target_calls.h"

namespace lentilcross {

/// Path of an onward call of a target on this host. Its context token stands
/// for the request that the target works on. Runs on the thread `data`.
class OnwardPipeline {
 public:
  using ExchangeId = std::uint64_t;
  using Respond = std::function<void(ExchangeId, HttpResponse)>;

  OnwardPipeline(DataState& state, OutgoingCalls& outgoing,
                 TargetCalls& targets, Respond respond);
  ~OnwardPipeline();

  void OnRequest(ExchangeId exchange, HttpRequest&& request);
  /// The target closed its connection: cancels down the chain.
  void OnClientDisconnect(ExchangeId exchange);
  /// The call that the token stands for has ended: cancels its onward calls.
  void OnTokenRevoked(const std::string& token);

  std::size_t running() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
