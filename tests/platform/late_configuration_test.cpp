// Versions that come into force too late, because the connections to the store
// went silent or the store was away.

#include <thread>

#include "platform/path_setup.h"

namespace lentilcross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Contract of the platform: what was confirmed more than `kApply` ago is in
/// force, unless there was trouble in the last `kStable`.
constexpr Duration kApply = milliseconds(2000);
constexpr Duration kStable = milliseconds(3000);

/// Other tests that run at the same time use the usual port.
constexpr std::uint16_t kPeerPort = 17544;

Json WithoutKeys(int version) {
  Json configuration = MakeOperatorConfiguration(version);
  for (Json& tenant : configuration["tenants"]) {
    tenant["api-keys"] = Json::array();
  }
  return configuration;
}

/// Time until a request with a withdrawn key is refused.
Duration TimeUntilRefused(PathSetup& setup) {
  const Instant began = steady_clock::now();
  while (setup.Send("POST", "/book/1").status != 401) {
    if (steady_clock::now() - began > kPatience) break;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return steady_clock::now() - began;
}

}  // namespace

// Guards against a watch that waits on a connection that went silent while new
// connections work.
BOOST_AUTO_TEST_CASE(watch_on_a_silent_connection) {
  for (const auto age : {milliseconds(50), milliseconds(600)}) {
    PathSetup setup(Signed(), kPeerPort);
    std::this_thread::sleep_for(milliseconds(1500) + age);
    setup.store.SilenceWatches("op/config");
    setup.store.Put("op/config", WithoutKeys(4).dump());
    BOOST_TEST((TimeUntilRefused(setup) < kStable));
  }
}

// Guards against a pause after failed calls that outlasts their cause.
BOOST_AUTO_TEST_CASE(store_that_was_away) {
  for (const auto fault :
       {FakeStore::Fault::kSilent, FakeStore::Fault::kUnavailable}) {
    PathSetup setup(Signed(), kPeerPort);
    setup.store.SetFault(fault);
    setup.store.SilenceWatches("op/config");
    setup.store.SilenceWatches("servers/");
    std::this_thread::sleep_for(milliseconds(4500));
    setup.store.SetFault(FakeStore::Fault::kNone);
    setup.store.Put("op/config", WithoutKeys(4).dump());
    BOOST_TEST((TimeUntilRefused(setup) < kStable));
  }
}

// Guards against a version that waits for the next call after another one.
BOOST_AUTO_TEST_CASE(two_versions_in_quick_succession) {
  PathSetup setup(Signed(), kPeerPort);
  setup.store.Put("op/config", MakeOperatorConfiguration(4).dump());
  std::this_thread::sleep_for(milliseconds(50));
  setup.store.Put("op/config", WithoutKeys(5).dump());
  BOOST_TEST((TimeUntilRefused(setup) < kApply));
}

}  // namespace lentilcross::testing
