// Versions with a value outside the range that the product supports: the rest
// of such a version comes into force as that of any other.

#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include "platform/path_setup.h"

namespace lentilcross::testing {
namespace {

using std::chrono::steady_clock;

/// Other tests that run at the same time use other ports.
constexpr std::uint16_t kPeerPort = 17548;

/// Contract of the platform: a version is in force everywhere by then.
constexpr Duration kApply = std::chrono::milliseconds(2000);

/// A version in which the member at `pointer` is replaced, with another key.
Json MakeVersion(int version, const std::string& pointer, const Json& value,
                 const std::string& key) {
  Json configuration = MakeOperatorConfiguration(version);
  configuration["services"][0]["cold-per-s"] = 50;
  configuration["services"][0]["cold-start-s"] = 2;
  configuration["tenants"][0]["api-keys"] = {key};
  configuration[Json::json_pointer(pointer)] = value;
  return configuration;
}

/// A route host beside that of `MakeOperatorConfiguration`.
Json MakeHost(const std::string& host, const Json& route) {
  return {{"host", host}, {"paths", {route}}};
}

/// Whether a host refuses the old key and serves the new one in time.
bool ComesIntoForce(Host& host, const std::string& old_key,
                    const std::string& new_key) {
  const Instant end = steady_clock::now() + kApply;
  while (steady_clock::now() < end) {
    if (Look(host, old_key).status == 401 &&
        Look(host, new_key).status == 200) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

/// Publishes each value in a version of its own, with a new key, and checks
/// that this key comes into force on both hosts.
void CheckVersions(const std::vector<std::pair<std::string, Json>>& values) {
  PathSetup setup(Signed(), kPeerPort);
  std::string old_key = kKey;
  int version = 4;
  for (const auto& [pointer, value] : values) {
    BOOST_TEST_CONTEXT(pointer << " = " << value.dump()) {
      const std::string key = "key-" + std::to_string(version);
      setup.store.Put("op/config",
                      MakeVersion(version++, pointer, value, key).dump());
      const bool here = ComesIntoForce(*setup.stock, old_key, key);
      BOOST_TEST(here);
      BOOST_TEST(ComesIntoForce(*setup.ledger_host, old_key, key));
      if (here) old_key = key;
    }
  }
}

const std::string kRoute = "/virtual-hosts/0/paths/0";
const std::string kTenant = "/tenants/0";

}  // namespace

// Guards against one large value that keeps a moved route and a withdrawn key
// from coming into force.
BOOST_AUTO_TEST_CASE(value_out_of_range_holds_no_version_back) {
  CheckVersions({
      {"/limits/idle-timeout-ms", 900000},
      {"/limits/idle-timeout-ms", 7200000},
      {"/limits/idle-timeout-ms", 1e15},
      {"/limits/header-timeout-ms", 700000},
      {"/limits/max-body-bytes", 1e12},
      {kRoute + "/timeout-ms", 700000},
      {kRoute + "/timeout-ms", 1500.5},
      {kRoute + "/target-latency-ms", 1e9},
      {kRoute + "/priority", 5000},
      {kRoute + "/max-attempts", 500},
      {kRoute + "/split",
       Json::array({{{"service", "stock"}, {"weight", 2e6}}})},
      {kTenant + "/rate-per-s", 2e9},
      {kTenant + "/burst", 1e300},
      {kTenant + "/priority", 1e6},
      {"/services/0/cold-per-s", 1e12},
      {"/services/0/cold-start-s", 7200},
  });
}

// Guards against one name or route that keeps the rest of a version from coming
// into force.
BOOST_AUTO_TEST_CASE(unusual_entry_holds_no_version_back) {
  const Json route = MakeRoute("/depots/", "idempotent", "stock");
  const auto with = [](Json entry, const Json& patch) {
    entry.merge_patch(patch);
    return entry;
  };
  CheckVersions({
      {"/tenants/0/name", "Coopers & S\u00f6hne"},
      {"/tenants/0/name", "public"},
      {"/tenants/0/name", std::string(200, 'c')},
      {"/tenants/1", {{"name", std::string(300, 'c')}}},
      {"/tenants/1", {{"name", "two\nlines"}, {"api-keys", {"lost"}}}},
      {"/tenants/1", {{"name", "far"}, {"home-regions", {"moon"}}}},
      {"/services/2", {{"name", "Grain Store"}}},
      {"/services/2", {{"name", std::string(300, 's')}}},
      {"/services/0/health-path", "healthz"},
      {"/virtual-hosts/1", MakeHost("Depot_7.Example", route)},
      {"/virtual-hosts/1", MakeHost("two words", route)},
      {"/virtual-hosts/0/paths/2",
       MakeRoute("/d%C3%A9p\u00f4ts/", "idempotent", "stock")},
      {"/virtual-hosts/1",
       MakeHost("a.example",
                with(route, {{"prefix", "/" + std::string(300, 'p') + "/"}}))},
      {"/virtual-hosts/1",
       MakeHost("a.example", with(route, {{"prefix", "depots/"}}))},
      {"/virtual-hosts/1",
       MakeHost("a.example", with(route, {{"service", "nowhere"}}))},
      {"/virtual-hosts/1",
       MakeHost("a.example", with(route, {{"home-regions", {"moon"}}}))},
      {"/virtual-hosts/1",
       MakeHost(
           "a.example",
           with(route, {{"split", {{{"service", "stock"}, {"weight", 0}}}}}))},
  });
}

// Guards against names that come into force and then fail on the way to the
// target of another host.
BOOST_AUTO_TEST_CASE(unusual_names_reach_the_target) {
  const std::string tenant = "Coopers & S\u00f6hne";
  Json configuration = MakeOperatorConfiguration(3);
  configuration["tenants"][0]["name"] = tenant;
  configuration["virtual-hosts"][0]["host"] = "Shop.Example";
  configuration["virtual-hosts"][0]["paths"][1]["prefix"] =
      "/d%C3%A9p\u00f4ts/";
  PathSetup setup(Signed(), kPeerPort, configuration);
  BOOST_TEST(setup.Send("POST", "/d%C3%A9p\u00f4ts/1").status == 200);
  const auto received = setup.ledger_host->target.received();
  BOOST_REQUIRE(received.size() == 1U);
  BOOST_TEST(received[0].header("X-Lentilcross-Tenant") == tenant);
  BOOST_TEST(received[0].target == "/d%C3%A9p\u00f4ts/1");
}

// Guards against a route that cannot be served as written and whose requests
// fall to a route with a shorter prefix, which may need no key.
BOOST_AUTO_TEST_CASE(unusable_route_gives_no_request_to_another) {
  Json configuration = MakeOperatorConfiguration(3);
  Json& routes = configuration["virtual-hosts"][0]["paths"];
  routes[0]["public"] = true;
  routes.push_back(MakeRoute("/look/deep/", "idempotent", "stock"));
  routes[2]["home-regions"] = {"moon"};
  PathSetup setup(Signed(), kPeerPort, configuration);
  BOOST_TEST(setup.Send("GET", "/look/1").status == 200);
  BOOST_TEST(setup.Send("GET", "/look/deep/1").status == 503);
  BOOST_TEST(setup.stock->target.received().size() == 1U);
}

}  // namespace lentilcross::testing
