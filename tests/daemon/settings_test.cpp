#include "settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace lentilcross {
namespace {

namespace data = boost::unit_test::data;

constexpr std::string_view kPeerKey = "00112233445566778899aabbccddeeff";

const std::string& ValidText() {
  static const std::string text = R"({
    // One daemon.
    "host": "stock-mb-1",
    "failure_domain": "mb-1",
    "region": "manitoba",
    "caller": "127.0.0.1:7100",
    "onward": "127.0.0.1:7101",
    "peer": "127.0.0.1:7102",
    "operator": "127.0.0.1:7103",
    "targets": [
      {"name": "stock-1", "service": "stock", "address": "127.0.0.1:7104"}],
    "platform": ["127.0.0.1:7000"],
    "peer_keys": ["00112233445566778899aabbccddeeff"],
    "seeds": ["127.0.0.1:7202"],
    "log": {"level": "info", "loggers": {"peer": "debug"}},
    "loan_term_ms": 1500
  })";
  return text;
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = ValidText();
  const std::size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

Findings FindingsOf(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<Findings> {
        auto parsed = Settings::Parse(text);
        if (!parsed) return parsed.error();
        return Findings();
      },
      [](const Findings& findings) { return findings; },
      [] { return Findings(); });
}

struct Row {
  std::string from;
  std::string to;
  std::string place;
  std::string text;  ///< Start of the finding.
};

std::ostream& operator<<(std::ostream& out, const Row& row) {
  return out << row.to;
}

const std::vector<Row>& Rows() {
  static const std::vector<Row> rows = {
      {"\"region\"", "\"zone\": 1, \"region\"", "/zone", "unknown"},
      {"\"manitoba\"", "7", "/region", "wrong type"},
      {"\"stock-mb-1\"", "\"\"", "/host", "out of range"},
      {"\"loan_term_ms\"", "\"loan_term_s\"", "/loan_term_s", "wrong unit"},
      {"\"host\"", "\"region\": \"x\", \"host\"", "/region", "duplicate"},
      {"\"failure_domain\": \"mb-1\",", "", "/failure_domain", "missing"},
      {"1500", "1", "/loan_term_ms", "out of range"},
      {"\"peer\": \"debug\"", "\"pear\": \"debug\"", "/log/loggers/pear",
       "dangling reference"},
      {"\"peer\": \"debug\"", "\"peer\": \"loud\"", "/log/loggers/peer",
       "out of range"},
      {"127.0.0.1:7101", "10.0.0.1:7101", "/onward", "out of range"},
      {"127.0.0.1:7103", "127.0.0.1:7100", "/operator", "duplicate"},
      {"127.0.0.1:7102", "localhost:7102", "/peer", "out of range"},
      {"[\"127.0.0.1:7000\"]", "[]", "/platform", "out of range"},
      {"[\"127.0.0.1:7000\"]", "[1]", "/platform/0", "wrong type"},
      {"[\"127.0.0.1:7202\"]", "[\"127.0.0.1:1\", \"127.0.0.1:1\"]", "/seeds/1",
       "duplicate"},
      {"\"service\": \"stock\", ", "", "/targets/0/service", "missing"},
      {"00112233445566778899aabbccddeeff", "00112233445566778899aabbccddeefg",
       "/peer_keys/0", "out of range"},
      {"00112233445566778899aabbccddeeff", "0011", "/peer_keys/0",
       "out of range"},
      {"[\"00112233445566778899aabbccddeeff\"]", "[]", "/peer_keys",
       "out of range"},
      // Terms that `RateLimiter` refuses, so that the daemon would not start.
      {"1500", "499", "/loan_term_ms", "out of range"},
      {"1500", "10001", "/loan_term_ms", "out of range"},
      {"1500", "4501", "/rate_handover_ms", "out of range"},
      {"},\n    \"loan_term_ms\"", "}\n    \"loan_term_ms\"", "16:5", "syntax"},
  };
  return rows;
}

}  // namespace

// Guards against a good file that is refused, and units read wrongly.
BOOST_AUTO_TEST_CASE(valid_settings_are_read) {
  const Findings findings = FindingsOf(ValidText());
  BOOST_TEST(findings.Format("f") == "");
  const Settings settings = Settings::Parse(ValidText()).value();
  BOOST_TEST(settings.daemon.host == "stock-mb-1");
  BOOST_TEST(settings.daemon.peer_keys.at(0).size() == 16U);
  BOOST_TEST(settings.daemon.peer_keys.at(0).at(1) == '\x11');
  BOOST_TEST(ToString(settings.daemon.targets.at(0).address) ==
             "127.0.0.1:7104");
  BOOST_TEST(settings.peer_advertise == "127.0.0.1:7102");
  BOOST_TEST((settings.daemon.loan_term == std::chrono::milliseconds(1500)));
  BOOST_TEST((settings.daemon.startup_wait == std::chrono::seconds(3)));
  BOOST_TEST((settings.log.loggers.at("peer") == LogLevel::kDebug));
}

// Guards against a kind of finding that is not reported, or at another place.
BOOST_DATA_TEST_CASE(each_kind_of_finding_has_its_place, data::make(Rows()),
                     row) {
  const Findings findings = FindingsOf(Replaced(row.from, row.to));
  bool found = false;
  for (const auto& [place, text] : findings.list()) {
    found = found || (place == row.place && text.rfind(row.text, 0) == 0);
  }
  BOOST_TEST(found, "findings:\n" << findings.Format("f"));
}

// Guards against a report that stops at the first finding.
BOOST_AUTO_TEST_CASE(all_findings_are_reported_at_once) {
  const Findings findings = FindingsOf(R"({"host": 1, "zone": 2})");
  BOOST_TEST(findings.list().size() >= 10U);
}

// Guards against findings that print a peer key.
BOOST_AUTO_TEST_CASE(findings_do_not_show_peer_keys) {
  const std::string key(kPeerKey);
  const Findings findings =
      FindingsOf(Replaced("[\"" + key + "\"]", "[\"" + key + "\", \"" + key +
                                                   "\", \"" + key + "x\"]"));
  BOOST_TEST(findings.list().size() >= 3U);
  BOOST_TEST(findings.Format("f").find(key) == std::string::npos);
}

}  // namespace lentilcross
