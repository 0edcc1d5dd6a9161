#include "settings_reload.h"

#include <boost/test/unit_test.hpp>

namespace lentilcross {
namespace {

const std::string kText = R"({
  "host": "a", "failure_domain": "mb-1", "region": "manitoba",
  "caller": "127.0.0.1:7100", "onward": "127.0.0.1:7101",
  "peer": "127.0.0.1:7102", "operator": "127.0.0.1:7103",
  "platform": ["127.0.0.1:7000"],
  "peer_keys": ["00112233445566778899aabbccddeeff"],
  "log": {"level": "info"}
})";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kText;
  const std::size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

using Places = std::vector<std::string>;

BOOST_AUTO_TEST_CASE(same_file_changes_nothing) {
  SettingsReload reload(kText, {});
  BOOST_TEST(!reload.Apply(kText).changed);
}

// Guards against a change that is neither applied nor named.
BOOST_AUTO_TEST_CASE(changes_are_applied_or_named) {
  SettingsReload reload(kText, {});
  std::string text = Replaced("info", "debug");
  text.replace(text.find("7100"), 4, "7200");
  const auto outcome = reload.Apply(text);
  BOOST_TEST(outcome.changed);
  BOOST_TEST((outcome.applied == Places{"/log"}));
  BOOST_TEST((outcome.need_restart == Places{"/caller"}));
  BOOST_TEST((outcome.log.level == LogLevel::kDebug));
  // Named once.
  BOOST_TEST(!reload.Apply(text).changed);
}

// Guards against a file that is being written and is taken over in part.
BOOST_AUTO_TEST_CASE(invalid_file_is_refused_with_its_findings) {
  SettingsReload reload(kText, {});
  const auto cut = reload.Apply(kText.substr(0, kText.size() / 2));
  BOOST_TEST(!cut.changed);
  BOOST_TEST(!cut.findings.empty());
  const auto whole = reload.Apply(Replaced("info", "warn"));
  BOOST_TEST(whole.changed);
  BOOST_TEST((whole.applied == Places{"/log"}));
}

}  // namespace
}  // namespace lentilcross
