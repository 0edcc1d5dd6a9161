#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "call_links.h"
#include "data_state.h"
#include "faults.h"
#include "onward_pipeline.h"
#include "outgoing_calls.h"
#include "peer_calls.h"
#include "rate_waits.h"
#include "request_pipeline.h"
#include "target_calls.h"
#include "target_connections.h"
#include "ticket_calls.h"
#include "virtual_time.h"

namespace lentilcross::matrix {

class World;

/// One execution at a target, as the target saw it.
struct Execution {
  std::string host;
  std::string path;
  std::string ticket;
  std::string attempt;  ///< Value of the test's header X-Attempt.
  std::string organisation;
  bool saw_key = false;
  Instant at{};
};

/// One request of a caller and its answer.
struct Attempt {
  std::string id;
  std::string path;
  std::string ticket;
  std::string expected_body;
  Instant sent{};
  Instant deadline{};
  bool answered = false;
  bool abandoned = false;
  bool entry_died = false;
  bool probe = false;  ///< Sent long after the fault.
  HttpResponse response;
};

/// One daemon without sockets: the request path of the product on fakes.
class Node : public CallLinks, public TargetConnections {
 public:
  Node(World& world, std::string name, const std::string& domain,
       std::uint64_t incarnation);

  void Apply(const std::shared_ptr<const Configuration>& configuration);
  void Leave();
  void OnPeerMessage(const LinkPeer& peer, PeerMessage&& message);
  void OnLinkDown(const LinkPeer& peer);
  void SendLoans();

  // CallLinks
  LinkId Find(HostId host) const override;
  const LinkPeer* FindPeer(LinkId link) const override;
  bool Connect(HostId host) override;
  bool SendOverLink(LinkId link, const PeerMessage& message) override;
  void AddOutstanding(LinkId link, int change) override;

  // TargetConnections
  Handle Start(const Endpoint& address, const HttpRequest& request,
               std::function<bool()> may_write,
               std::function<void(Result&&)> done) override;
  void Cancel(Handle handle) override;

  const std::string& name() const { return name_; }
  ProcessTime& time() { return time_; }
  DataState& state() { return *state_; }
  RequestPipeline& entry() { return *entry_; }

 private:
  friend class World;
  struct Exchange {
    HttpRequest request;
    std::function<void(Result&&)> done;
  };

  void Write(Handle handle, const std::function<bool()>& may_write);
  void Run(Handle handle);
  void CallOnward(Handle handle);
  void Answer(Handle handle, HttpResponse response);
  void Tick();
  void ProbeHosts(Instant now);

  World& world_;
  std::string name_;
  HostId id_;
  ProcessTime time_;
  std::unique_ptr<DataState> state_;
  std::unique_ptr<TargetCalls> targets_;
  std::unique_ptr<OutgoingCalls> outgoing_;
  std::unique_ptr<RateWaitQueue> waits_;
  std::unique_ptr<TicketCalls> tickets_;
  std::unique_ptr<PeerCalls> peers_;
  std::unique_ptr<RequestPipeline> entry_;
  std::unique_ptr<OnwardPipeline> onward_;
  std::map<LinkId, LinkPeer> links_;
  std::map<Handle, Exchange> exchanges_;
  std::map<std::uint64_t, Handle> onward_exchanges_;
  std::uint64_t last_handle_ = 0;
  Instant next_probe_{};
};

/// A fault and the step at which it strikes.
struct PlannedFault {
  Step step;
  Fault fault;
  /// Strikes so long after the fault before it if its step is not reached by
  /// then: the first fault can end the request.
  Duration at_latest{};
};

/// Three daemons, their targets and one caller, in virtual time.
class World {
 public:
  /// The faults strike in order.
  World(std::vector<PlannedFault> faults, std::uint64_t seed);

  /// Sends a lookup and a deposit, strikes with the faults at the steps of the
  /// deposit or, with `lookup`, of the lookup, lets the caller repeat, and runs
  /// to the end.
  void Run(bool lookup);

  /// Whether all faults struck.
  bool struck() const { return next_fault_ == faults_.size(); }
  /// Whether all of them struck at their steps, none at its latest time.
  bool struck_at_steps() const { return at_steps_ == faults_.size(); }
  /// What does not hold, one line each.
  std::vector<std::string> Violations() const;

 private:
  friend class Node;

  struct Link {
    LinkId id = 0;
    std::string from;
    std::string to;
    bool silent = false;
  };

  void Reach(Step step, const std::string& host, const std::string& attempt);
  void StrikeNext(const std::string& host);
  void Strike(Fault fault, const std::string& host);
  void StrikeNetwork(Fault fault);
  void StrikeTarget(Fault fault);
  void Withdraw();
  void LeaveLater(const std::string& host);
  void AbandonWatched();
  void CloseAfterSilence(const std::function<bool(const Link&)>& dead);
  bool Has(Fault fault) const;
  bool HasOnly(const std::set<Fault>& faults) const;
  void Kill(const std::string& host);
  void Restart(const std::string& host);
  void Publish(const std::function<void(nlohmann::json&)>& change);

  LinkId Open(Node& from, const std::string& to);
  void Deliver(Node& from, LinkId link, const PeerMessage& message);
  void CloseLink(LinkId link);
  bool IsCut(const std::string& from, const std::string& to) const;

  Node* Find(const std::string& name);
  Attempt& Send(const std::string& host, const std::string& path,
                const std::string& ticket);
  void Repeat(const std::string& path, const std::string& ticket, int left);
  void Flood(const std::string& host);

  std::vector<PlannedFault> faults_;
  std::size_t next_fault_ = 0;
  std::size_t at_steps_ = 0;
  VirtualTime time_;
  std::uint64_t last_incarnation_;
  LinkId last_link_ = 0;
  std::uint64_t last_exchange_ = 0;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::string> domain_of_;
  std::map<LinkId, Link> links_;
  nlohmann::json document_;
  std::shared_ptr<const Configuration> configuration_;
  std::map<std::uint64_t, Attempt*> exchanges_;
  std::vector<std::unique_ptr<Attempt>> attempts_;
  std::vector<Execution> executions_;
  std::map<std::string, int> calls_;  ///< Sent for each attempt.
  std::string watched_;               ///< Attempt whose steps count.
  bool one_way_ = false;
  bool partitioned_ = false;
  std::set<std::string> slow_;
  std::set<std::string> shedding_;
  std::set<std::string> cold_;
  bool duplicate_ = false;
  bool reorder_ = false;
  std::map<std::string, Instant> leaving_;  ///< Host to when it began.
  Instant withdrawn_at_ = Instant::max();
  Instant flood_began_{};
};

}  // namespace lentilcross::matrix
