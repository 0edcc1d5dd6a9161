#include "world.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "documents.h"

namespace lentilcross::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDelay = milliseconds(1);
constexpr Duration kSilenceBound = milliseconds(300);
constexpr Duration kFaultLasts = milliseconds(1500);
constexpr Duration kTimeout = kRouteTimeout;
constexpr int kRepeats = 2;
constexpr int kFloodRequests = 25;  ///< At each of the three hosts.
}  // namespace

World::World(std::vector<PlannedFault> faults, std::uint64_t seed)
    : faults_(std::move(faults)), last_incarnation_(seed * 1000) {
  document_ = RequestDocument();
  configuration_ = ParseDocument(document_);
  domain_of_ = {
      {"entry", "domain-1"}, {"one", "domain-1"}, {"two", "domain-2"}};
  for (const auto& [name, domain] : domain_of_) Restart(name);
}

Node* World::Find(const std::string& name) {
  const auto it = nodes_.find(name);
  return it == nodes_.end() ? nullptr : it->second.get();
}

void World::Restart(const std::string& host) {
  auto node = std::make_unique<Node>(*this, host, domain_of_.at(host),
                                     ++last_incarnation_);
  node->Apply(configuration_);
  nodes_[host] = std::move(node);
}

void World::Kill(const std::string& host) {
  std::vector<LinkId> broken;
  for (const auto& [id, link] : links_) {
    if (link.from == host || link.to == host) broken.push_back(id);
  }
  if (nodes_.erase(host) == 0) return;
  leaving_.erase(host);
  for (const LinkId link : broken) CloseLink(link);
  for (const auto& attempt : attempts_) {
    if (!attempt->answered && attempt->id.rfind(host + "#", 0) == 0) {
      attempt->entry_died = true;
    }
  }
  time_.At(time_.Now() + kFaultLasts, [this, host] { Restart(host); });
}

void World::Publish(const std::function<void(Json&)>& change) {
  document_["version"] = configuration_->version.value() + 1;
  change(document_);
  configuration_ = ParseDocument(document_);
  const auto next = configuration_;
  int order = 0;
  for (const auto& [name, domain] : domain_of_) {
    time_.At(time_.Now() + milliseconds(20) * order++,
             [this, host = name, next] {
               if (Node* node = Find(host)) {
                 node->time().At(time_.Now(), [this, host, next] {
                   if (Node* live = Find(host)) live->Apply(next);
                 });
               }
             });
  }
}

// ----- Faults

void World::Reach(Step step, const std::string& host,
                  const std::string& attempt) {
  if (watched_.empty() || attempt != watched_) return;
  while (!struck() && faults_[next_fault_].step == step) {
    ++at_steps_;
    StrikeNext(host);
  }
}

void World::StrikeNext(const std::string& host) {
  const Fault fault = faults_[next_fault_++].fault;
  const std::size_t next = next_fault_;
  Strike(fault, host);
  if (struck()) return;
  time_.At(time_.Now() + faults_[next].at_latest, [this, host, next] {
    if (next_fault_ == next) StrikeNext(host);
  });
}

bool World::Has(Fault fault) const {
  return std::any_of(
      faults_.begin(), faults_.end(),
      [fault](const PlannedFault& planned) { return planned.fault == fault; });
}

bool World::HasOnly(const std::set<Fault>& faults) const {
  return std::all_of(faults_.begin(), faults_.end(),
                     [&faults](const PlannedFault& planned) {
                       return faults.count(planned.fault) != 0;
                     });
}

void World::Strike(Fault fault, const std::string& host) {
  // The host in front of the target is where the step happened, or the one that
  // the first target of the service is on.
  const std::string target_host = host == "entry" ? "one" : host;
  // A process cannot be destroyed inside its own call.
  const auto later = [this](std::function<void()> work) {
    time_.At(time_.Now(), std::move(work));
  };
  const auto pause = [this](const std::string& name) {
    Node* node = Find(name);
    if (node != nullptr) node->time().PauseUntil(time_.Now() + kFaultLasts);
  };
  switch (fault) {
    case Fault::kEntryKilled:
      return later([this] { Kill("entry"); });
    case Fault::kTargetHostKilled:
      return later([this, target_host] { Kill(target_host); });
    case Fault::kEntryPaused:
      return pause("entry");
    case Fault::kTargetHostPaused:
      return pause(target_host);
    case Fault::kKeyWithdrawn:
      return Withdraw();
    case Fault::kPresetSwitched:
      return later([this] { Publish([](Json& c) { c["preset"] = "peak"; }); });
    case Fault::kTargetHostLeaves:
      return later([this, target_host] { LeaveLater(target_host); });
    case Fault::kCallerGone:
      return later([this] { AbandonWatched(); });
    default:
      StrikeNetwork(fault);
      StrikeTarget(fault);
  }
}

