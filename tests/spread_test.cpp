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

constexpr Duration kLongTime = seconds(60);

SpreadFleet::Options SmallOptions(std::uint64_t seed = 1) {
  SpreadFleet::Options options;
  options.seed = seed;
  return options;
}

/// Starts all hosts and waits until they have version 1.
void StartWithVersionOne(SpreadFleet& fleet) {
  fleet.Publish(1);
  fleet.StartAll();
  BOOST_REQUIRE(fleet.RunUntilAllHold(Version(1), kLongTime));
  fleet.RunFor(seconds(10));
}

/// One random step of the fault scenario. Returns the version published last.
std::uint64_t Disturb(SpreadFleet& fleet, std::uint64_t version) {
  const std::size_t node = fleet.Below(fleet.size());
  switch (fleet.Below(8)) {
    case 0:
      fleet.node(node).partition = static_cast<int>(fleet.Below(2));
      break;
    case 1:
      fleet.node(node).platform_reachable = fleet.Below(2) == 0;
      break;
    case 2:
      fleet.platform_up = fleet.Below(2) == 0;
      break;
    case 3:
      fleet.Stop(node);
      fleet.Start(node);
      break;
    case 4:  // a stale copy of the platform
      fleet.platform_ignores_after = true;
      fleet.PublishText(1, fleet.Document(1));
      break;
    case 5:
      fleet.PublishText(version + 100, "{\"version\": 1000, \"broken\": ");
      break;
    default:
      fleet.platform_ignores_after = false;
      fleet.Publish(++version);
  }
  return version;
}

}  // namespace

// Guards against a version that goes back or does not reach every process
// after loss, duplication, reordering and corruption of messages, partitions,
// a stale, faulty or absent platform, and restarts, in any combination.
BOOST_AUTO_TEST_CASE(versions_advance_and_converge) {
  BOOST_TEST(rc::check([](std::uint64_t seed) {
    auto options = SmallOptions(seed);
    options.loss = 0.2;
    options.duplicate = 0.2;
    options.corrupt = 0.05;
    SpreadFleet fleet(options);
    fleet.Publish(1);
    fleet.StartAll();
    std::uint64_t version = 1;
    for (int i = 0; i < 20; ++i) {
      version = Disturb(fleet, version);
      fleet.RunFor(milliseconds(fleet.Below(3000)));
      RC_ASSERT(!fleet.went_back());
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.node(i).partition = 0;
      fleet.node(i).platform_reachable = true;
    }
    fleet.platform_up = true;
    fleet.platform_ignores_after = false;
    fleet.options().loss = 0;
    fleet.Publish(++version);
    RC_ASSERT(fleet.RunUntilAllHold(Version(version), 2 * kLongTime));
    RC_ASSERT(!fleet.went_back());
  }));
}

// Guards against a new process that serves keyed routes with the outdated
// version of a stale platform although its peers know better.
BOOST_AUTO_TEST_CASE(a_new_process_asks_peers_first) {
  SpreadFleet fleet(SmallOptions());
  StartWithVersionOne(fleet);
  fleet.Publish(5);
  BOOST_REQUIRE(fleet.RunUntilAllHold(Version(5), kLongTime));
  fleet.platform_ignores_after = true;
  fleet.PublishText(1, fleet.Document(1));
  for (int round = 0; round < 20; ++round) {
    const std::size_t node = fleet.Below(fleet.size());
    fleet.Stop(node);
    fleet.Start(node);
    for (int step = 0; step < 400; ++step) {
      fleet.RunFor(milliseconds(10));
      const auto& spread = *fleet.node(node).spread;
      if (!spread.IsReady(fleet.now())) continue;
      BOOST_TEST(spread.current()->version.value() == 5);
    }
    BOOST_TEST(fleet.node(node).spread->IsReady(fleet.now()));
  }
}

// Guards against a process that never becomes ready because all peers or the
// platform are away, and against one that is ready without a configuration.
BOOST_AUTO_TEST_CASE(readiness_waits_for_a_bounded_time) {
  SpreadFleet fleet(SmallOptions());
  fleet.platform_up = false;
  fleet.Start(0, /*seeds=*/0);
  fleet.RunFor(seconds(10));
  Spread& spread = *fleet.node(0).spread;
  BOOST_TEST(!spread.IsReady(fleet.now()));
  BOOST_TEST(
      ReadDocument(spread, fleet.Document(1), fleet.now()).value.has_value());
  BOOST_TEST(spread.IsReady(fleet.now()));

  fleet.Start(1, /*seeds=*/0);
  fleet.RunFor(milliseconds(200));
  Spread& fresh = *fleet.node(1).spread;
  ReadDocument(fresh, fleet.Document(1), fleet.now());
  BOOST_TEST(!fresh.IsReady(fleet.now()));
  BOOST_TEST(fresh.IsReady(fleet.now() + seconds(3)));
}

