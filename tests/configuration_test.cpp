#include "lentilcross/configuration.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "compress.h"
#include "lentilcross/config.h"
#include "result.h"

namespace lentilcross {
namespace {

namespace data = boost::unit_test::data;
using ConfigurationPointer = std::shared_ptr<const Configuration>;

constexpr const char* kDigest =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

// A valid document, in which each row of `kInvalidDocuments` changes one part.
const std::string kDocument = R"({
  // comment
  "version": 12,
  "preset": "ordinary",
  "rate_owners_per_domain": 2,
  "failure_domains": {
    "mb-1": {"region": "manitoba", "share": 0.5},
    "sk-1": {"region": "saskatchewan", "share": 0.5}
  },
  "hosts": {
    "stock-mb-1": {"failure_domain": "mb-1", "peer": "127.0.0.1:7101"},
    "stock-sk-1": {"failure_domain": "sk-1", "peer": "[::1]:7102"}
  },
  "services": {
    "stock": {"targets": [{"name": "stock-1", "host": "stock-mb-1"},
                          {"name": "stock-2", "host": "stock-sk-1"}]}
  },
  "routes": {
    "/": {"service": "stock", "importance": "background", "idempotent": true, "timeout_ms": 100},
    "/stock": {"service": "stock", "importance": "lookup", "idempotent": true, "open": false, "timeout_ms": 800},
    "/stock/deep/": {"service": "stock", "importance": "critical", "idempotent": false, "timeout_ms": 900}
  },
  "organisations": {
    "coopers": {"rate": 200, "burst": 100, "weight": 4}
  },
  "keys": {
    "coopers-2026a": {"organisation": "coopers", "sha256": ")" +
                              std::string(kDigest) + R"(", "withdrawn": false}
  },
  "presets": {
    "ordinary": {"rate_factor": 1.0, "extra_attempts": 2, "queue_ms": 50, "refuse_importance_below": "background"},
    "peak": {"queue_ms": 20}
  }
})";

Captured<ConfigurationPointer> TryParse(const std::string& text) {
  return Capture<ConfigurationPointer>(
      [&] { return Configuration::Parse(text); });
}

std::string Replace(const std::string& from, const std::string& to) {
  std::string text = kDocument;
  const std::size_t offset = text.find(from);
  BOOST_REQUIRE_MESSAGE(offset != std::string::npos, "not found: " << from);
  return text.replace(offset, from.size(), to);
}

