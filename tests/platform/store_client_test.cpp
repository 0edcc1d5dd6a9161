#include "store_client.h"

#include <boost/test/unit_test.hpp>

#include "lentilcross/configuration.h"
#include "lentilcross/evacuation.h"
#include "lentilcross/registry.h"
#include "lentilcross/store_revision.h"
#include "platform/documents.h"
#include "platform/fake_store.h"

namespace lentilcross::platform {
namespace {

using std::chrono::milliseconds;
using testing::FakeStore;
using testing::kPatience;
using testing::MakeOperatorConfiguration;
using testing::MakeRegistration;

/// A client with its hooks, run by the test.
struct Setup {
  Setup() {
    StoreClient::Init init;
    init.store = store.endpoint();
    init.domains = {{"zone-a", "east"}};
    init.peer_port = 8543;
    init.evacuations = true;
    init.watch_wait = milliseconds(200);
    init.timeout = milliseconds(300);
    PlatformSource::Hooks hooks;
    hooks.on_document = [this](const PlatformSource::Document& document,
                               const std::string&, Instant) {
      documents.push_back(std::get<nlohmann::json>(document).dump());
    };
    hooks.on_unchanged = [this](Instant) { ++unchanged; };
    hooks.on_refused = [this](Version version, const Findings& findings,
                              const std::string&, Instant) {
      refused.push_back(version);
      BOOST_TEST(!findings.empty());
    };
    hooks.on_failure = [this](const std::string&) { ++failures; };
    hooks.on_registry = [this](const Fleet& whole) {
      registry.OnSnapshot(whole, std::chrono::steady_clock::now());
    };
    hooks.on_registry_changes =
        [this](std::uint64_t to, const std::vector<RegistryChange>& changes) {
          registry.OnChanges(to, changes, std::chrono::steady_clock::now());
        };
    hooks.on_evacuations = [this](const EvacuationNews& news) {
      evacuations.OnPlatform(news, std::chrono::steady_clock::now());
    };
    hooks.on_event = [this](const std::string& event, const std::string&) {
      events.push_back(event);
    };
    client = std::make_unique<StoreClient>(io, init, std::move(hooks));
  }

  bool RunUntil(const std::function<bool()>& fits) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!fits() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_for(milliseconds(5));
      client->FollowRegistry(true, registry.revision());
    }
    return fits();
  }
  void RunFor(Duration time) {
    const auto end = std::chrono::steady_clock::now() + time;
    RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
  }
  bool Knows(const std::string& name) const {
    return registry.fleet().targets.count(name) != 0;
  }
  bool Saw(const std::string& event) const {
    return std::find(events.begin(), events.end(), event) != events.end();
  }
  void Register(const std::string& name, const std::string& host) {
    store.Put("servers/" + name,
              MakeRegistration("stock", host + ":8547").dump());
  }

  FakeStore store;
  boost::asio::io_context io;
  std::vector<std::string> documents;
  std::vector<std::string> events;
  std::vector<Version> refused;
  int unchanged = 0;
  int failures = 0;
  Registry registry{Registry::Init{}};
  EvacuationTable evacuations{EvacuationTable::Init{}};
  std::unique_ptr<StoreClient> client;
};

/// A client that also watches the configuration, as a reader does.
struct Reader : Setup {
  Reader() {
    store.SetEra(1);
    store.Put("op/config", MakeOperatorConfiguration(3).dump());
    Register("a", "10.0.0.1");
  }
  bool RunWatching(const std::function<bool()>& fits) {
    return RunUntil([&] {
      if (!client->reading()) {
        client->Read(documents.empty() ? Version() : Version(3),
                     documents.empty() ? Duration::zero() : milliseconds(200));
      }
      return fits();
    });
  }
  bool HasVersion(int version) const {
    const std::string text = "\"version\":" + std::to_string(version) + "}";
    return std::any_of(documents.begin(), documents.end(),
                       [&](const std::string& document) {
                         return document.find(text) != std::string::npos;
                       });
  }
};