// Guards against an invalid document that is applied, that hides the current
// one, that is logged at each read, or that makes readers call without pause.
BOOST_AUTO_TEST_CASE(invalid_document_is_reported_once) {
  SpreadFleet fleet(SmallOptions());
  StartWithVersionOne(fleet);
  const std::size_t from = fleet.seconds();
  const std::string bad = fleet.Document(2, ",\"extra\":1");
  fleet.PublishText(2, bad);
  fleet.RunFor(seconds(60));
  BOOST_TEST(fleet.CountHolding(Version(1)) == fleet.size());
  BOOST_TEST(fleet.PeakCalls(from) <= 40);
  std::uint64_t rejected = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    rejected += fleet.node(i).spread->stats().rejected;
  }
  BOOST_TEST(rejected >= 1);
  BOOST_TEST(rejected <= fleet.size());

  Spread& spread = *fleet.node(0).spread;
  const std::string worse = fleet.Document(3, ",\"extra\":2");
  BOOST_TEST(ReadDocument(spread, worse, fleet.now()).findings.list().size() ==
             1);
  BOOST_TEST(ReadDocument(spread, worse, fleet.now()).value.has_value());
  BOOST_TEST(spread.last_findings().list().front().location == "/extra");
  BOOST_TEST(spread.current()->version.value() == 1);
  ReadDocument(spread, fleet.Document(4), fleet.now());
  BOOST_TEST(spread.last_findings().empty());
  BOOST_TEST(spread.current()->version.value() == 4);
}

namespace {

/// Two processes without links of their own; the test carries messages.
struct Pair {
  Pair() : fleet(SmallOptions()) {
    fleet.Start(0, 0);
    fleet.Start(1, 0);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.node(i).partition = static_cast<int>(i);
      fleet.node(i).platform_reachable = false;
    }
    fleet.RunFor(milliseconds(100));
  }
  Spread& old() { return *fleet.node(0).spread; }
  Spread& fresh() { return *fleet.node(1).spread; }
  std::vector<Spread::Outgoing> ToOld(const PeerMessage& message) {
    return old().OnMessage(fleet.IdOf(1), message, fleet.now());
  }
  std::vector<Spread::Outgoing> ToFresh(const PeerMessage& message) {
    return fresh().OnMessage(fleet.IdOf(0), message, fleet.now());
  }
  void Publish(std::uint64_t version, const std::string& extra = "") {
    BOOST_REQUIRE(
        ReadDocument(old(), fleet.Document(version, extra), fleet.now()).value);
  }

  SpreadFleet fleet;
};

/// A document with many organisations, of more than one snapshot piece.
std::string LargeDocument(SpreadFleet& fleet, std::uint64_t version) {
  std::string text = fleet.Document(version);
  std::string more;
  for (int i = 0; i < 10000; ++i) {
    more += "\"o" + std::to_string(i) + "\":{\"rate\":1,\"burst\":1},";
  }
  const std::string place = "\"organisations\":{";
  return text.insert(text.find(place) + place.size(), more);
}

}  // namespace

