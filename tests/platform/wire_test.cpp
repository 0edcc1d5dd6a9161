#include "wire.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "lentilcross/configuration.h"
#include "lentilcross/keys.h"
#include "lentilcross/registry.h"
#include "platform/documents.h"
#include "platform/large_values.h"
#include "published_document.h"
#include "result.h"

namespace lentilcross::platform {
namespace {

namespace data = boost::unit_test::data;
using Json = nlohmann::json;
using ConfigurationPointer = std::shared_ptr<const Configuration>;
using testing::kValueBytes;
using testing::MakeOperatorConfiguration;
using testing::MakeRegistration;

const DomainRegions kDomains = {{"zone-a", "east"}, {"zone-b", "west"}};

Captured<Translation> Translate(const Json& configuration) {
  return Capture<Translation>(
      [&] { return TranslateConfiguration(configuration.dump(), kDomains); });
}

ConfigurationPointer Read(const Json& source) {
  const auto document = Translate(source);
  BOOST_REQUIRE_MESSAGE(document.value, document.findings.Format("op/config"));
  const auto read = Capture<ConfigurationPointer>(
      [&] { return Configuration::Parse(document.value->document.dump()); });
  BOOST_REQUIRE_MESSAGE(read.value, read.findings.Format("document"));
  return *read.value;
}

// Guards against a translation that the product refuses, or that loses what
// decides about a request.
BOOST_AUTO_TEST_CASE(configuration_keeps_its_meaning) {
  Json source = MakeOperatorConfiguration(12);
  Json& routes = source["virtual-hosts"][0]["paths"];
  routes[0].erase("service");
  routes[0]["split"] = {{{"service", "stock"}, {"weight", 90}},
                        {{"service", "ledger"}, {"weight", 10}}};
  routes[1]["priority"] = 0;
  routes[1]["public"] = true;
  const auto configuration = Read(source);

  BOOST_TEST(configuration->version.value() == 12U);
  BOOST_TEST(configuration->failure_domains.size() == 2U);
  BOOST_TEST(
      (configuration->limits.idle_timeout == std::chrono::milliseconds(15000)));
  const RouteEntry* look =
      configuration->FindRoute("shop.example:80", "/look/1?x=2");
  BOOST_REQUIRE(look != nullptr);
  BOOST_TEST(look->idempotent);
  BOOST_TEST(!look->open);
  BOOST_TEST(look->max_attempts == 2);
  BOOST_REQUIRE(look->split.size() == 2U);
  BOOST_TEST(look->split[0].weight == 90);
  const RouteEntry* book = configuration->FindRoute("shop.example", "/book/1");
  BOOST_REQUIRE(book != nullptr);
  BOOST_TEST(!book->idempotent);
  BOOST_TEST(!book->ticket_required);
  BOOST_TEST(book->open);
  // Public routes carry the calls of the targets.
  BOOST_TEST((book->importance == Importance::kCritical));
  BOOST_TEST((look->importance == Importance::kBackground));
}

// Guards against homes that are lost in translation, and against an empty list
// that would allow no region.
BOOST_AUTO_TEST_CASE(home_regions_of_routes_and_tenants_are_read) {
  Json source = MakeOperatorConfiguration(12);
  source["virtual-hosts"][0]["paths"][0]["home-regions"] = Json::array();
  source["virtual-hosts"][0]["paths"][1]["home-regions"] = {"west", "east"};
  source["tenants"][0]["home-regions"] = {"east"};
  const auto configuration = Read(source);
  const HomeRegions both = {RegionId::FromName("west"),
                            RegionId::FromName("east")};
  const auto* look = configuration->FindRoute("shop.example", "/look/1");
  const auto* book = configuration->FindRoute("shop.example", "/book/1");
  BOOST_TEST(look->home_regions.empty());
  BOOST_TEST((book->home_regions == both));
  BOOST_TEST((configuration->organisations.begin()->second.home_regions ==
              HomeRegions{RegionId::FromName("east")}));
}

// Guards against deposits that are shed before lookups of any tenant.
BOOST_AUTO_TEST_CASE(rank_orders_routes_and_tenants) {
  Json source = MakeOperatorConfiguration(1);
  source["virtual-hosts"][0]["paths"][1]["priority"] = 0;
  source["tenants"][0]["priority"] = 0;
  const auto configuration = Read(source);
  const RouteEntry* book = configuration->FindRoute("shop.example", "/book/1");
  BOOST_REQUIRE(book != nullptr);
  BOOST_TEST((book->importance == Importance::kStandard));
  const auto coopers = OrganisationId::FromName("coopers");
  BOOST_TEST(configuration->organisations.at(coopers).precedence == 1);
}

// Guards against a path that only resembles a route: prefixes match literally.
BOOST_AUTO_TEST_CASE(routes_match_by_host_and_literal_prefix) {
  const auto configuration = Read(MakeOperatorConfiguration(1));
  const auto found = [&](const char* host, const char* path) {
    return configuration->FindRoute(host, path) != nullptr;
  };
  BOOST_TEST(found("SHOP.example", "/look/"));
  BOOST_TEST(!found("shop.example", "/look"));
  BOOST_TEST(!found("shop.example", "/lookout/1"));
  BOOST_TEST(!found("other.example", "/look/1"));
}

BOOST_AUTO_TEST_CASE(longest_prefix_wins) {
  Json source = MakeOperatorConfiguration(1);
  source["virtual-hosts"][0]["paths"].push_back(
      testing::MakeRoute("/look/deep/", "idempotent", "ledger"));
  const auto configuration = Read(source);
  const RouteEntry* route =
      configuration->FindRoute("shop.example", "/look/deep/1");
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST((route->service == ServiceId::FromName("ledger")));
}

// Guards against a key in the document that peers exchange and operators see.
BOOST_AUTO_TEST_CASE(keys_are_published_as_digests) {
  const auto document = Translate(MakeOperatorConfiguration(1));
  BOOST_REQUIRE(document.value);
  BOOST_TEST(document.value->document.dump().find("key-of-coopers") ==
             std::string::npos);
  KeyRing keys;
  keys.Apply(*Read(MakeOperatorConfiguration(1)));
  const auto found = keys.Find("key-of-coopers");
  BOOST_TEST((found.reason == Reason::kNone));
  BOOST_TEST((found.organisation == OrganisationId::FromName("coopers")));
}

// Guards against a tenant without a rate that is refused everything.
BOOST_AUTO_TEST_CASE(rate_of_zero_means_no_limit) {
  Json source = MakeOperatorConfiguration(1);
  source["tenants"][0].erase("rate-per-s");
  const auto configuration = Read(source);
  const auto& organisation =
      configuration->organisations.at(OrganisationId::FromName("coopers"));
  BOOST_TEST(organisation.unlimited);
}

// Guards against a limit that changes a value which the product can hold, and
// against one that is changed without a word.
BOOST_AUTO_TEST_CASE(values_out_of_range_are_limited_and_named) {
  using std::chrono::milliseconds;
  Json source = MakeOperatorConfiguration(1);
  source["limits"] = {{"idle-timeout-ms", 900000},
                      {"header-timeout-ms", 600000}};
  BOOST_TEST((Read(source)->limits.idle_timeout == milliseconds(900000)));
  BOOST_TEST((Read(source)->limits.header_timeout == milliseconds(600000)));
  BOOST_TEST(Translate(source).value->limited.empty());

  source["limits"] = {{"idle-timeout-ms", 1e12}, {"header-timeout-ms", 600001}};
  Json& look = source["virtual-hosts"][0]["paths"][0];
  look["timeout-ms"] = 1200.5;
  look["max-attempts"] = 0;
  look.erase("service");
  look["split"] = {{{"service", "stock"}, {"weight", 3e9}},
                   {{"service", "ledger"}, {"weight", 1e9}}};
  const auto configuration = Read(source);
  BOOST_TEST((configuration->limits.idle_timeout == std::chrono::hours(1)));
  BOOST_TEST((configuration->limits.header_timeout == milliseconds(600000)));
  const RouteEntry& route = *configuration->FindRoute("shop.example", "/look/");
  BOOST_TEST((route.timeout == milliseconds(1201)));
  BOOST_TEST(route.max_attempts == 1);
  BOOST_TEST(route.split[0].weight / route.split[1].weight == 3,
             boost::test_tools::tolerance(1e-9));
  std::vector<std::string> places;
  const auto translated = Translate(source);
  for (const Finding& limited : translated.value->limited.list()) {
    places.push_back(limited.location);
  }
  const std::vector<std::string> expected = {
      "/virtual-hosts/0/paths/0/max-attempts", "/limits/header-timeout-ms",
      "/limits/idle-timeout-ms"};
  BOOST_TEST(places == expected, boost::test_tools::per_element());
}

/// Prefixes of the routes that need no key.
std::vector<std::string> OpenRoutes(const Configuration& configuration) {
  std::vector<std::string> prefixes;
  for (const RouteEntry& route : configuration.routes) {
    if (route.open) prefixes.push_back(route.prefix);
  }
  std::sort(prefixes.begin(), prefixes.end());
  return prefixes;
}

const std::vector<std::string> kAllRoutes = {"/book/", "/look/"};

// Guards against 401 for requests that have no key to carry, and against open
// routes after the last tenant was taken out of the list.
BOOST_AUTO_TEST_CASE(absent_tenants_open_routes_and_an_empty_list_does_not) {
  Json source = MakeOperatorConfiguration(1);
  BOOST_TEST(OpenRoutes(*Read(source)).empty());
  source["tenants"] = Json::array();
  BOOST_TEST(OpenRoutes(*Read(source)).empty());
  source.erase("tenants");
  const auto configuration = Read(source);
  BOOST_TEST(OpenRoutes(*configuration) == kAllRoutes,
             boost::test_tools::per_element());
  // Only routes marked as public carry the calls of targets.
  BOOST_TEST((configuration->FindRoute("shop.example", "/look/")->importance ==
              Importance::kBackground));
}

// Guards against a damaged member that is taken for an absent or an empty one:
// of tenants, that would open routes; of home regions, lift their bounds.
BOOST_DATA_TEST_CASE(
    unreadable_member_refuses_the_version,
    data::make({R"({"tenants": 5})", R"({"tenants": {}})", R"({"tenants": ""})",
                R"({"tenants": [null]})", R"({"tenants": [[]]})",
                R"({"tenants": [{}]})",
                R"({"tenants": [{"name": "x", "api-keys": null}]})",
                R"({"tenants": [{"name": "x", "home-regions": {}}]})",
                R"({"tenants": null, "Tenants": [{"api-keys": ["k"]}]})",
                R"({"tenants": null, "tenant": {"x": {"api-keys": []}}})",
                R"({"tenants": null, "api-keys": ["k"]})"}),
    patch) {
  Json source = MakeOperatorConfiguration(1);
  source.merge_patch(Json::parse(patch));
  BOOST_TEST(!Translate(source).value);
}

// `merge_patch` drops members that are null.
BOOST_DATA_TEST_CASE(null_member_refuses_the_version,
                     data::make({"/tenants", "/tenants/0/home-regions",
                                 "/virtual-hosts/0/paths/0/home-regions",
                                 "/virtual-hosts/0/paths/0/public",
                                 "/virtual-hosts/0/paths/0/split"}),
                     pointer) {
  Json source = MakeOperatorConfiguration(1);
  source[Json::json_pointer(pointer)] = nullptr;
  BOOST_TEST(!Translate(source).value);
}

// Guards against a version damaged in one byte, or cut, that opens a route.
BOOST_AUTO_TEST_CASE(no_damaged_byte_opens_a_route) {
  const std::string text = MakeOperatorConfiguration(1).dump();
  std::size_t translated = 0;
  const auto check = [&translated](const std::string& damaged) {
    const auto result = Capture<Translation>(
        [&] { return TranslateConfiguration(damaged, kDomains); });
    if (!result.value) return;
    ++translated;
    for (const auto& [name, route] : result.value->document["routes"].items()) {
      BOOST_TEST(!route["open"].get<bool>(), damaged);
    }
  };
  for (std::size_t i = 0; i < text.size(); ++i) {
    check(text.substr(0, i));
    check(text.substr(0, i) + text.substr(i + 1));
    for (const char byte : {' ', '"', '0', 'x', '}', ']', ','}) {
      std::string damaged = text;
      damaged[i] = byte;
      check(damaged);
    }
  }
  BOOST_TEST(translated > text.size());
}

// Guards against two entries for one route of which the one without a key wins.
BOOST_AUTO_TEST_CASE(route_listed_twice_is_open_only_if_both_are) {
  Json source = MakeOperatorConfiguration(1);
  Json& routes = source["virtual-hosts"][0]["paths"];
  routes.push_back(routes[0]);
  routes[2]["public"] = true;
  BOOST_TEST(OpenRoutes(*Read(source)).empty());
  routes[0]["public"] = true;
  BOOST_TEST(OpenRoutes(*Read(source)).size() == 1U);
}

// Guards against a peer that opens or closes other routes than the host that
// read the version, by a snapshot or by a delta.
BOOST_AUTO_TEST_CASE(peers_open_the_same_routes) {
  DocumentStore store;
  Findings findings;
  DocumentPointer last;
  for (const int version : {1, 2, 3}) {
    Json source = MakeOperatorConfiguration(version);
    if (version == 2) source.erase("tenants");
    const auto document =
        store.FromJson(Translate(source).value->document, findings);
    BOOST_REQUIRE_MESSAGE(document, findings.Format("document"));
    const auto expected =
        version == 2 ? kAllRoutes : std::vector<std::string>();
    const auto check = [&](const DocumentPointer& received) {
      BOOST_REQUIRE_MESSAGE(received, findings.Format("document"));
      BOOST_TEST(received->checksum == document->checksum);
      BOOST_TEST(OpenRoutes(*received->configuration) == expected,
                 boost::test_tools::per_element());
    };
    check(store.FromCbor(document->cbor, findings));
    if (last) {
      const auto patch = MakePatch(*last, *document, kValueBytes);
      BOOST_REQUIRE(patch);
      check(store.FromPatch(*last, *patch, findings));
    }
    last = document;
  }
}

// Guards against a forgotten check of one member: every fault is a finding with
// its place, and no document comes out.
BOOST_DATA_TEST_CASE(
    faulty_configuration_is_refused,
    data::make({R"({"version": "12"})", R"({"version": 12})",
                R"({"services": [{"name": 5}]})",
                R"({"virtual-hosts": [{"host": "a.example"}]})",
                R"({"virtual-hosts": [{"host": "a", "paths": [{}]}]})",
                R"({"tenants": [{"name": "x", "api-keys": [7]}]})",
                R"({"limits": {"idle-timeout-ms": "x"}})",
                R"({"limits": {"idle-timeout-ms": -1}})"}),
    patch) {
  Json source = MakeOperatorConfiguration(1);
  source.merge_patch(Json::parse(patch));
  const auto document = Translate(source);
  BOOST_TEST(!document.value);
  BOOST_TEST(!document.findings.empty());
}

BOOST_AUTO_TEST_CASE(registration_names_host_and_peer) {
  const auto registered = Capture<RegisteredTarget>([] {
    return DecodeRegistration(
        "i-1", MakeRegistration("stock", "10.1.0.26:8547", 77).dump(), 8543,
        Instant{});
  });
  BOOST_REQUIRE(registered.value);
  BOOST_TEST(registered.value->name == "i-1");
  BOOST_TEST(registered.value->host == "10.1.0.26");
  BOOST_TEST(registered.value->peer == "10.1.0.26:8543");
  BOOST_TEST(registered.value->failure_domain == "zone-a");
  BOOST_TEST(registered.value->slots == 8);
  BOOST_TEST(registered.value->started_ms == 77);
  BOOST_TEST(!registered.value->draining);
}

// Guards against an entry of another writer that is taken for a target.
BOOST_DATA_TEST_CASE(
    forged_registration_names_no_target,
    data::make({R"({"address": null})", R"({"address": "10.1.0.26"})",
                R"({"details": 5})", R"({"details": {"service": 5}})",
                R"({"details": {"slots": "8"}})",
                R"({"details": {"slots": 0}})",
                R"({"details": {"zone": null}})", R"({"status": null})",
                R"({"status": {"state": "asleep"}})"}),
    patch) {
  Json source = MakeRegistration("stock", "10.1.0.26:8547");
  source.merge_patch(Json::parse(patch));
  const auto registered = Capture<RegisteredTarget>([&] {
    return DecodeRegistration("i-1", source.dump(), 8543, Instant{});
  });
  BOOST_TEST(!registered.value);
  BOOST_TEST(!registered.decode_error.empty());
}

// Guards against one odd entry that ends the process, or that peers refuse
// together with all other changes in the same message.
BOOST_AUTO_TEST_CASE(odd_registration_stops_nobody) {
  const std::string deep = std::string(400000, '[') + std::string(400000, ']');
  const std::string deep_object = [] {
    std::string text;
    for (int i = 0; i < 100000; ++i) text += "{\"a\":";
    return text + "1" + std::string(100000, '}');
  }();
  const std::string good =
      MakeRegistration("stock", "10.1.0.26:8547", 77).dump();
  const auto with = [&good](const std::string& from, const std::string& to) {
    std::string text = good;
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
  };
  std::vector<std::pair<std::string, std::string>> entries = {
      {"i-1", deep},
      {"i-1", deep.substr(0, 400000)},
      {"i-1", deep_object},
      {"i-1", with("8547", "85470")},
      {"i-1", with("8547", "99999999999999999999")},
      {"i-1", with("8547", "-1")},
      {"i-1", with("\"stock\"", "\"" + std::string(300, 's') + "\"")},
      {"i-1", with("\"zone-a\"", "\"" + std::string(300, 'z') + "\"")},
      {"i-1", with("\"stock\"", "\"sto\\r\\nck\"")},
      {std::string(300, 'i'), good},
      {"i-1\r\nX: 1", good},
      {"", good},
  };
  for (const std::string number :
       {"1e999", "-1e999", "99999999999999999999", "18446744073709551615",
        "-9223372036854775808", "1e30", deep.c_str()}) {
    entries.emplace_back("i-1", with("\"slots\":8", "\"slots\":" + number));
    entries.emplace_back("i-1", with("\"born\":77", "\"born\":" + number));
    entries.emplace_back(
        "i-1", with("\"state\"", "\"cold-left-ms\":" + number + ",\"state\""));
  }
  for (const auto& [name, text] : entries) {
    const auto registered = Capture<RegisteredTarget>([&, n = name, t = text] {
      return DecodeRegistration(n, t, 8543, Instant{});
    });
    if (!registered.value) continue;
    // What is taken over has to reach peers.
    Registry registry{Registry::Init{}};
    registry.OnSnapshot({1, {}, {}}, Instant{});
    registry.OnChanges(2, {{name, 2, *registered.value}}, Instant{});
    const auto news = registry.TakeUnsentChanges(Instant{});
    BOOST_REQUIRE(news);
    const auto decoded =
        Capture<PeerMessage>([&] { return Decode(Encode(*news)); });
    BOOST_TEST(decoded.value.has_value(), text.substr(0, 200));
  }
}

BOOST_AUTO_TEST_CASE(registration_of_arbitrary_bytes_names_no_target) {
  for (const std::string bytes : {"", "\x01\x02", "{", "[]", "null"}) {
    const auto registered = Capture<RegisteredTarget>(
        [&] { return DecodeRegistration("i-1", bytes, 1, Instant{}); });
    BOOST_TEST(!registered.value);
  }
}

// Guards against an answer that is cut or forged and passes as an empty list.
BOOST_DATA_TEST_CASE(
    malformed_store_answer_is_an_error,
    data::make({"", "[]", R"({"items": []})",
                R"({"items": 1, "store-revision": 4})",
                R"({"items": [{"key": "a"}], "store-revision": 4})",
                R"({"items": [{"key": "a", "rev": 1, "value": "%%%%"}],
                    "store-revision": 4})"}),
    body) {
  const auto list = Capture<ItemList>([&] { return DecodeItems(body); });
  BOOST_TEST(!list.value);
}

BOOST_AUTO_TEST_CASE(items_and_events_are_decoded) {
  const auto list = Capture<ItemList>([] {
    return DecodeItems(
        R"({"events": [{"key": "my/leader", "value": "bm9kZS0x", "rev": 412},
                       {"key": "my/old", "rev": 413, "deleted": true}],
            "store-revision": 413})");
  });
  BOOST_REQUIRE(list.value);
  BOOST_TEST(list.value->store_revision == 413U);
  BOOST_REQUIRE(list.value->items.size() == 2U);
  BOOST_TEST(*list.value->items[0].value == "node-1");
  BOOST_TEST(!list.value->items[1].value);
}

// Guards against a status that promises "not run" without proof.
BOOST_AUTO_TEST_CASE(statuses_promise_only_what_is_proven) {
  const HttpDialect dialect = MakeDialect();
  for (int i = 1; i < kReasonCount; ++i) {
    Refusal refusal;
    refusal.reason = static_cast<Reason>(i);
    refusal.outcome = Outcome::kUnknown;
    const bool entry_only = refusal.reason == Reason::kRateExceeded;
    const int status = dialect.status_of(refusal);
    const bool promise =
        status == 503 || status == 429 || status == 408 || status == 421;
    BOOST_TEST((!promise || entry_only), ToString(refusal.reason));
  }
}

}  // namespace
}  // namespace lentilcross::platform
