#include "lentilcross/spread.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "lentilcross/config.h"
#include "spread_fleet.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kConvergenceTimeout = seconds(60);

SimulatedFleet::Options SmallOptions(std::uint64_t seed = 1) {
  SimulatedFleet::Options options;
  options.seed = seed;
  return options;
}

/// Starts all hosts and runs until they have version 1.
void StartWithVersionOne(SimulatedFleet& fleet) {
  fleet.Publish(1);
  fleet.StartAll();
  BOOST_REQUIRE(fleet.RunUntilAllHave(Version(1), kConvergenceTimeout));
  fleet.RunFor(seconds(10));
}

/// Injects one random fault or publishes a version. Returns the last published
/// version.
std::uint64_t InjectFault(SimulatedFleet& fleet, std::uint64_t version) {
  const std::size_t node = fleet.RandomBelow(fleet.size());
  switch (fleet.RandomBelow(8)) {
    case 0:
      fleet.node(node).partition = static_cast<int>(fleet.RandomBelow(2));
      break;
    case 1:
      fleet.node(node).platform_reachable = fleet.RandomBelow(2) == 0;
      break;
    case 2:
      fleet.platform_up = fleet.RandomBelow(2) == 0;
      break;
    case 3:
      fleet.Stop(node);
      fleet.Start(node);
      break;
    case 4:  // stale replica of the platform
      fleet.platform_ignores_version = true;
      fleet.PublishText(1, fleet.Document(1));
      break;
    case 5:
      fleet.PublishText(version + 100, "{\"version\": 1000, \"broken\": ");
      break;
    default:
      fleet.platform_ignores_version = false;
      fleet.Publish(++version);
  }
  return version;
}

}  // namespace

// Guards against a version that decreases or does not reach every process after
// any combination of message loss, duplication, reordering and corruption,
// partitions, restarts, and a stale, faulty or unreachable platform.
BOOST_AUTO_TEST_CASE(versions_advance_and_converge) {
  BOOST_TEST(rc::check([](std::uint64_t seed) {
    auto options = SmallOptions(seed);
    options.loss = 0.2;
    options.duplicate = 0.2;
    options.corrupt = 0.05;
    SimulatedFleet fleet(options);
    fleet.Publish(1);
    fleet.StartAll();
    std::uint64_t version = 1;
    for (int i = 0; i < 20; ++i) {
      version = InjectFault(fleet, version);
      fleet.RunFor(milliseconds(fleet.RandomBelow(3000)));
      RC_ASSERT(!fleet.version_decreased());
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.node(i).partition = 0;
      fleet.node(i).platform_reachable = true;
    }
    fleet.platform_up = true;
    fleet.platform_ignores_version = false;
    fleet.options().loss = 0;
    fleet.Publish(++version);
    RC_ASSERT(fleet.RunUntilAllHave(Version(version), 2 * kConvergenceTimeout));
    RC_ASSERT(!fleet.version_decreased());
  }));
}

// Guards against a new process that serves keyed routes with an old version
// from a stale platform although its peers have a newer one.
BOOST_AUTO_TEST_CASE(a_new_process_asks_peers_first) {
  SimulatedFleet fleet(SmallOptions());
  StartWithVersionOne(fleet);
  fleet.Publish(5);
  BOOST_REQUIRE(fleet.RunUntilAllHave(Version(5), kConvergenceTimeout));
  fleet.platform_ignores_version = true;
  fleet.PublishText(1, fleet.Document(1));
  for (int round = 0; round < 20; ++round) {
    const std::size_t node = fleet.RandomBelow(fleet.size());
    fleet.Stop(node);
    fleet.Start(node);
    for (int step = 0; step < 400; ++step) {
      fleet.RunFor(milliseconds(10));
      const auto& distributor = *fleet.node(node).distributor;
      if (!distributor.IsReady(fleet.now())) continue;
      BOOST_TEST(distributor.current()->version.value() == 5);
    }
    BOOST_TEST(fleet.node(node).distributor->IsReady(fleet.now()));
  }
}