void World::Withdraw() {
  withdrawn_at_ = std::min(withdrawn_at_, time_.Now());
  time_.At(time_.Now(), [this] {
    Publish([](Json& c) { c["keys"]["coopers"]["withdrawn"] = true; });
  });
}

/// A paused process begins to leave when it resumes.
void World::LeaveLater(const std::string& host) {
  Node* node = Find(host);
  if (node == nullptr) return;
  node->time().At(time_.Now(), [this, host, node] {
    if (!leaving_.emplace(host, time_.Now()).second) return;
    node->Leave();
  });
}

void World::AbandonWatched() {
  Node* node = Find("entry");
  if (node == nullptr) return;
  for (const auto& [exchange, attempt] : exchanges_) {
    if (attempt->id != watched_ || attempt->answered) continue;
    attempt->abandoned = true;
    node->time().At(time_.Now(), [node, exchange = exchange] {
      node->entry().OnClientDisconnect(exchange);
    });
    return;
  }
}

void World::StrikeNetwork(Fault fault) {
  switch (fault) {
    case Fault::kLinkReset:
      time_.At(time_.Now(), [this] {
        std::vector<LinkId> all;
        for (const auto& [id, link] : links_) all.push_back(id);
        for (const LinkId link : all) CloseLink(link);
      });
      return;
    case Fault::kLinkSilent:
      for (auto& [id, link] : links_) link.silent = true;
      return CloseAfterSilence([](const Link& link) { return link.silent; });
    case Fault::kPartitionOneWay:
    case Fault::kPartition:
      // A cut in both directions includes one that is there already.
      one_way_ =
          fault == Fault::kPartitionOneWay && (!partitioned_ || one_way_);
      partitioned_ = true;
      time_.At(time_.Now() + kFaultLasts, [this] { partitioned_ = false; });
      return CloseAfterSilence([this](const Link& link) {
        return IsCut(link.from, link.to) || IsCut(link.to, link.from);
      });
    case Fault::kDuplicateDelivery:
      duplicate_ = true;
      return;
    case Fault::kReorderedDelivery:
      reorder_ = true;
      return;
    default:
      return;
  }
}

void World::CloseAfterSilence(const std::function<bool(const Link&)>& dead) {
  time_.At(time_.Now() + kSilenceBound, [this, dead] {
    std::vector<LinkId> silent;
    for (const auto& [id, link] : links_) {
      if (dead(link)) silent.push_back(id);
    }
    for (const LinkId link : silent) CloseLink(link);
  });
}

void World::StrikeTarget(Fault fault) {
  const auto strike = [this](std::set<std::string>& hosts) {
    hosts = {"one", "two"};
    time_.At(time_.Now() + kFaultLasts, [&hosts] { hosts.clear(); });
  };
  if (fault == Fault::kTargetSlow || fault == Fault::kLateAnswer) strike(slow_);
  if (fault == Fault::kTargetShedding) strike(shedding_);
  if (fault == Fault::kTargetCold) strike(cold_);
}

// ----- Links

bool World::IsCut(const std::string& from, const std::string& to) const {
  if (!partitioned_) return false;
  // The entry daemon is cut off from both hosts with targets.
  if (from == "entry") return true;
  return to == "entry" && !one_way_;
}

LinkId World::Open(Node& from, const std::string& to) {
  Node* other = Find(to);
  if (other == nullptr || IsCut(from.name(), to) || IsCut(to, from.name())) {
    return 0;
  }
  const LinkId id = ++last_link_;
  links_[id] = {id, from.name(), to, false};
  DataState& a = from.state();
  DataState& b = other->state();
  from.links_[id] = {id, b.self, b.incarnation, b.failure_domain};
  other->links_[id] = {id, a.self, a.incarnation, a.failure_domain};
  a.membership.OnHello(b.self, b.incarnation, time_.Now());
  b.membership.OnHello(a.self, a.incarnation, time_.Now());
  return id;
}

void World::Deliver(Node& from, LinkId link, const PeerMessage& message) {
  const auto it = links_.find(link);
  const std::string to = it == links_.end()               ? std::string()
                         : it->second.from == from.name() ? it->second.to
                                                          : it->second.from;
  if (std::holds_alternative<Call>(message)) {
    const auto& call = std::get<Call>(message);
    const bool front = call.path == "/stock" || call.path == "/deposits";
    if (front && !call.to_ticket_issuer) {
      ++calls_[std::string(FindHeader(call.headers, "X-Attempt"))];
    }
    Reach(Step::kCallSent, from.name(),
          std::string(FindHeader(call.headers, "X-Attempt")));
  } else if (std::holds_alternative<Reply>(message)) {
    Reach(Step::kReplySent, from.name(), watched_);
  }
  Node* receiver = Find(to);
  if (receiver == nullptr || it->second.silent || IsCut(from.name(), to)) {
    return;
  }
  const std::string bytes = Encode(message);
  const auto arrive = [this, link, to, bytes] {
    Node* node = Find(to);
    if (node == nullptr) return;
    const auto peer = node->links_.find(link);
    if (peer == node->links_.end()) return;
    const LinkPeer from_peer = peer->second;
    node->OnPeerMessage(from_peer, Decode(bytes).value());
  };
  Duration delay = kDelay;
  if (reorder_) {
    // The next message of any kind overtakes this one.
    reorder_ = false;
    delay += milliseconds(30);
  }
  receiver->time().At(time_.Now() + delay, arrive);
  if (duplicate_) {
    receiver->time().At(time_.Now() + delay, arrive);
    receiver->time().At(time_.Now() + delay * 20, arrive);
    receiver->time().At(time_.Now() + delay * 200, arrive);  // after its reply
  }
}