std::string ReadFile(const std::string& name) {
  std::ifstream file(std::string(TEST_SOURCE_DIR) + "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

struct InvalidDocument {
  std::string from;
  std::string to;
  std::string location;
  std::string text;
};

std::ostream& operator<<(std::ostream& stream, const InvalidDocument& row) {
  return stream << row.to << " -> " << row.location << ": " << row.text;
}

// Covers each kind of finding and each section.
const std::vector<InvalidDocument> kInvalidDocuments = {
    // Syntax.
    {"\"version\": 12,", "\"version\" 12,", "3:13",
     "unexpected number literal; expected ':'"},
    {"\"withdrawn\": false}", "\"withdrawn\": fals}", "27:141",
     "invalid literal"},
    // Unknown field.
    {"\"rate\": 200", "\"rates\": 1, \"rate\": 200",
     "/organisations/coopers/rates", "unknown field"},
    {"\"version\": 12", "\"version\": 12, \"extra\": {}", "/extra",
     "unknown field"},
    {"{\"queue_ms\": 20}", "{\"queue_ms\": 20, \"a/b~\": 1}",
     "/presets/peak/a~1b~0", "unknown field"},
    // Wrong type.
    {"\"version\": 12", "\"version\": \"12\"", "/version",
     "wrong type: expected an integer"},
    {"\"version\": 12", "\"version\": 12.0", "/version",
     "wrong type: expected an integer"},
    {"\"rate\": 200", "\"rate\": true", "/organisations/coopers/rate",
     "wrong type: expected a number"},
    {"\"withdrawn\": false", "\"withdrawn\": 0",
     "/keys/coopers-2026a/withdrawn", "wrong type: expected a boolean"},
    {"\"region\": \"manitoba\"", "\"region\": 7",
     "/failure_domains/mb-1/region", "wrong type: expected a string"},
    {"{\"queue_ms\": 20}", "[]", "/presets/peak",
     "wrong type: expected an object"},
    {"[{\"name\": \"stock-1\", \"host\": \"stock-mb-1\"},\n"
     "                          {\"name\": \"stock-2\", \"host\": "
     "\"stock-sk-1\"}]",
     "{}", "/services/stock/targets", "wrong type: expected an array"},
    {kDocument, "[]", "", "wrong type: expected an object"},
    // Wrong unit.
    {"\"timeout_ms\": 800", "\"timeout_s\": 1", "/routes/~1stock/timeout_s",
     "wrong unit: expected \"timeout_ms\" in milliseconds"},
    {"\"queue_ms\": 20", "\"queue\": 20", "/presets/peak/queue",
     "wrong unit: expected \"queue_ms\" in milliseconds"},
    {"\"rate\": 200", "\"rate_per_min\": 200",
     "/organisations/coopers/rate_per_min",
     "wrong unit: expected \"rate\" without a unit"},
    // Duplicate.
    {"\"preset\": \"ordinary\"",
     "\"preset\": \"ordinary\", \"preset\": \"peak\"", "/preset",
     "duplicate member"},
    {"\"rate\": 200", "\"rate\": 1, \"rate\": 200",
     "/organisations/coopers/rate", "duplicate member"},
    {"{\"name\": \"stock-2\"", "{\"name\": \"x\", \"name\": \"stock-2\"",
     "/services/stock/targets/1/name", "duplicate member"},
    {"\"stock-2\"", "\"stock-1\"", "/services/stock/targets/1/name",
     "duplicate: \"stock-1\" is already used"},
    {"[::1]:7102", "127.0.0.1:7101", "/hosts/stock-sk-1/peer",
     "duplicate: also the address of \"stock-mb-1\""},
    {"\"withdrawn\": false}",
     "\"withdrawn\": false}, \"other\": {\"organisation\": \"coopers\", "
     "\"sha256\": \"" +
         std::string(kDigest) + "\"}",
     "/keys/other/sha256", "duplicate: same digest as key \"coopers-2026a\""},
    // Two routes with the same prefix.
    {"\"/stock/deep/\"", "\"/stock/\"", "/routes/~1stock~1",
     "duplicate: \"/stock\" is already used"},
    // Hash collision: two names with the same XXH64.
    {"{\"name\": \"stock-1\", \"host\": \"stock-mb-1\"}",
     "{\"name\": \"stock-west-no-01\", \"host\": \"stock-mb-1\"}, "
     "{\"name\": \"u00hlpa8azcrydzy\", \"host\": \"stock-mb-1\"}",
     "/services/stock/targets/1/name",
     "hash collision with \"stock-west-no-01\""},
    // Missing.
    {"\"version\": 12,", "", "/version", "missing field"},
    {", \"timeout_ms\": 800", "", "/routes/~1stock/timeout_ms",
     "missing field"},
    {"\"name\": \"stock-1\", ", "", "/services/stock/targets/0/name",
     "missing field"},
    // Out of range.
    {"\"version\": 12", "\"version\": 0", "/version", "out of range"},
    {"\"version\": 12", "\"version\": -3", "/version", "out of range"},
    {"\"rate\": 200", "\"rate\": -1", "/organisations/coopers/rate",
     "out of range: expected 0.0 to"},
    {"\"burst\": 100", "\"burst\": 1e300", "/organisations/coopers/burst",
     "out of range"},
    {"\"weight\": 4", "\"weight\": 0", "/organisations/coopers/weight",
     "out of range"},
    {"\"extra_attempts\": 2", "\"extra_attempts\": 17",
     "/presets/ordinary/extra_attempts", "out of range: expected 0 to 16"},
    {"\"timeout_ms\": 800", "\"timeout_ms\": 0", "/routes/~1stock/timeout_ms",
     "out of range: expected 1 to 600000"},
    {"\"importance\": \"lookup\"", "\"importance\": \"urgent\"",
     "/routes/~1stock/importance",
     "out of range: expected one of background, lookup, standard, critical"},
    {"127.0.0.1:7101", "localhost:7101", "/hosts/stock-mb-1/peer",
     "out of range: expected \"ip:port\""},
    {"127.0.0.1:7101", "127.0.0.1:70000", "/hosts/stock-mb-1/peer",
     "out of range"},
    {"9f86d0", "9f86dx", "/keys/coopers-2026a/sha256", "out of range"},
    {"\"coopers\": {\"rate\"",
     "\"a b\": {\"rate\": 1, \"burst\": 1}, \"coopers\": {\"rate\"",
     "/organisations/a b", "out of range: a name has"},
    {"\"coopers\": {\"rate\"",
     "\"public\": {\"rate\": 1, \"burst\": 1}, \"coopers\": {\"rate\"",
     "/organisations/public", "out of range: the name is reserved"},
    {"\"/stock/deep/\"", "\"stock\"", "/routes/stock",
     "out of range: a route is a path"},
    // Sum of shares.
    {"\"share\": 0.5", "\"share\": 0.6", "/failure_domains",
     "out of range: the sum of shares is above 1"},
    // Dangling reference.
    {"\"preset\": \"ordinary\"", "\"preset\": \"harvest\"", "/preset",
     "dangling reference to \"harvest\""},
    {"\"failure_domain\": \"mb-1\"", "\"failure_domain\": \"ab-1\"",
     "/hosts/stock-mb-1/failure_domain", "dangling reference to \"ab-1\""},
    {"\"host\": \"stock-mb-1\"", "\"host\": \"\"",
     "/services/stock/targets/0/host", "dangling reference to \"\""},
    {"\"service\": \"stock\", \"importance\": \"lookup\"",
     "\"service\": \"freight\", \"importance\": \"lookup\"",
     "/routes/~1stock/service", "dangling reference to \"freight\""},
    {"\"organisation\": \"coopers\"", "\"organisation\": \"redriver\"",
     "/keys/coopers-2026a/organisation", "dangling reference to \"redriver\""},
    // Key digests.
    {"\"burst\": 100", "\"burst\": 100, \"key_digests\": []",
     "/organisations/coopers/key_digests", "wrong type: expected an object"},
    {"\"burst\": 100", "\"burst\": 100, \"key_digests\": {\"\": \"QUFB\"}",
     "/organisations/coopers/key_digests/", "out of range"},
    {"\"burst\": 100", "\"burst\": 100, \"key_digests\": {\"x\": \"\"}",
     "/organisations/coopers/key_digests/x", "out of range"},
    {"\"burst\": 100",
     "\"burst\": 100, \"key_digests\": "
     "{\"\": \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\"}",
     "/organisations", "duplicate: a digest occurs twice"},
    {"\"burst\": 100",
     "\"burst\": 100, \"key_digests\": "
     "{\"\": \"n4bQgYhMfWWaL+qgxVrQFaO/\"}",
     "/organisations", "duplicate: key_digests has the digest of key"},
    // Home regions.
    {"\"rate\": 200", "\"rate\": 200, \"home_regions\": [\"ontario\"]",
     "/organisations/coopers/home_regions/0",
     "dangling reference to region \"ontario\""},
    {"\"timeout_ms\": 800", "\"timeout_ms\": 800, \"home_regions\": []",
     "/routes/~1stock/home_regions",
     "out of range: expected at least one region"},
    {"\"timeout_ms\": 800",
     "\"timeout_ms\": 800, \"home_regions\": [\"manitoba\", 7]",
     "/routes/~1stock/home_regions/1", "wrong type: expected a string"},
};

}  // namespace

// Guards against an invalid value that is accepted, reported at a wrong
// location, or reported together with follow-up findings.
BOOST_DATA_TEST_CASE(each_error_is_reported, data::make(kInvalidDocuments)) {
  const auto parsed = TryParse(Replace(sample.from, sample.to));
  BOOST_TEST(!parsed.value.has_value());
  BOOST_REQUIRE(parsed.findings.list().size() == 1);
  const Finding& finding = parsed.findings.list().front();
  BOOST_TEST(finding.location == sample.location);
  BOOST_TEST(finding.text.find(sample.text) != std::string::npos, finding.text);
  BOOST_TEST(finding.text.find("9f86d") == std::string::npos);
}

// Guards against reports of only the first error, so that an operator has to
// fix and retry for each one.
BOOST_AUTO_TEST_CASE(all_errors_are_reported_together) {
  std::string text = Replace("\"rate\": 200", "\"rate\": -1, \"speed\": 3");
  text.replace(text.find("\"version\": 12"), 13, "\"version\": 0");
  text.replace(text.find("\"timeout_ms\": 800"), 17, "\"timeout_s\": 1");
  BOOST_TEST(TryParse(text).findings.list().size() == 4);
}

// Guards against unbounded memory for the findings of a hostile document.
BOOST_AUTO_TEST_CASE(findings_are_bounded) {
  std::string members;
  for (int i = 0; i < 5000; ++i) {
    members += "\"x" + std::to_string(i) + "\": 1, ";
  }
  const auto parsed =
      TryParse(Replace("\"rate\": 200", members + "\"rate\": 200"));
  BOOST_TEST(parsed.findings.list().size() == LENTILCROSS_CONFIG_MAX_FINDINGS);
  BOOST_TEST(parsed.findings.omitted() == 4000);
}

// Guards against stack or memory exhaustion by a document.
BOOST_AUTO_TEST_CASE(hostile_documents_are_refused) {
  BOOST_TEST(!TryParse(std::string(1000000, '[')).value);
  const std::string deep = std::string(40, '[') + std::string(40, ']');
  BOOST_TEST(TryParse(deep).findings.list().front().text ==
             "nested too deeply");
  BOOST_TEST(
      !TryParse(std::string(LENTILCROSS_CONFIG_MAX_CONFIGURATION + 1, ' '))
           .value);
  BOOST_TEST(!TryParse("").value);
  BOOST_TEST(!TryParse("{\"version\": 1e999}").value);
}

// Documents of the largest fleet fit the platform only if compressed. Guards
// against a compressed document that is read in part or without a size limit.
BOOST_AUTO_TEST_CASE(compressed_documents_are_read_completely_or_refused) {
  const std::string compressed = Compress(kDocument);
  const auto parsed = TryParse(compressed);
  BOOST_REQUIRE(parsed.value);
  BOOST_TEST((*parsed.value)->version.value() == 12U);

  BOOST_TEST(
      TryParse(Compress("{\n  \"a\" 1")).findings.list().front().location ==
      "2:7");
  for (std::size_t size = 3; size < compressed.size(); ++size) {
    BOOST_TEST(!TryParse(compressed.substr(0, size)).value);
  }
  BOOST_TEST(TryParse(compressed + "x").findings.list().front().text ==
             "malformed gzip");
  std::string damaged = compressed;
  damaged[damaged.size() / 2] ^= 1;
  BOOST_TEST(!TryParse(damaged).value);

  const std::string blanks(LENTILCROSS_CONFIG_MAX_CONFIGURATION, ' ');
  BOOST_TEST(
      TryParse(Compress(kDocument + blanks)).findings.list().front().text ==
      "out of range: document larger than 4194304 bytes");
}

// Guards against a document that is valid here, but larger than the platform
// accepts.
BOOST_AUTO_TEST_CASE(documents_above_the_published_value_limit_are_refused) {
  const std::size_t room =
      LENTILCROSS_CONFIG_MAX_PUBLISHED_VALUE - kDocument.size();
  BOOST_TEST(bool(TryParse(kDocument + std::string(room, ' ')).value));
  BOOST_TEST(TryParse(kDocument + std::string(room + 1, ' '))
                 .findings.list()
                 .front()
                 .text ==
             "out of range: published value larger than 1048576 "
             "bytes");
}

// Guards against a syntax error that quotes a part of the document, which may
// be an API key.
BOOST_AUTO_TEST_CASE(syntax_errors_quote_nothing) {
  const auto parsed = TryParse("{\"keys\": \"secret-text\" \"secret-text\"}");
  BOOST_TEST(parsed.findings.Format("f").find("secret") == std::string::npos);
  BOOST_TEST(parsed.findings.list().front().location == "1:24");
}

// Guards against values that are stored in the wrong field or unit.
BOOST_AUTO_TEST_CASE(valid_document_is_read) {
  const auto parsed = TryParse(kDocument);
  BOOST_REQUIRE_MESSAGE(parsed.value, parsed.findings.Format("document"));
  const Configuration& configuration = **parsed.value;
  BOOST_TEST(configuration.version.value() == 12);
  BOOST_TEST(configuration.preset.name == "ordinary");
  BOOST_TEST(
      (configuration.preset.max_queue_time == std::chrono::milliseconds(50)));
  BOOST_TEST(configuration.presets.at("peak").extra_attempts == 2);
  BOOST_TEST(configuration.hosts.size() == 2);
  const auto& key = configuration.keys.at(KeyId::FromName("coopers-2026a"));
  BOOST_TEST((key.organisation == OrganisationId::FromName("coopers")));
  BOOST_TEST(key.sha256[0] == 0x9f);
  const auto& domain =
      configuration.failure_domains.at(FailureDomainId::FromName("mb-1"));
  BOOST_TEST(domain.share == 0.5);
}

// Guards against a version that is refused as a whole, with the keys that it
// withdraws, because the prefix of one route is percent encoded (review/5).
BOOST_AUTO_TEST_CASE(prefix_behind_a_host_may_be_percent_encoded) {
  const auto parsed =
      TryParse(Replace("\"/stock/deep/\"", "\"shop.example/d%C3%A9p/\""));
  BOOST_REQUIRE_MESSAGE(parsed.value, parsed.findings.Format("document"));
  const Configuration& configuration = **parsed.value;
  const RouteEntry* route =
      configuration.FindRoute("shop.example", "/d%C3%A9p/1?x=%2F");
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST(route->prefix == "/d%C3%A9p/");
  // Not decoded, so that another spelling is another path.
  const RouteEntry* other =
      configuration.FindRoute("shop.example", "/d%c3%a9p/1");
  BOOST_TEST((other == nullptr || other->prefix != route->prefix));
  BOOST_TEST(!TryParse(Replace("\"/stock/deep/\"", "\"/d%C3%A9p/\"")).value);
}

// Guards against shares that default to 0.
BOOST_AUTO_TEST_CASE(shares_default_to_equal_parts) {
  std::string text = Replace(", \"share\": 0.5", "");
  const std::size_t offset = text.find(", \"share\": 0.5");
  const auto parsed = TryParse(text.erase(offset, 14));
  BOOST_REQUIRE(parsed.value);
  for (const auto& [id, domain] : (*parsed.value)->failure_domains) {
    BOOST_TEST(domain.share == 0.5);
  }
}

// Guards against a request that gets the rules of another route: because of a
// prefix that ends within a segment, of dot segments, or of a query.
BOOST_AUTO_TEST_CASE(longest_prefix_on_a_segment_boundary) {
  const auto parsed = TryParse(kDocument);
  BOOST_REQUIRE(parsed.value);
  const auto prefix = [&](std::string_view path) -> std::string {
    const RouteEntry* route = (*parsed.value)->FindRoute(path);
    return route == nullptr ? "none" : route->prefix;
  };
  BOOST_TEST(prefix("/stock") == "/stock");
  BOOST_TEST(prefix("/stock/") == "/stock");
  BOOST_TEST(prefix("/stock?a=/stock/deep") == "/stock");
  BOOST_TEST(prefix("/stock/deep") == "/stock/deep");
  BOOST_TEST(prefix("/stock/deep/er/x") == "/stock/deep");
  BOOST_TEST(prefix("/stock/deeper") == "/stock");
  BOOST_TEST(prefix("/stocks") == "/");
  BOOST_TEST(prefix("/") == "/");
  BOOST_TEST(prefix("/" + std::string(8000, '/')) == "/");
  BOOST_TEST(prefix("") == "none");
  BOOST_TEST(prefix("stock") == "none");
  BOOST_TEST(prefix("/stock/../x") == "none");
  BOOST_TEST(prefix("/stock/%2E%2e/x") == "none");
  BOOST_TEST(prefix("/stock/./x") == "none");
  BOOST_TEST(prefix("/stock/.hidden...") == "/stock");
}

// Guards against example configurations that are no longer valid, or do not
// match the sizes of the two deployments.
BOOST_DATA_TEST_CASE(sample_configurations_are_valid,
                     data::make({"cedarhoop", "brierley"})) {
  const std::string path =
      "examples/configurations/" + std::string(sample) + ".jsonc";
  const auto parsed = TryParse(ReadFile(path));
  BOOST_REQUIRE_MESSAGE(parsed.value, parsed.findings.Format(path));
  const Configuration& configuration = **parsed.value;
  BOOST_TEST(configuration.failure_domains.size() == 6);
  BOOST_TEST(configuration.services.size() == 4);
  for (const auto& [id, service] : configuration.services) {
    BOOST_TEST(service.targets.size() == 6);
  }
  BOOST_TEST(configuration.hosts.size() == 24);
  BOOST_TEST(configuration.organisations.size() == 8);
  BOOST_TEST(configuration.presets.size() == 3);
  int not_idempotent = 0;
  for (const RouteEntry& route : configuration.routes) {
    if (!route.idempotent) ++not_idempotent;
  }
  BOOST_TEST(not_idempotent == 1);
}

}  // namespace lentilcross