// Guards against a daemon that starts before the first configuration is
// published and then learns of it only after a backoff.
BOOST_AUTO_TEST_CASE(first_configuration_is_waited_for) {
  Setup setup;
  setup.client->Read(Version(), Duration::zero());
  setup.RunFor(milliseconds(50));
  setup.store.Put("op/config", MakeOperatorConfiguration(3).dump());
  BOOST_TEST(setup.RunUntil([&] { return !setup.documents.empty(); }));
  BOOST_TEST(setup.documents[0].find("\"version\":3") != std::string::npos);
  BOOST_TEST(setup.failures == 0);
}

BOOST_AUTO_TEST_CASE(watch_brings_the_next_version) {
  Setup setup;
  setup.store.Put("op/config", MakeOperatorConfiguration(3).dump());
  setup.client->Read(Version(), Duration::zero());
  BOOST_REQUIRE(setup.RunUntil([&] { return setup.documents.size() == 1; }));
  setup.client->Read(Version(3), milliseconds(200));
  BOOST_TEST(setup.RunUntil([&] { return setup.unchanged == 1; }));
  setup.client->Read(Version(3), milliseconds(200));
  setup.store.Put("op/config", MakeOperatorConfiguration(5).dump());
  BOOST_TEST(setup.RunUntil([&] { return setup.documents.size() == 2; }));
  BOOST_TEST(setup.documents[1].find("\"version\":5") != std::string::npos);
}

// Guards against a change that is missed because the history of the watch is
// gone.
BOOST_AUTO_TEST_CASE(lost_history_is_settled_by_a_new_read) {
  Setup setup;
  setup.store.Put("op/config", MakeOperatorConfiguration(3).dump());
  setup.client->Read(Version(), Duration::zero());
  BOOST_REQUIRE(setup.RunUntil([&] { return setup.documents.size() == 1; }));
  setup.store.Put("op/config", MakeOperatorConfiguration(4).dump());
  setup.store.Compact();
  setup.client->Read(Version(3), milliseconds(200));
  BOOST_TEST(setup.RunUntil([&] { return setup.failures == 1; }));
  setup.client->Read(Version(3), milliseconds(200));
  BOOST_TEST(setup.RunUntil([&] { return setup.documents.size() == 2; }));
}

