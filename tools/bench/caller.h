#pragma once

#include <memory>

#include "lentilcross/retry.h"
#include "lentilcross/routing.h"
#include "world.h"

namespace lentilcross::bench {

/// Makes the calls of one daemon to the next service: chooses targets, and
/// repeats calls within the request's allowance and the daemon's budget.
class Caller {
 public:
  explicit Caller(World& world);

  void Call(std::size_t hop, const RequestPtr& request, std::uint16_t extra,
            OnReply on_reply);

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;
  void Attempt(const PendingPtr& pending);
  void OnEnd(const PendingPtr& pending, TargetId target, std::uint16_t lent,
             Instant sent, CallReply reply);
  bool MayRepeat(Pending& pending, const CallReply& reply);
  std::optional<TargetId> ChooseTarget(const Pending& pending);
  TargetId ChooseByEndpoint(std::size_t hop);

  World& world_;
  Router router_;
  RetryBudget budget_;
};

}  // namespace lentilcross::bench