// Guards against snapshot pieces that are lost, repeated, out of order,
// damaged, mixed from two versions or too large for a message.
BOOST_AUTO_TEST_CASE(snapshot_pieces_may_come_in_any_way) {
  Pair pair;
  BOOST_REQUIRE(
      ReadDocument(pair.old(), LargeDocument(pair.fleet, 3), pair.fleet.now())
          .value);
  auto pieces = pair.ToOld(ConfigRequest{});
  BOOST_REQUIRE(pieces.size() >= 3);
  for (const auto& piece : pieces) {
    BOOST_TEST(Encode(piece.message).size() <
               LENTILCROSS_CONFIG_MAX_PEER_MESSAGE / 8);
  }
  // Damaged: refused as a whole, nothing is applied.
  for (auto piece : pieces) {
    auto& snapshot = std::get<ConfigSnapshot>(piece.message);
    if (snapshot.piece == 1) snapshot.bytes[100] ^= 1;
    pair.ToFresh(piece.message);
  }
  BOOST_TEST(pair.fresh().current() == nullptr);
  BOOST_TEST(pair.fresh().stats().corrupt == 1);
  // Pieces of an older version in between, in reverse order and twice.
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

// Guards against a lost piece that blocks the next snapshot for ever.
BOOST_AUTO_TEST_CASE(an_abandoned_snapshot_is_replaced) {
  Pair pair;
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

// Guards against a delta that is applied to another version, applied twice,
// damaged, or that builds a huge document by copies.
BOOST_AUTO_TEST_CASE(deltas_apply_only_where_they_belong) {
  Pair pair;
  pair.Publish(1);
  ReadDocument(pair.fresh(), pair.fleet.Document(1), pair.fleet.now());
  pair.Publish(2);
  pair.Publish(3);
  Digest digest;
  digest.version = Version(1);
  const auto answers = pair.ToOld(digest);
  BOOST_REQUIRE(answers.size() == 1);
  const auto delta = std::get<ConfigDelta>(answers[0].message);
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

// Guards against a history of deltas without limit, and against a peer behind
// its end that gets nothing.
BOOST_AUTO_TEST_CASE(a_peer_far_behind_gets_a_snapshot) {
  Pair pair;
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

// Guards against a platform that is watched by all hosts or by none, by the
// same hosts for ever, or by every host of a domain that is cut off.
BOOST_AUTO_TEST_CASE(two_hosts_of_a_domain_watch) {
  auto options = SmallOptions();
  options.hosts = 60;
  SpreadFleet fleet(options);
  StartWithVersionOne(fleet);
  std::map<std::size_t, int> watched;
  for (std::uint64_t version = 2; version < 22; ++version) {
    fleet.Publish(version);
    fleet.RunFor(seconds(5));
    std::map<int, int> watches;
    std::vector<std::uint64_t> reads;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      reads.push_back(fleet.node(i).spread->stats().platform_reads);
    }
    fleet.RunFor(seconds(4));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet.node(i).spread->stats().platform_reads == reads[i]) continue;
      ++watches[fleet.DomainOf(i)];
      ++watched[i];
    }
    for (int domain = 0; domain < options.domains; ++domain) {
      BOOST_TEST(watches[domain] == 2);
    }
  }
  BOOST_TEST(watched.size() > 30);

  // Every host loses all others, so that each is the only usable one.
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

// Guards against a domain that hears of a version by chance, because the only
// host there that reads the platform is shut out from it.
BOOST_AUTO_TEST_CASE(domain_whose_reader_is_shut_out) {
  // Half of the time in which a version is in force. Readers need the rest.
  constexpr Duration kSpread = seconds(1);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    auto options = SmallOptions(seed);
    options.hosts = 24;
    options.domains = 6;
    options.init.readers_per_domain = 1;
    SpreadFleet fleet(options);
    StartWithVersionOne(fleet);
    const auto shut_out = static_cast<int>(seed) % options.domains;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.node(i).platform_reachable = fleet.DomainOf(i) != shut_out;
    }
    fleet.RunFor(seconds(5));
    fleet.Publish(2);
    BOOST_TEST(fleet.RunUntilAllHold(Version(2), kSpread).has_value(),
               "seed " << seed);
  }
}

// Guards against a fleet that gets no new version when all readers are gone.
BOOST_AUTO_TEST_CASE(other_hosts_read_when_all_readers_are_gone) {
  auto options = SmallOptions();
  options.hosts = 30;
  SpreadFleet fleet(options);
  StartWithVersionOne(fleet);
  std::vector<std::uint64_t> reads;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    reads.push_back(fleet.node(i).spread->stats().platform_reads);
  }
  fleet.RunFor(seconds(4));
  int stopped = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.node(i).spread->stats().platform_reads == reads[i]) continue;
    fleet.Stop(i);
    ++stopped;
  }
  BOOST_TEST(stopped == 6);
  fleet.Publish(2);
  const auto took = fleet.RunUntilAllHold(Version(2), kLongTime);
  BOOST_REQUIRE(took);
  BOOST_TEST((*took <= seconds(25)));
}

// Guards against a withdrawn key that works without limit in a part of the
// fleet that is cut off.
BOOST_AUTO_TEST_CASE(a_cut_off_process_becomes_stale) {
  auto options = SmallOptions();
  options.init.key_staleness_limit = seconds(30);
  SpreadFleet fleet(options);
  StartWithVersionOne(fleet);
  fleet.RunFor(seconds(60));
  const auto count_stale = [&fleet] {
    std::size_t stale = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet.node(i).spread->IsStale(fleet.now())) ++stale;
    }
    return stale;
  };
  BOOST_TEST(count_stale() == 0U);
  // Each failure domain alone, without the platform.
  fleet.platform_up = false;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.node(i).partition = fleet.DomainOf(i);
  }
  // The last contact with another domain was some seconds before.
  fleet.RunFor(seconds(10));
  BOOST_TEST(count_stale() == 0U);
  fleet.RunFor(seconds(40));
  BOOST_TEST(count_stale() == fleet.size());
  fleet.platform_up = true;
  fleet.RunFor(seconds(60));
  BOOST_TEST(count_stale() == 0U);
}

// Guards against settings that would make the schedule meaningless.
BOOST_AUTO_TEST_CASE(create_checks_its_settings) {
  Spread::Init init;
  init.watch_wait = init.confirmation_limit;
  init.push_fanout = 0;
  const auto made = Capture<Spread>([&] { return Spread::Create(init); });
  BOOST_TEST(!made.value.has_value());
  BOOST_TEST(made.findings.list().size() == 4);
}

}  // namespace lentilcross
