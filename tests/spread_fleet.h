#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "lentilcross/membership.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/spread.h"
#include "published_document.h"
#include "result.h"

namespace lentilcross {

/// Passes a document from the platform to a host and captures the findings.
inline Captured<bool> ReadDocument(ConfigDistributor& distributor,
                                   const std::string& text, Instant now) {
  return Capture<bool>([&]() -> Result<bool> {
    auto read = distributor.OnPlatformDocument(text, now);
    if (!read) return read.error();
    return true;
  });
}

/// Simulates hosts, the links between them and the platform in virtual time.
class SimulatedFleet {
 public:
  struct Options {
    int hosts = 12;
    int domains = 3;
    std::uint64_t seed = 1;
    double loss = 0;       ///< Fraction of messages dropped.
    double duplicate = 0;  ///< Fraction delivered twice; reorders messages.
    double corrupt = 0;    ///< Fraction delivered with one byte changed.
    /// Decodes the encoded messages and applies their membership updates. Off
    /// for large fleets: messages are delivered as objects, the bytes only
    /// counted, and all hosts are considered usable.
    bool decode = true;
    ConfigDistributor::Init init;
  };
  struct Node {
    std::optional<ConfigDistributor>
        distributor;  ///< Empty while the process is down.
    std::optional<Membership> membership;
    Random random;
    int partition = 0;  ///< Nodes in different partitions are disconnected.
    bool platform_reachable = true;
    std::uint64_t generation = 0;  ///< Incremented at each start and stop.
    Version version;               ///< Highest version of this process so far.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
  };