// Guards against a process that never becomes ready while all peers or the
// platform are unreachable, and one that is ready without a configuration.
BOOST_AUTO_TEST_CASE(readiness_waits_for_a_bounded_time) {
  SimulatedFleet fleet(SmallOptions());
  fleet.platform_up = false;
  fleet.Start(0, /*seeds=*/0);
  fleet.RunFor(seconds(10));
  ConfigDistributor& distributor = *fleet.node(0).distributor;
  BOOST_TEST(!distributor.IsReady(fleet.now()));
  BOOST_TEST(ReadDocument(distributor, fleet.Document(1), fleet.now())
                 .value.has_value());
  BOOST_TEST(distributor.IsReady(fleet.now()));

  fleet.Start(1, /*seeds=*/0);
  fleet.RunFor(milliseconds(200));
  ConfigDistributor& fresh = *fleet.node(1).distributor;
  ReadDocument(fresh, fleet.Document(1), fleet.now());
  BOOST_TEST(!fresh.IsReady(fleet.now()));
  BOOST_TEST(fresh.IsReady(fleet.now() + seconds(3)));
}

// Guards against an invalid document that is applied, replaces the current one,
// is reported at each read, or makes readers call the platform without a delay.
BOOST_AUTO_TEST_CASE(invalid_document_is_reported_once) {
  SimulatedFleet fleet(SmallOptions());
  StartWithVersionOne(fleet);
  const std::size_t from = fleet.seconds();
  const std::string bad = fleet.Document(2, ",\"extra\":1");
  fleet.PublishText(2, bad);
  fleet.RunFor(seconds(60));
  BOOST_TEST(fleet.CountWithVersion(Version(1)) == fleet.size());
  BOOST_TEST(fleet.PeakCalls(from) <= 40);
  std::uint64_t rejected = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    rejected += fleet.node(i).distributor->stats().rejected;
  }
  BOOST_TEST(rejected >= 1);
  BOOST_TEST(rejected <= fleet.size());

  ConfigDistributor& distributor = *fleet.node(0).distributor;
  const std::string worse = fleet.Document(3, ",\"extra\":2");
  BOOST_TEST(
      ReadDocument(distributor, worse, fleet.now()).findings.list().size() ==
      1);
  BOOST_TEST(ReadDocument(distributor, worse, fleet.now()).value.has_value());
  BOOST_TEST(distributor.last_findings().list().front().location == "/extra");
  BOOST_TEST(distributor.current()->version.value() == 1);
  ReadDocument(distributor, fleet.Document(4), fleet.now());
  BOOST_TEST(distributor.last_findings().empty());
  BOOST_TEST(distributor.current()->version.value() == 4);
}

namespace {

/// Two disconnected processes; the test delivers messages between them.
struct PeerPair {
  PeerPair() : fleet(SmallOptions()) {
    fleet.Start(0, 0);
    fleet.Start(1, 0);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.node(i).partition = static_cast<int>(i);
      fleet.node(i).platform_reachable = false;
    }
    fleet.RunFor(milliseconds(100));
  }
  ConfigDistributor& old() { return *fleet.node(0).distributor; }
  ConfigDistributor& fresh() { return *fleet.node(1).distributor; }
  std::vector<ConfigDistributor::Outgoing> ToOld(const PeerMessage& message) {
    return old().OnMessage(fleet.IdOf(1), message, fleet.now());
  }
  std::vector<ConfigDistributor::Outgoing> ToFresh(const PeerMessage& message) {
    return fresh().OnMessage(fleet.IdOf(0), message, fleet.now());
  }
  void Publish(std::uint64_t version, const std::string& extra = "") {
    BOOST_REQUIRE(
        ReadDocument(old(), fleet.Document(version, extra), fleet.now()).value);
  }

  SimulatedFleet fleet;
};

/// Returns a document large enough for several snapshot pieces.
std::string LargeDocument(SimulatedFleet& fleet, std::uint64_t version,
                          int count = 10000) {
  std::string text = fleet.Document(version);
  std::string organisations;
  for (int i = 0; i < count; ++i) {
    organisations += "\"o" + std::to_string(i) + "\":{\"rate\":1,\"burst\":1},";
  }
  const std::string prefix = "\"organisations\":{";
  return text.insert(text.find(prefix) + prefix.size(), organisations);
}

