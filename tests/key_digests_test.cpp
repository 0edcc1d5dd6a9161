#include "key_digests.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "lentilcross/keys.h"
#include "published_document.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

std::vector<KeyDigest> MakeDigests(std::size_t count) {
  std::vector<KeyDigest> digests;
  for (std::size_t i = 0; i < count; ++i) {
    digests.push_back(ToKeyDigest(Sha256("key " + std::to_string(i))));
  }
  std::sort(digests.begin(), digests.end());
  return digests;
}

DocumentPointer MakeDocument(std::uint64_t version,
                             const std::vector<KeyDigest>& digests) {
  const Json document = {{"version", version},
                         {"preset", "ordinary"},
                         {"presets", {{"ordinary", {{"queue_ms", 50}}}}},
                         {"failure_domains", Json::object()},
                         {"hosts", Json::object()},
                         {"services", Json::object()},
                         {"routes", Json::object()},
                         {"keys", Json::object()},
                         {"organisations",
                          {{"coopers",
                            {{"rate", 1},
                             {"burst", 1},
                             {"key_digests", WriteKeyDigests(digests)}}}}}};
  Findings findings;
  DocumentStore store;
  auto result = store.FromJson(document, findings);
  BOOST_REQUIRE_MESSAGE(result, findings.Format("document"));
  return result;
}

}  // namespace

// Guards against keys that are lost or added between the writer and a reader.
BOOST_AUTO_TEST_CASE(written_digests_are_read_back) {
  for (const std::size_t count : {0, 1, 64, 65, 1024, 1025, 20000}) {
    const auto digests = MakeDigests(count);
    const auto read = MakeDocument(1, digests)->configuration->unnamed_keys;
    BOOST_REQUIRE(read->size() == count);
    for (std::size_t i = 0; i < count; ++i) {
      BOOST_REQUIRE(((*read)[i].digest == digests[i]));
    }
  }
}

// Guards against a withdrawal that sends all keys to all hosts, and against a
// delta after which a host has other keys than the one that sent it.
BOOST_AUTO_TEST_CASE(delta_for_one_key_is_small) {
  auto digests = MakeDigests(45000);
  const auto before = MakeDocument(1, digests);
  digests.erase(digests.begin() + 20000);
  const auto after = MakeDocument(2, digests);
  const auto patch = MakePatch(*before, *after, 4096);
  BOOST_REQUIRE(patch);
  Findings findings;
  DocumentStore store;
  const auto patched = store.FromPatch(*before, *patch, findings);
  BOOST_REQUIRE(patched);
  BOOST_TEST(patched->checksum == after->checksum);
  BOOST_TEST(patched->configuration->unnamed_keys->size() == 44999U);
}

}  // namespace lentilcross
