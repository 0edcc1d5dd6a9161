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

const std::string kRoute = "/virtual-hosts/0/paths/0";
const std::string kTenant = "/tenants/0";

}  // namespace

// Guards against one large value that keeps a moved route and a withdrawn key
// from coming into force.
BOOST_AUTO_TEST_CASE(value_out_of_range_holds_no_version_back) {
  const std::vector<std::pair<std::string, Json>> values = {
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
  };
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

}  // namespace lentilcross::testing