/// More than the platform takes as text.
void PublishManyOrganisations(PeerPair& pair, std::uint64_t version) {
  const auto document =
      nlohmann::json::parse(LargeDocument(pair.fleet, version, 60000));
  BOOST_REQUIRE(Capture<bool>([&]() -> Result<bool> {
                  auto read = pair.old().OnParsedPlatformDocument(
                      document, pair.fleet.now());
                  if (!read) return read.error();
                  return true;
                }).value);
}

}  // namespace

// Guards against snapshots that fail to assemble from repeated or reordered
// pieces, that mix two versions or contain a corrupt piece, and against pieces
// that are too large for a message.
BOOST_AUTO_TEST_CASE(snapshot_pieces_arrive_reordered_and_repeated) {
  PeerPair pair;
  BOOST_REQUIRE(
      ReadDocument(pair.old(), LargeDocument(pair.fleet, 3), pair.fleet.now())
          .value);
  auto pieces = pair.ToOld(ConfigRequest{});
  BOOST_REQUIRE(pieces.size() >= 3);
  for (const auto& piece : pieces) {
    BOOST_TEST(Encode(piece.message).size() <
               LENTILCROSS_CONFIG_MAX_PEER_MESSAGE / 8);
  }
  // With a corrupt piece, the whole snapshot is rejected.
  for (auto piece : pieces) {
    auto& snapshot = std::get<ConfigSnapshot>(piece.message);
    if (snapshot.piece == 1) snapshot.bytes[100] ^= 1;
    pair.ToFresh(piece.message);
  }
  BOOST_TEST(pair.fresh().current() == nullptr);
  BOOST_TEST(pair.fresh().stats().corrupt == 1);
  // Deliver in reverse order and twice, interleaved with an older version.
  ConfigSnapshot older = std::get<ConfigSnapshot>(pieces[0].message);
  older.version = Version(2);
  older.checksum = 7;
  for (auto piece = pieces.rbegin(); piece != pieces.rend(); ++piece) {
    BOOST_TEST(pair.fresh().current() == nullptr);
    pair.ToFresh(piece->message);
    pair.ToFresh(piece->message);
    pair.ToFresh(older);
  }
  BOOST_REQUIRE(pair.fresh().current());
  BOOST_TEST(pair.fresh().current()->version.value() == 3);
  for (const auto& piece : pieces) pair.ToFresh(piece.message);
  BOOST_TEST(pair.fresh().stats().applied == 1);
}

// Guards against a host that holds a whole large document for each peer that
// asks, and against a snapshot that ends with its first pieces.
BOOST_AUTO_TEST_CASE(large_snapshots_are_sent_in_windows) {
  PeerPair pair;
  PublishManyOrganisations(pair, 3);
  PeerMessage request = ConfigRequest{};
  int windows = 0;
  while (!pair.fresh().current()) {
    const auto pieces = pair.ToOld(request);
    BOOST_REQUIRE(!pieces.empty());
    std::size_t bytes = 0;
    std::vector<ConfigDistributor::Outgoing> replies;
    for (const auto& piece : pieces) {
      bytes += Encode(piece.message).size();
      for (auto& reply : pair.ToFresh(piece.message)) replies.push_back(reply);
    }
    BOOST_TEST(bytes < 2 * LENTILCROSS_CONFIG_MAX_PEER_MESSAGE);
    BOOST_REQUIRE(replies.size() == 1);
    request = replies.front().message;
    ++windows;
  }
  BOOST_TEST(windows > 1);
  BOOST_TEST(pair.fresh().current()->version.value() == 3);
}

