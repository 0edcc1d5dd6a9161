// Versions as large as the store takes: they come into force everywhere in
// time, as any other version.

#include <algorithm>
#include <map>
#include <thread>
#include <vector>

#include "platform/large_values.h"
#include "platform/path_setup.h"

namespace lentilcross::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Contract of the platform: a version is in force everywhere by then.
constexpr Duration kApply = milliseconds(2000);
/// Contract of the platform: callers give up an attempt that is not read.
constexpr Duration kReadLimit = milliseconds(1000);

/// Other tests that run at the same time use other ports.
constexpr std::uint16_t kPeerPort = 17546;

constexpr const char* kNewKey = "new-key-of-coopers";

/// The key of `MakeOperatorConfiguration` is replaced by another one.
Json WithNewKey(int version) {
  Json configuration = MakeOperatorConfiguration(version);
  configuration["tenants"][0]["api-keys"] = {kNewKey};
  return configuration;
}

/// What a caller of one host saw after a version was published.
struct Seen {
  Duration until_in_force{};
  Duration longest_call{};
};

/// Calls until the old key is refused and the new one is served.
Seen CallUntilInForce(Host& host, const std::string& old_key,
                      const std::string& new_key) {
  Seen seen;
  const Instant began = steady_clock::now();
  while (steady_clock::now() - began < kPatience) {
    const Instant sent = steady_clock::now();
    const bool old_refused = Look(host, old_key).status == 401;
    const Instant answered = steady_clock::now();
    seen.longest_call = std::max(seen.longest_call, answered - sent);
    seen.until_in_force = answered - began;
    if (old_refused && Look(host, new_key).status == 200) break;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return seen;
}

void CheckInForce(PathSetup& setup, const std::string& old_key,
                  const std::string& new_key) {
  std::map<Host*, Seen> seen;
  std::vector<std::thread> callers;
  for (Host* host : {setup.stock.get(), setup.ledger_host.get()}) {
    callers.emplace_back([host, &old_key, &new_key, &entry = seen[host]] {
      entry = CallUntilInForce(*host, old_key, new_key);
    });
  }
  for (std::thread& caller : callers) caller.join();
  for (const auto& [host, entry] : seen) {
    BOOST_TEST(
        (entry.until_in_force < kApply),
        "in force after " << entry.until_in_force / milliseconds(1) << " ms");
    BOOST_TEST((entry.longest_call < kReadLimit),
               "a call took " << entry.longest_call / milliseconds(1) << " ms");
  }
}

}  // namespace

// Guards against a version within the store's limit that no daemon follows.
BOOST_AUTO_TEST_CASE(largest_value_is_in_force_in_time) {
  for (const auto& [content, name] : kContents) {
    BOOST_TEST_CONTEXT(name) {
      PathSetup setup(Signed(), kPeerPort);
      Json large = WithNewKey(4);
      Fill(large, content);
      setup.store.Put("op/config", large.dump());
      CheckInForce(setup, kKey, kNewKey);

      // The next version is as large; only a key differs.
      large["version"] = "r5";
      large["tenants"][0]["api-keys"][0] = kKey;
      setup.store.Put("op/config", large.dump());
      CheckInForce(setup, kNewKey, kKey);
    }
  }
}

}  // namespace lentilcross::testing