  explicit SimulatedFleet(const Options& options)
      : options_(options),
        random_(options.seed),
        documents_(std::make_shared<SharedDocumentStore>()),
        nodes_(static_cast<std::size_t>(options.hosts)) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      names_.push_back("h" + std::to_string(i));
      index_[HostId::FromName(names_[i])] = i;
      nodes_[i].random.seed(options.seed * 1000003 + i);
    }
  }

  // Platform.

  /// Returns a valid document; `extra` is inserted into the top-level object.
  std::string Document(std::uint64_t version, const std::string& extra = "") {
    std::string domains;
    for (int d = 0; d < options_.domains; ++d) {
      domains +=
          (d == 0 ? "\"" : ",\"") + DomainName(d) + "\":{\"region\":\"r\"}";
    }
    std::string hosts;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      hosts += (i == 0 ? "\"" : ",\"") + names_[i] +
               "\":{\"failure_domain\":\"" + DomainName(DomainOf(i)) +
               "\",\"peer\":\"10.0." + std::to_string(i / 250) + "." +
               std::to_string(i % 250) + ":7\"}";
    }
    return "{\"version\":" + std::to_string(version) + extra +
           ",\"preset\":\"ordinary\",\"presets\":{\"ordinary\":"
           "{\"queue_ms\":50}},\"failure_domains\":{" +
           domains + "},\"hosts\":{" + hosts +
           "},\"services\":{},\"routes\":{},\"keys\":{},"
           "\"organisations\":{\"coopers\":{\"rate\":" +
           std::to_string(100 + version) + ",\"burst\":10}}}";
  }
  void Publish(std::uint64_t version) {
    PublishText(version, Document(version));
  }
  void PublishText(std::uint64_t version, std::string text) {
    platform_version = Version(version);
    platform_text = std::move(text);
    const auto watches = std::move(watches_);
    watches_.clear();
    for (const auto& [node, generation] : watches) {
      RespondToCall(node, generation);
    }
  }

  Version platform_version;  ///< Lower it to simulate a stale platform.
  std::string platform_text;
  bool platform_up = true;
  /// True: the platform responds to each call with its document, even if the
  /// version is not newer than the caller's. Simulates a stale replica.
  bool platform_ignores_version = false;

  // Processes.

  void StartAll() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
  }
  /// Starts a new process with up to `seeds` random hosts as seed peers.
  void Start(std::size_t node, int seeds = 3) {
    Node& n = nodes_[node];
    ConfigDistributor::Init init = options_.init;
    init.self = IdOf(node);
    init.failure_domain = FailureDomainId::FromName(DomainName(DomainOf(node)));
    init.documents = documents_;
    Membership::Init membership;
    membership.self = init.self;
    membership.incarnation = Incarnation(random_());
    n.membership.emplace(membership);
    auto distributor = Capture<ConfigDistributor>(
        [&] { return ConfigDistributor::Create(init); });
    n.distributor = std::move(distributor.value);
    n.version = Version();
    ++n.generation;
    for (int i = 0; i < seeds; ++i) {
      const std::size_t other = RandomBelow(nodes_.size());
      if (other != node) {
        n.membership->OnHello(IdOf(other), Incarnation(1), now_);
      }
    }
    Schedule(node, std::chrono::microseconds(RandomBelow(100000)),
             [this, node] { TickPeriodically(node); });
  }
  void Stop(std::size_t node) {
    nodes_[node].distributor.reset();
    ++nodes_[node].generation;
  }
  void RunFor(Duration duration) { RunUntil(now_ + duration); }
  void RunUntil(Instant end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      if (event.generation == nodes_[event.node].generation) event.run();
    }
    now_ = end;
  }
  /// Runs until all running processes have `version`. Returns the elapsed time,
  /// or nothing if `limit` was exceeded.
  std::optional<Duration> RunUntilAllHave(Version version, Duration limit) {
    const Instant start = now_;
    while (now_ - start < limit) {
      if (CountWithVersion(version) == CountUp()) return now_ - start;
      RunFor(std::chrono::milliseconds(10));
    }
    return std::nullopt;
  }

  std::size_t CountWithVersion(Version version) const {
    return Count([&](const Node& n) { return VersionOf(n) == version; });
  }
  std::size_t CountUp() const {
    return Count([](const Node&) { return true; });
  }
  static Version VersionOf(const Node& node) {
    const auto current = node.distributor->current();
    return current ? current->version : Version();
  }

  HostId IdOf(std::size_t node) const { return HostId::FromName(names_[node]); }
  int DomainOf(std::size_t node) const {
    return static_cast<int>(node) % options_.domains;
  }
  Instant now() const { return now_; }
  Node& node(std::size_t i) { return nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  Options& options() { return options_; }
  std::size_t RandomBelow(std::size_t end) { return random_() % end; }
  /// True if the version of any process ever decreased.
  bool version_decreased() const { return version_decreased_; }
  /// Number of calls to the platform in each second since the start.
  const std::vector<int>& calls() const { return calls_; }
  int PeakCalls(std::size_t from_second = 0) const {
    int peak = 0;
    for (std::size_t i = from_second; i < calls_.size(); ++i) {
      peak = std::max(peak, calls_[i]);
    }
    return peak;
  }
  std::size_t seconds() const {
    return static_cast<std::size_t>((now_ - kStart) / std::chrono::seconds(1));
  }

 private:
  static constexpr Instant kStart = Instant{} + std::chrono::hours(1);

  struct Event {
    Instant at;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t generation = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  static std::string DomainName(int domain) {
    return "d" + std::to_string(domain);
  }
  template <typename Predicate>
  std::size_t Count(Predicate predicate) const {
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(),
        [&](const Node& n) { return n.distributor && predicate(n); }));
  }
  bool RandomlyTrue(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  void Schedule(std::size_t node, Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++order_, node, nodes_[node].generation,
                  std::move(run)});
  }

  void TickPeriodically(std::size_t node) {
    Tick(node);
    CallPlatform(node);
    Schedule(node, std::chrono::milliseconds(100),
             [this, node] { TickPeriodically(node); });
  }
  void Tick(std::size_t node) {
    Node& n = nodes_[node];
    Send(node, n.distributor->Tick(*n.membership, now_, n.random));
  }
  /// Records whether the version decreased, and pushes a new version.
  void CheckVersion(std::size_t node) {
    Node& n = nodes_[node];
    const Version version = VersionOf(n);
    if (version < n.version) version_decreased_ = true;
    if (!(n.version < version)) return;
    n.version = version;
    Tick(node);
  }

  void Send(std::size_t from,
            const std::vector<ConfigDistributor::Outgoing>& messages) {
    for (const auto& [to, message] : messages) {
      const auto found = index_.find(to);
      if (found == index_.end()) continue;
      const std::size_t target = found->second;
      std::string bytes = Encode(message);
      nodes_[from].bytes_sent += bytes.size();
      if (!nodes_[target].distributor || RandomlyTrue(options_.loss) ||
          nodes_[from].partition != nodes_[target].partition) {
        continue;
      }
      nodes_[target].bytes_received += bytes.size();
      if (RandomlyTrue(options_.corrupt)) {
        char& byte = bytes[RandomBelow(bytes.size())];
        byte =
            static_cast<char>(byte ^ static_cast<char>(1 + RandomBelow(255)));
      }
      const int copies = RandomlyTrue(options_.duplicate) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        Deliver(from, target, bytes, message);
      }
    }
  }
  void Deliver(std::size_t from, std::size_t to, const std::string& bytes,
               const PeerMessage& message) {
    Duration delay = DomainOf(from) == DomainOf(to)
                         ? std::chrono::microseconds(500)
                         : std::chrono::milliseconds(8);
    if (options_.duplicate > 0) {
      delay += std::chrono::milliseconds(RandomBelow(200));
    }
    if (!options_.decode) {
      auto shared = std::make_shared<PeerMessage>(message);
      Schedule(to, delay, [=] { Receive(from, to, *shared); });
      return;
    }
    Schedule(to, delay, [=] {
      const auto decoded = Capture<PeerMessage>([&] { return Decode(bytes); });
      if (decoded.value) Receive(from, to, *decoded.value);
    });
  }
  void Receive(std::size_t from, std::size_t to, const PeerMessage& message) {
    Node& n = nodes_[to];
    const auto* digest = std::get_if<Digest>(&message);
    if (digest != nullptr && options_.decode) {
      n.membership->OnUpdates(digest->members, now_);
    }
    Send(to, n.distributor->OnMessage(IdOf(from), message, now_));
    CheckVersion(to);
  }

  void CallPlatform(std::size_t node) {
    Node& n = nodes_[node];
    const auto action =
        n.distributor->NextPlatformAction(*n.membership, now_, n.random);
    if (action == ConfigDistributor::PlatformAction::kNone) return;
    calls_.resize(std::max(calls_.size(), seconds() + 1));
    ++calls_[seconds()];
    const bool newer = VersionOf(n) < platform_version;
    const bool wait = action == ConfigDistributor::PlatformAction::kWatch &&
                      platform_up && n.platform_reachable && !newer &&
                      !platform_ignores_version;
    if (!wait) return RespondToCall(node, n.generation);
    const std::uint64_t generation = n.generation;
    watches_[node] = generation;
    const std::uint64_t number = ++watch_number_;
    watch_numbers_[node] = number;
    Schedule(node, options_.init.watch_wait, [=] {
      if (watch_numbers_[node] != number || watches_.erase(node) == 0) return;
      RespondToCall(node, generation);
    });
  }
  void RespondToCall(std::size_t node, std::uint64_t generation) {
    if (nodes_[node].generation != generation) return;
    Schedule(node, std::chrono::milliseconds(10), [this, node] {
      Node& n = nodes_[node];
      if (!platform_up || !n.platform_reachable) {
        return n.distributor->OnPlatformFailure(now_);
      }
      if (!platform_ignores_version && platform_version <= VersionOf(n)) {
        return n.distributor->OnPlatformUnchanged(now_);
      }
      if (platform_text.empty()) return n.distributor->OnPlatformFailure(now_);
      ReadDocument(*n.distributor, platform_text, now_);
      CheckVersion(node);
    });
  }

  Options options_;
  Random random_;
  std::shared_ptr<DocumentStore> documents_;
  std::vector<Node> nodes_;
  std::vector<std::string> names_;
  std::map<HostId, std::size_t> index_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  Instant now_ = kStart;
  std::map<std::size_t, std::uint64_t> watches_;  ///< Generation by node.
  std::map<std::size_t, std::uint64_t> watch_numbers_;
  std::uint64_t watch_number_ = 0;
  std::vector<int> calls_;
  bool version_decreased_ = false;
};

}  // namespace lentilcross