// Guards against a snapshot of which no more is requested when the version
// changes while it is sent.
BOOST_AUTO_TEST_CASE(version_changes_between_windows_of_a_snapshot) {
  PeerPair pair;
  PublishManyOrganisations(pair, 3);
  std::vector<PeerMessage> requests = {ConfigRequest{}};
  for (int round = 0; !pair.fresh().current(); ++round) {
    BOOST_REQUIRE(round < 20);
    BOOST_REQUIRE(!requests.empty());
    const PeerMessage request = requests.front();
    requests.clear();
    for (const auto& piece : pair.ToOld(request)) {
      for (auto& reply : pair.ToFresh(piece.message)) {
        requests.push_back(reply.message);
      }
    }
    if (round == 0) PublishManyOrganisations(pair, 4);
  }
  BOOST_TEST(pair.fresh().current()->version.value() == 4);
}

// Guards against an incomplete snapshot that blocks all later ones.
BOOST_AUTO_TEST_CASE(an_abandoned_snapshot_is_replaced) {
  PeerPair pair;
  ConfigSnapshot lost;
  lost.version = Version(9);
  lost.pieces = 2;
  pair.ToFresh(lost);
  pair.fleet.RunFor(seconds(2));
  pair.Publish(3);
  for (const auto& piece : pair.ToOld(ConfigRequest{})) {
    pair.ToFresh(piece.message);
  }
  BOOST_REQUIRE(pair.fresh().current());
  BOOST_TEST(pair.fresh().current()->version.value() == 3);
}

// Guards against a delta that is applied to the wrong version, applied twice,
// corrupt, or builds a huge document with copy operations.
BOOST_AUTO_TEST_CASE(deltas_apply_only_to_their_base_version) {
  PeerPair pair;
  pair.Publish(1);
  ReadDocument(pair.fresh(), pair.fleet.Document(1), pair.fleet.now());
  pair.Publish(2);
  pair.Publish(3);
  Digest digest;
  digest.version = Version(1);
  const auto replies = pair.ToOld(digest);
  BOOST_REQUIRE(replies.size() == 1);
  const auto delta = std::get<ConfigDelta>(replies[0].message);
  BOOST_TEST(delta.from.value() == 1);
  BOOST_TEST(delta.to.value() == 3);

  auto damaged = delta;
  damaged.entries.back() ^= 1;
  const auto retry = pair.ToFresh(damaged);
  BOOST_TEST(pair.fresh().current()->version.value() == 1);
  BOOST_REQUIRE(retry.size() == 1);
  BOOST_TEST(std::get<ConfigRequest>(retry[0].message).have.value() == 0);
  auto copies = delta;
  const nlohmann::json copy = {{"op", "copy"}, {"from", ""}, {"path", "/x"}};
  copies.entries.clear();
  nlohmann::json::to_cbor(nlohmann::json::array({copy}), copies.entries);
  pair.ToFresh(copies);
  BOOST_TEST(pair.fresh().current()->version.value() == 1);
  auto elsewhere = delta;
  elsewhere.from = Version(2);
  pair.ToFresh(elsewhere);
  BOOST_TEST(pair.fresh().current()->version.value() == 1);

  pair.ToFresh(delta);
  BOOST_TEST(pair.fresh().current()->version.value() == 3);
  pair.ToFresh(delta);
  BOOST_TEST(pair.fresh().stats().applied == 2);
  BOOST_TEST(pair.fresh().stats().ignored_older == 1);
}

// Guards against a process that ends because a faulty peer sends it a delta to
// the configuration that it does not have yet.
BOOST_AUTO_TEST_CASE(delta_without_a_base_is_replaced_by_a_snapshot) {
  PeerPair pair;
  pair.Publish(1);
  ConfigDelta delta;
  delta.to = Version(1);
  nlohmann::json::to_cbor(nlohmann::json::array(), delta.entries);
  const auto replies = pair.ToFresh(delta);
  BOOST_TEST(pair.fresh().current() == nullptr);
  BOOST_REQUIRE(replies.size() == 1);
  BOOST_TEST(!std::get<ConfigRequest>(replies[0].message).have.valid());
}

