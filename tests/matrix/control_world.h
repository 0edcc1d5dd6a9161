#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control_faults.h"
#include "lentilcross/keys.h"
#include "lentilcross/membership.h"
#include "lentilcross/spread.h"
#include "virtual_time.h"

namespace lentilcross::matrix {

class ControlWorld;

/// Configuration and membership of one process: the core classes of the product
/// with the wiring of its control loop, without sockets and threads.
class ControlNode {
 public:
  ControlNode(ControlWorld& world, std::string name, std::uint64_t incarnation);

  void Leave();
  void OnLinkUp(std::uint64_t link, const std::string& peer,
                Incarnation incarnation);
  void OnLinkDown(std::uint64_t link);
  void OnMessage(std::uint64_t link, const PeerMessage& message);
  /// The answer of the platform: a document, or an empty one for "no newer".
  void OnPlatform(const std::string& document);
  void OnPlatformFailure();
  void SendTo(const std::string& peer, const PeerMessage& message);

  /// In force for requests; 0 before the first.
  Version applied() const { return applied_; }
  Version held() const;
  bool ready() const;
  bool paused() const { return time_.paused(); }

 private:
  friend class ControlWorld;

  void Tick();
  void SlowTick();
  void DialSeeds();
  void SendAll(const std::vector<ConfigDistributor::Outgoing>& messages);
  void Publish();
  void Step();

  ControlWorld& world_;
  std::string name_;
  Incarnation incarnation_;
  ProcessTime time_;
  ConfigDistributor spread_;
  Membership membership_;
  Random random_;
  KeyRing keys_;
  /// By key, of connections that were opened with the first version.
  std::map<std::string, KeyRing::Lookup> open_connections_;
  std::set<std::string> refused_keys_;  ///< Known to be withdrawn.
  Version published_;
  Version applied_;
  bool leaving_ = false;
  bool reading_ = false;
  bool went_back_ = false;
  bool was_ready_ = false;
  std::uint64_t life_ = 0;
  Instant started_{};
  std::map<std::uint64_t, std::string> links_;
  std::map<Instant, Version> history_;  ///< When each version came into force.
};

/// Six processes in two failure domains and the platform, in virtual time.
class ControlWorld {
 public:
  ControlWorld(ControlStep step, ControlFault fault, std::uint64_t seed);

  /// Publishes a version that withdraws a key, kills and restarts a host, lets
  /// another one leave and come back, strikes once with the fault, and ends
  /// with a last version.
  void Run();

  bool struck() const { return struck_; }
  /// What does not hold, one line each.
  const std::set<std::string>& violations() const { return violations_; }

 private:
  friend class ControlNode;

  struct Link {
    std::string from;
    std::string to;
    bool silent = false;
  };
  using Pair = std::pair<std::string, std::string>;

  // Events
  void Start(const std::string& host);
  void Kill(const std::string& host, Duration down);
  void Publish(const std::function<void(nlohmann::json&)>& change);
  void Withdraw(const std::string& name, std::string_view key);
  /// Published after the first version and not superseded.
  bool IsNew(Version version) const {
    return version_ == version && version.value() > 1;
  }
  void Reach(ControlStep step, const std::string& host,
             const std::string& peer);
  void Strike(const std::string& host, const std::string& peer);
  void StrikeNetwork(const std::string& host);
  void ReturnOldPeer();
  void HealNetwork();
  void HealPlatform();

  // Network
  ControlNode* Find(const std::string& name);
  ControlNode* Find(HostId host);
  bool IsCut(const std::string& from, const std::string& to) const;
  std::uint64_t LinkOf(const ControlNode& node, const std::string& peer) const;
  std::uint64_t Open(ControlNode& from, const std::string& to);
  void Deliver(ControlNode& from, std::uint64_t link,
               const PeerMessage& message);
  void CloseLink(std::uint64_t link);
  void CloseAfterSilence(const std::function<bool(const Link&)>& dead);

  // Platform
  void CallPlatform(ControlNode& node, Version have, Duration wait);
  void AnswerPlatform(const std::string& host, std::uint64_t life, Version have,
                      Instant until);

  // Checks
  void Sample();
  void CheckNode(const std::string& name, ControlNode& node);
  void CheckKeys(const std::string& name, ControlNode& node);
  void CheckStart(const std::string& name, ControlNode& node);
  void CheckSpread(const std::string& name, const ControlNode& node);
  void CheckLeaver(const std::string& name, const ControlNode& node);
  void CheckEnd();
  bool Connected(const std::string& a, const std::string& b);
  void Violate(const std::string& text) { violations_.insert(text); }

  ControlStep step_;
  ControlFault fault_;
  VirtualTime time_;
  Random random_;
  std::uint64_t last_incarnation_;
  std::uint64_t last_link_ = 0;
  std::uint64_t last_life_ = 0;
  std::map<std::string, std::unique_ptr<ControlNode>> nodes_;
  std::map<std::uint64_t, Link> links_;
  nlohmann::json document_;
  std::string first_text_;
  std::string text_;
  Version version_;
  bool watching_ = false;  ///< The steps of configuration count.
  bool struck_ = false;
  bool platform_up_ = true;
  bool platform_stale_ = false;
  bool platform_stale_content_ = false;
  bool partitioned_ = false;
  bool one_way_ = false;
  bool duplicate_ = false;
  bool reorder_ = false;
  std::string isolated_;
  std::map<std::string, Version> withdrawn_;  ///< Key to version.
  std::uint64_t leaver_life_ = 0;
  Instant left_at_{};
  std::map<Pair, Instant> connected_since_;
  std::set<std::string> violations_;
};

}  // namespace lentilcross::matrix