// Guards against an unusable configuration that is taken for no change.
BOOST_AUTO_TEST_CASE(unusable_configuration_is_reported) {
  Setup setup;
  setup.store.Put("op/config", R"({"version": "r4", "services": 5})");
  setup.client->Read(Version(), Duration::zero());
  BOOST_REQUIRE(setup.RunUntil([&] { return setup.refused.size() == 1; }));
  BOOST_TEST((setup.refused[0] == Version(4)));
  BOOST_TEST(setup.documents.empty());
  BOOST_TEST(setup.unchanged == 0);
  // It is translated once, and a version that cannot be read at all is no less
  // a refusal.
  setup.client->Read(Version(3), Duration::zero());
  BOOST_TEST(setup.RunUntil([&] { return !setup.client->reading(); }));
  BOOST_TEST(setup.refused.size() == 1U);
  setup.store.Put("op/config", R"({"version": "r5", "serv)");
  setup.client->Read(Version(3), milliseconds(200));
  BOOST_REQUIRE(setup.RunUntil([&] { return setup.refused.size() == 2; }));
  BOOST_TEST(!setup.refused[1].valid());
  setup.store.Put("op/config", MakeOperatorConfiguration(6).dump());
  setup.client->Read(Version(3), milliseconds(200));
  BOOST_TEST(setup.RunUntil([&] { return setup.documents.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(registrations_are_read_in_pages_and_watched) {
  Setup setup;
  setup.store.SetPage(2);
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    setup.Register(name, "10.0.0." + std::to_string(1 + name[0] - 'a'));
  }
  BOOST_TEST(setup.RunUntil(
      [&] { return setup.registry.fleet().targets.size() == 5; }));
  setup.Register("f", "10.0.0.6");
  BOOST_TEST(setup.RunUntil([&] { return setup.Knows("f"); }));
  setup.store.Delete("servers/a");
  BOOST_TEST(setup.RunUntil([&] { return !setup.Knows("a"); }));
  BOOST_TEST(setup.registry.fleet().targets.size() == 5U);
}

// Guards against a forged entry that names a target or costs the others
// theirs.
BOOST_AUTO_TEST_CASE(forged_registrations_leave_the_others_alone) {
  Setup setup;
  setup.Register("a", "10.0.0.1");
  setup.store.Put("servers/forged-1", "no json");
  setup.store.Put("servers/forged-2", R"({"address": 5})");
  setup.Register("b", "10.0.0.2");
  BOOST_TEST(setup.RunUntil([&] { return setup.Knows("b"); }));
  BOOST_TEST(setup.Knows("a"));
  BOOST_TEST(setup.registry.fleet().targets.size() == 2U);
  BOOST_TEST(setup.Saw("configuration-registration-unusable"));
}

// Guards against targets that are dropped while the store is away, and against
// changes that are missed when it is back, for each way to be away.
BOOST_AUTO_TEST_CASE(outage_keeps_targets_and_catches_up) {
  for (const auto fault :
       {FakeStore::Fault::kUnavailable, FakeStore::Fault::kThrottled,
        FakeStore::Fault::kLost, FakeStore::Fault::kSilent}) {
    Setup setup;
    setup.Register("a", "10.0.0.1");
    BOOST_REQUIRE(setup.RunUntil([&] { return setup.Knows("a"); }));
    setup.store.SetFault(fault);
    setup.store.CutWatches();
    BOOST_TEST(
        setup.RunUntil([&] { return setup.Saw("configuration-store-lost"); }));
    BOOST_TEST(setup.Knows("a"));
    setup.Register("b", "10.0.0.2");
    setup.store.SetFault(FakeStore::Fault::kNone);
    BOOST_TEST(setup.RunUntil([&] { return setup.Knows("b"); }));
    BOOST_TEST(setup.Knows("a"));
    BOOST_TEST(setup.Saw("configuration-store-regained"));
  }
}

// Guards against an outage that is declared because one watch was cut, after
// which a target that left would be kept.
BOOST_AUTO_TEST_CASE(one_cut_watch_is_no_outage) {
  Setup setup;
  setup.Register("a", "10.0.0.1");
  BOOST_REQUIRE(setup.RunUntil([&] { return setup.Knows("a"); }));
  setup.store.CutWatches();
  setup.store.Delete("servers/a");
  BOOST_TEST(setup.RunUntil([&] { return !setup.Knows("a"); }));
  BOOST_TEST(!setup.Saw("configuration-store-lost"));
}

// Guards against calls without a pause while the store refuses them.
BOOST_AUTO_TEST_CASE(failed_calls_back_off) {
  Setup setup;
  setup.store.SetFault(FakeStore::Fault::kUnavailable);
  setup.RunFor(std::chrono::seconds(2));
  // Pauses of at least 50, 100, 200, 400 and 500 ms.
  BOOST_TEST(setup.store.calls() <= 8U);
  BOOST_TEST(setup.store.calls() >= 2U);
}

// Guards against an evacuation that is missed, and against one of an unknown
// failure domain that has an effect or costs the others theirs.
BOOST_FIXTURE_TEST_CASE(evacuations_come_with_the_configuration, Reader) {
  store.Put("op/evacuate/nowhere", "{}");
  store.Put("op/evacuate/zone-a", "{}");
  BOOST_TEST(RunWatching([&] { return evacuations.IsActive("zone-a"); }));
  BOOST_TEST(Saw("configuration-evacuation-unusable"));
  BOOST_TEST(evacuations.active().size() == 1U);
  BOOST_TEST(HasVersion(3));
  store.Delete("op/evacuate/zone-a");
  BOOST_TEST(RunWatching([&] { return !evacuations.IsActive("zone-a"); }));
  store.Put("op/evacuate/zone-a", "no json");
  BOOST_TEST(RunWatching([&] { return evacuations.IsActive("zone-a"); }));
}

// Guards against an evacuation that is never read because the page that it
// would be in is full, as with a large configuration.
BOOST_AUTO_TEST_CASE(evacuations_come_in_later_pages) {
  Setup setup;
  setup.store.SetPage(1);
  setup.store.Put("op/config", MakeOperatorConfiguration(3).dump());
  setup.store.Put("op/evacuate/zone-a", "{}");
  setup.client->Read(Version(), Duration::zero());
  BOOST_TEST(setup.RunUntil([&] { return !setup.documents.empty(); }));
  BOOST_TEST(setup.evacuations.IsActive("zone-a"));
  BOOST_TEST(!setup.client->reading());
}

// Guards against an evacuation that stays in force because its end fell into a
// history that is gone.
BOOST_FIXTURE_TEST_CASE(evacuation_that_ended_unseen_is_taken_back, Reader) {
  store.Put("op/evacuate/zone-a", "{}");
  BOOST_TEST(RunWatching([&] { return evacuations.IsActive("zone-a"); }));
  store.Delete("op/evacuate/zone-a");
  store.Compact();
  BOOST_TEST(RunWatching([&] { return !evacuations.IsActive("zone-a"); }));
}

// Guards against changes that are missed for good after the store came back
// from an older copy: revisions are given out again, so that neither a watch
// nor a comparison of revisions notices.
BOOST_FIXTURE_TEST_CASE(changes_after_a_restore_are_seen, Reader) {
  store.Backup();
  store.Put("op/config", MakeOperatorConfiguration(4).dump());
  Register("b", "10.0.0.2");
  BOOST_TEST(RunWatching([&] { return HasVersion(4) && Knows("b"); }));
  store.RestoreBackup();
  // The same revisions as before the restore, with other contents.
  store.Put("op/config", MakeOperatorConfiguration(5).dump());
  Register("c", "10.0.0.3");
  BOOST_TEST(RunWatching([&] { return HasVersion(5) && Knows("c"); }));
  BOOST_TEST(Knows("a"));
  BOOST_TEST(Saw("configuration-store-restored"));
  BOOST_TEST(EpochOf(registry.revision()) == 2U);
}

// Guards against a mixture of pages from before and after a restore, and
// against a restore right before any call of a client that starts.
BOOST_AUTO_TEST_CASE(restore_at_each_call_of_a_start) {
  for (int call = 0; call < 8; ++call) {
    Reader setup;
    setup.store.SetPage(1);
    setup.store.Backup();
    for (const char* name : {"b", "c", "d"}) {
      setup.Register(name, "10.0.0." + std::to_string(1 + name[0] - 'a'));
    }
    std::function<void()> count_down;
    int left = call;
    count_down = [&] {
      if (left-- > 0) {
        setup.store.OnNextCall(count_down);
      } else {
        setup.store.RestoreBackup();
        setup.store.Put("servers/e",
                        MakeRegistration("stock", "10.0.0.5:8547").dump());
      }
    };
    setup.store.OnNextCall(count_down);
    BOOST_TEST(setup.RunWatching([&] { return setup.Knows("e"); }),
               "restored before call " << call);
    BOOST_TEST(setup.Knows("a"));
  }
}

// Guards against an answer of an older copy of the store that is followed after
// peers told of a newer one.
BOOST_FIXTURE_TEST_CASE(older_era_is_not_followed, Reader) {
  BOOST_TEST(RunWatching([&] { return Knows("a"); }));
  store.SetEra(3);
  BOOST_TEST(RunWatching([&] { return EpochOf(registry.revision()) == 3U; }));
  const auto known = registry.revision();
  store.SetEra(2);
  Register("old", "10.0.0.9");
  RunFor(milliseconds(600));
  BOOST_TEST(registry.revision() == known);
  BOOST_TEST(!Knows("old"));
}

}  // namespace
}  // namespace lentilcross::platform