// Guards against an unbounded delta history, and against a peer that is older
// than the history and gets no reply.
BOOST_AUTO_TEST_CASE(a_peer_far_behind_gets_a_snapshot) {
  PeerPair pair;
  constexpr std::uint64_t kLast = LENTILCROSS_CONFIG_KEPT_DELTAS + 10;
  for (std::uint64_t v = 1; v <= kLast; ++v) pair.Publish(v);
  const auto kept = pair.ToOld(
      ConfigRequest{Version(kLast - LENTILCROSS_CONFIG_KEPT_DELTAS)});
  BOOST_REQUIRE(kept.size() == 1);
  BOOST_TEST(std::holds_alternative<ConfigDelta>(kept[0].message));
  const auto older = pair.ToOld(
      ConfigRequest{Version(kLast - LENTILCROSS_CONFIG_KEPT_DELTAS - 1)});
  BOOST_TEST(std::holds_alternative<ConfigSnapshot>(older[0].message));
  BOOST_TEST(pair.ToOld(ConfigRequest{Version(kLast)}).empty());
}

// Guards against a platform that is watched by all hosts or none, always by the
// same hosts, or by every host that is partitioned from all others.
BOOST_AUTO_TEST_CASE(two_hosts_of_a_domain_watch) {
  auto options = SmallOptions();
  options.hosts = 60;
  SimulatedFleet fleet(options);
  StartWithVersionOne(fleet);
  std::map<std::size_t, int> watched;
  for (std::uint64_t version = 2; version < 22; ++version) {
    fleet.Publish(version);
    fleet.RunFor(seconds(5));
    std::map<int, int> watches;
    std::vector<std::uint64_t> reads;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      reads.push_back(fleet.node(i).distributor->stats().platform_reads);
    }
    fleet.RunFor(seconds(4));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet.node(i).distributor->stats().platform_reads == reads[i]) {
        continue;
      }
      ++watches[fleet.DomainOf(i)];
      ++watched[i];
    }
    for (int domain = 0; domain < options.domains; ++domain) {
      BOOST_TEST(watches[domain] == 2);
    }
  }
  BOOST_TEST(watched.size() > 30);

  // Partition every host from all others, so that it sees no other usable one.
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.node(i).partition = static_cast<int>(i);
    for (std::size_t j = 0; j < fleet.size(); ++j) {
      auto& membership = *fleet.node(i).membership;
      membership.OnHello(fleet.IdOf(j), Incarnation(1), fleet.now());
      membership.OnLinkDead(fleet.IdOf(j), fleet.now());
    }
  }
  const std::size_t from = fleet.seconds() + 1;
  fleet.RunFor(seconds(8));
  BOOST_TEST(fleet.PeakCalls(from) <= 3 * 4);
}

// Guards against a failure domain that gets a version late, only by random
// gossip, because its only reader cannot reach the platform.
BOOST_AUTO_TEST_CASE(domain_whose_reader_cannot_reach_the_platform) {
  // Half of the time in which a version must be in force; readers need the
  // rest.
  constexpr Duration kMaxDistributionTime = seconds(1);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    auto options = SmallOptions(seed);
    options.hosts = 24;
    options.domains = 6;
    options.init.readers_per_domain = 1;
    SimulatedFleet fleet(options);
    StartWithVersionOne(fleet);
    const auto cut_off_domain = static_cast<int>(seed) % options.domains;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.node(i).platform_reachable = fleet.DomainOf(i) != cut_off_domain;
    }
    fleet.RunFor(seconds(5));
    fleet.Publish(2);
    BOOST_TEST(
        fleet.RunUntilAllHave(Version(2), kMaxDistributionTime).has_value(),
        "seed " << seed);
  }
}

// Guards against a version that is late in the only failure domain because the
// one host that watches the platform is cut off from it, stopped or frozen.
BOOST_AUTO_TEST_CASE(version_while_the_only_reader_is_cut_off) {
  constexpr Duration kMaxDistributionTime = seconds(2);
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    auto options = SmallOptions(seed);
    options.hosts = 4 + static_cast<int>(seed % 9);
    options.domains = 1;
    options.init.readers_per_domain = 1;
    options.init.watch_wait = milliseconds(600);
    options.init.digest_interval = milliseconds(500);
    options.init.takeover_after = milliseconds(1100);
    SimulatedFleet fleet(options);
    StartWithVersionOne(fleet);
    fleet.RunFor(seconds(5) + milliseconds(37 * seed));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const auto& node = fleet.node(i);
      if (node.distributor->RoleOf(*node.membership) != ReaderRole::kReader) {
        continue;
      }
      // A frozen host is gone for its peers, without a word of farewell.
      fleet.Stop(i);
    }
    BOOST_TEST(fleet.CountUp() + 1 == fleet.size());
    fleet.Publish(2);
    BOOST_TEST(
        fleet.RunUntilAllHave(Version(2), kMaxDistributionTime).has_value(),
        "seed " << seed);
  }
}

