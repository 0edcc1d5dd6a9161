#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "deployment.h"
#include "event_loop.h"
#include "lentilcross/membership.h"
#include "lentilcross/peer_message.h"
#include "policy.h"
#include "scenario.h"

namespace lentilcross::bench {

struct Request {
  RequestId id;
  std::size_t organisation = 0;  ///< Index into the deployment's list.
  Importance importance = Importance::kLookup;
  Instant deadline{};
};
using RequestPtr = std::shared_ptr<const Request>;

enum class CallEnd {
  kOk,
  kShed,    ///< Refused by the called target's daemon, not run there.
  kBehind,  ///< The called target ran, but an onward call ended badly.
  kLate,
  kFailed,
};

struct CallReply {
  CallEnd end = CallEnd::kOk;
  std::uint16_t extra_left = 0;
  std::vector<ServiceLevel> levels;
};
using OnReply = std::function<void(const CallReply&)>;

/// Counters that the modules of one run share.
struct Counters {
  std::uint64_t first_calls = 0;
  std::uint64_t calls = 0;
  std::uint64_t critical_refused = 0;
  std::uint64_t critical_refused_in_favour = 0;
};

class Node;

/// What all parts of one run share.
struct World {
  World(Deployment given, Policy given_policy, const Scenario& given_scenario,
        std::uint64_t seed);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Node& NodeOf(TargetId target);
  Duration DrawWork();

  Deployment deployment;
  Policy policy;
  Scenario scenario;
  Random random;
  EventLoop loop;
  Membership membership;
  Counters counters;
  std::vector<std::vector<std::unique_ptr<Node>>> nodes;  ///< By hop.
  std::unordered_map<TargetId, Node*> nodes_by_target;
};

}  // namespace lentilcross::bench