void World::CloseLink(LinkId link) {
  const auto it = links_.find(link);
  if (it == links_.end()) return;
  for (const std::string& host : {it->second.from, it->second.to}) {
    Node* node = Find(host);
    if (node == nullptr) continue;
    // What arrived before the end of a link is read first, also by a process
    // that was paused meanwhile.
    node->time().At(time_.Now() + kDelay * 2, [this, host, link] {
      Node* live = Find(host);
      if (live == nullptr) return;
      const auto peer = live->links_.find(link);
      if (peer == live->links_.end()) return;
      const LinkPeer gone = peer->second;
      live->OnLinkDown(gone);
    });
  }
  links_.erase(it);
}

// ----- Callers

Attempt& World::Send(const std::string& host, const std::string& path,
                     const std::string& ticket) {
  const std::uint64_t exchange = ++last_exchange_;
  auto attempt = std::make_unique<Attempt>();
  attempt->id = host + "#" + std::to_string(exchange);
  attempt->path = path;
  attempt->ticket = ticket;
  attempt->expected_body = "done:" + (ticket.empty() ? attempt->id : ticket);
  attempt->sent = time_.Now();
  attempt->deadline = time_.Now() + kTimeout;
  Attempt& sent = *attempt;
  attempts_.push_back(std::move(attempt));
  exchanges_[exchange] = &sent;
  HttpRequest request;
  request.target = path;
  request.headers = {{"X-Api-Key", std::string(kKey)}, {"X-Attempt", sent.id}};
  if (!ticket.empty()) request.headers.emplace_back("Idempotency-Key", ticket);
  if (watched_ == "next") watched_ = sent.id;
  Reach(Step::kAccepted, host, sent.id);
  Node* node = Find(host);
  if (node == nullptr) {
    sent.entry_died = true;
    return sent;
  }
  node->time().At(time_.Now(), [this, host, exchange, request] {
    if (Node* live = Find(host)) {
      // The time of a request counts from when the daemon reads it.
      exchanges_.at(exchange)->deadline = time_.Now() + kTimeout;
      live->entry().OnRequest(exchange, HttpRequest(request));
    }
  });
  return sent;
}

void World::Repeat(const std::string& path, const std::string& ticket,
                   int left) {
  if (left == 0) return;
  const std::string host = left % 2 == 0 ? "one" : "two";
  const Attempt& attempt = Send(host, path, ticket);
  const std::string id = attempt.id;
  time_.At(time_.Now() + kTimeout + milliseconds(100),
           [this, path, ticket, left] { Repeat(path, ticket, left - 1); });
}

void World::Flood(const std::string& host) {
  for (int i = 0; i < kFloodRequests; ++i) {
    time_.At(time_.Now() + milliseconds(8) * i, [this, host] {
      Node* node = Find(host);
      if (node == nullptr) return;
      const std::uint64_t exchange = ++last_exchange_;
      HttpRequest request;
      request.target = "/stock";
      request.headers = {{"X-Api-Key", std::string(kFloodKey)},
                         {"X-Attempt", "flood-" + std::to_string(exchange)}};
      node->time().At(time_.Now(), [node, exchange, request] {
        node->entry().OnRequest(exchange, HttpRequest(request));
      });
    });
  }
}

void World::Run(bool lookup) {
  time_.RunUntil(time_.Now() + seconds(4));  // gains come into force
  flood_began_ = time_.Now();
  for (const auto& [name, domain] : domain_of_) Flood(name);
  const std::string ticket = Find("entry")->state().tickets.Issue(
      OrganisationId::FromName("coopers"), time_.Now());
  if (lookup) watched_ = "next";
  Send("entry", "/stock", {});
  if (!lookup) watched_ = "next";
  Send("entry", "/deposits", ticket);
  time_.RunUntil(time_.Now() + kTimeout + milliseconds(100));
  Repeat("/deposits", ticket, kRepeats);
  // Each fault ends, and the rate is handed over after a restart.
  time_.RunUntil(time_.Now() + seconds(3 + 2 * faults_.size()));
  for (const auto& [name, domain] : domain_of_) {
    Send(name, "/stock", {}).probe = true;
  }
  time_.RunUntil(time_.Now() + seconds(1));
}

}  // namespace lentilcross::matrix
