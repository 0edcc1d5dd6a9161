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

World::World(Step step, Fault fault, std::uint64_t seed)
    : step_(step), fault_(fault), last_incarnation_(seed * 1000) {
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
  nodes_.erase(host);
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
  if (struck_ || watched_.empty() || attempt != watched_ || step != step_) {
    return;
  }
  struck_ = true;
  Strike(host);
}

void World::Strike(const std::string& host) {
  // The host in front of the target is where the step happened, or the one that
  // the first target of the service is on.
  const std::string target_host = host == "entry" ? "one" : host;
  // A process cannot be destroyed inside its own call.
  const auto later = [this](std::function<void()> work) {
    time_.At(time_.Now(), std::move(work));
  };
  switch (fault_) {
    case Fault::kEntryKilled:
      later([this] { Kill("entry"); });
      return;
    case Fault::kTargetHostKilled:
      later([this, target_host] { Kill(target_host); });
      return;
    case Fault::kEntryPaused:
      Find("entry")->time().PauseUntil(time_.Now() + kFaultLasts);
      return;
    case Fault::kTargetHostPaused:
      Find(target_host)->time().PauseUntil(time_.Now() + kFaultLasts);
      return;
    case Fault::kKeyWithdrawn:
      withdrawn_at_ = time_.Now();
      later([this] {
        Publish([](Json& c) { c["keys"]["coopers"]["withdrawn"] = true; });
      });
      return;
    case Fault::kPresetSwitched:
      later([this] { Publish([](Json& c) { c["preset"] = "peak"; }); });
      return;
    case Fault::kTargetHostLeaves:
      later([this, target_host] {
        leaving_ = target_host;
        left_at_ = time_.Now();
        Find(target_host)->Leave();
      });
      return;
    case Fault::kCallerGone:
      later([this] {
        for (const auto& [exchange, attempt] : exchanges_) {
          if (attempt->id != watched_ || attempt->answered) continue;
          attempt->abandoned = true;
          Find("entry")->entry().OnAbandoned(exchange);
          return;
        }
      });
      return;
    default:
      StrikeNetwork();
      StrikeTarget();
  }
}

void World::StrikeNetwork() {
  switch (fault_) {
    case Fault::kLinkReset:
      time_.At(time_.Now(), [this] {
        std::vector<LinkId> all;
        for (const auto& [id, link] : links_) all.push_back(id);
        for (const LinkId link : all) CloseLink(link);
      });
      return;
    case Fault::kLinkSilent:
      for (auto& [id, link] : links_) link.silent = true;
      time_.At(time_.Now() + kSilenceBound, [this] {
        std::vector<LinkId> silent;
        for (const auto& [id, link] : links_) {
          if (link.silent) silent.push_back(id);
        }
        for (const LinkId link : silent) CloseLink(link);
      });
      return;
    case Fault::kPartitionOneWay:
    case Fault::kPartition:
      partitioned_ = true;
      one_way_ = fault_ == Fault::kPartitionOneWay;
      time_.At(time_.Now() + kSilenceBound, [this] {
        std::vector<LinkId> crossing;
        for (const auto& [id, link] : links_) {
          if (IsCut(link.from, link.to) || IsCut(link.to, link.from)) {
            crossing.push_back(id);
          }
        }
        for (const LinkId link : crossing) CloseLink(link);
      });
      time_.At(time_.Now() + kFaultLasts, [this] { partitioned_ = false; });
      return;
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

void World::StrikeTarget() {
  const std::set<std::string> hosts = {"one", "two"};
  switch (fault_) {
    case Fault::kTargetSlow:
    case Fault::kLateAnswer:
      slow_ = hosts;
      break;
    case Fault::kTargetShedding:
      shedding_ = hosts;
      break;
    case Fault::kTargetCold:
      cold_ = hosts;
      break;
    default:
      return;
  }
  time_.At(time_.Now() + kFaultLasts, [this] {
    slow_.clear();
    shedding_.clear();
    cold_.clear();
  });
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
  time_.RunUntil(time_.Now() + seconds(5));
  for (const auto& [name, domain] : domain_of_) {
    Send(name, "/stock", {}).probe = true;
  }
  time_.RunUntil(time_.Now() + seconds(1));
}

}  // namespace lentilcross::matrix
