// Daemons that start while a version as large as the store takes is in force.

#include "platform/large_values.h"
#include "platform/path_setup.h"

namespace lentilcross::testing {
namespace {

/// Other tests that run at the same time use other ports.
constexpr std::uint16_t kPeerPort = 17547;

}  // namespace

// Guards against a daemon that starts without a configuration, since the one in
// force is too large for it.
BOOST_AUTO_TEST_CASE(daemons_start_with_the_largest_value) {
  for (const auto& [content, name] : kContents) {
    BOOST_TEST_CONTEXT(name) {
      Json large = MakeOperatorConfiguration(3);
      Fill(large, content);
      PathSetup setup(Signed(), kPeerPort, large);
      BOOST_TEST(Look(*setup.stock, kKey).status == 200);
      BOOST_TEST(Look(*setup.ledger_host, kKey).status == 200);
    }
  }
}

}  // namespace lentilcross::testing