// Guards against standbys that watch the platform while readers confirm.
BOOST_AUTO_TEST_CASE(standbys_only_watch_in_place_of_a_reader) {
  auto options = SmallOptions();
  options.hosts = 12;
  options.domains = 1;
  options.init.readers_per_domain = 1;
  options.init.watch_wait = milliseconds(600);
  options.init.digest_interval = milliseconds(500);
  options.init.takeover_after = milliseconds(1100);
  SimulatedFleet fleet(options);
  StartWithVersionOne(fleet);
  for (std::uint64_t version = 2; version < 12; ++version) {
    fleet.Publish(version);
    fleet.RunFor(milliseconds(1700));
  }
  fleet.RunFor(seconds(6));
  std::vector<std::uint64_t> reads;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    reads.push_back(fleet.node(i).distributor->stats().platform_reads);
  }
  fleet.RunFor(seconds(10));
  int watching = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const auto now = fleet.node(i).distributor->stats().platform_reads;
    watching += now == reads[i] ? 0 : 1;
  }
  BOOST_TEST(watching == 1);
}

// Guards against a fleet that gets no new version after all readers stopped.
BOOST_AUTO_TEST_CASE(other_hosts_read_when_all_readers_stopped) {
  auto options = SmallOptions();
  options.hosts = 30;
  SimulatedFleet fleet(options);
  StartWithVersionOne(fleet);
  std::vector<std::uint64_t> reads;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    reads.push_back(fleet.node(i).distributor->stats().platform_reads);
  }
  fleet.RunFor(seconds(4));
  int stopped = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.node(i).distributor->stats().platform_reads == reads[i]) continue;
    fleet.Stop(i);
    ++stopped;
  }
  BOOST_TEST(stopped == 6);
  fleet.Publish(2);
  const auto took = fleet.RunUntilAllHave(Version(2), kConvergenceTimeout);
  BOOST_REQUIRE(took);
  BOOST_TEST((*took <= seconds(25)));
}

// Guards against a withdrawn key that stays valid without limit in a
// partitioned part of the fleet.
BOOST_AUTO_TEST_CASE(a_partitioned_process_becomes_stale) {
  auto options = SmallOptions();
  options.init.key_staleness_limit = seconds(30);
  SimulatedFleet fleet(options);
  StartWithVersionOne(fleet);
  fleet.RunFor(seconds(60));
  const auto count_stale = [&fleet] {
    std::size_t stale = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet.node(i).distributor->IsStale(fleet.now())) ++stale;
    }
    return stale;
  };
  BOOST_TEST(count_stale() == 0U);
  // Partition each failure domain, with the platform down.
  fleet.platform_up = false;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.node(i).partition = fleet.DomainOf(i);
  }
  // The last contact with another domain was up to some seconds earlier.
  fleet.RunFor(seconds(10));
  BOOST_TEST(count_stale() == 0U);
  fleet.RunFor(seconds(40));
  BOOST_TEST(count_stale() == fleet.size());
  fleet.platform_up = true;
  fleet.RunFor(seconds(60));
  BOOST_TEST(count_stale() == 0U);
}

// Guards against settings with which the schedule cannot work.
BOOST_AUTO_TEST_CASE(create_rejects_invalid_settings) {
  ConfigDistributor::Init init;
  init.watch_wait = init.confirmation_limit;
  init.push_fanout = 0;
  const auto made = Capture<ConfigDistributor>(
      [&] { return ConfigDistributor::Create(init); });
  BOOST_TEST(!made.value.has_value());
  BOOST_TEST(made.findings.list().size() == 4);
}

}  // namespace lentilcross
