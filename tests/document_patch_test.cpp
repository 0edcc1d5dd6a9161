#include "document_patch.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace lentilcross {
namespace {

using Json = nlohmann::json;

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

/// A value of any kind, of which two are often alike.
Json RandomValue(std::mt19937_64& random, int depth) {
  const auto below = [&random](std::uint64_t end) { return random() % end; };
  switch (below(depth > 0 ? 8 : 6)) {
    case 0:
      return nullptr;
    case 1:
      return below(2) == 0;
    case 2:
      return static_cast<std::int64_t>(below(4)) - 2;
    case 3:
      return below(std::uint64_t{1} << below(64));
    case 4:
      return static_cast<double>(below(100)) / 7;
    case 5:
      return std::string(below(300), 'x');
    case 6: {
      Json array = Json::array();
      for (auto left = below(4); left > 0; --left) {
        array.push_back(RandomValue(random, depth - 1));
      }
      return array;
    }
    default: {
      Json object = Json::object();
      for (auto left = below(30); left > 0; --left) {
        object[std::string(below(3), '~') + "/" + std::to_string(below(40))] =
            RandomValue(random, depth - 1);
      }
      return object;
    }
  }
}

Json RandomObject(std::mt19937_64& random) {
  Json object = {{"a", RandomValue(random, 4)}, {"b", RandomValue(random, 4)}};
  if (random() % 2 == 0) object["c"] = RandomValue(random, 4);
  return object;
}

}  // namespace

// Guards against a delta after which a host has another document than the one
// that sent it.
BOOST_AUTO_TEST_CASE(patches_lead_from_one_document_to_the_other) {
  std::mt19937_64 random(20261207);
  for (int round = 0; round < 3000; ++round) {
    const Json from = RandomObject(random);
    Json to = random() % 2 == 0 ? RandomObject(random) : from;
    to["b"] = RandomValue(random, 3);
    const auto patch = MakeCborPatch(ToCbor(from), ToCbor(to), 1 << 20);
    BOOST_REQUIRE(patch);
    const Json operations = Json::from_cbor(*patch);
    BOOST_REQUIRE_EQUAL(from.patch(operations), to);
    BOOST_REQUIRE_EQUAL(ToCbor(operations), *patch);
  }
}

// Guards against a delta that names what did not change.
BOOST_AUTO_TEST_CASE(equal_documents_have_an_empty_patch) {
  std::mt19937_64 random(20261207);
  const std::string document = ToCbor(RandomObject(random));
  BOOST_TEST(MakeCborPatch(document, document, 0).value() ==
             ToCbor(Json::array()));
}

// Guards against a delta between documents that have little in common, which
// takes more memory than the documents.
BOOST_AUTO_TEST_CASE(patches_above_the_limit_are_given_up) {
  Json from = Json::object();
  Json to = Json::object();
  for (int i = 0; i < 1000; ++i) to[std::to_string(i)] = i;
  const auto patch = MakeCborPatch(ToCbor(from), ToCbor(to), 1 << 20);
  BOOST_REQUIRE(patch);
  BOOST_TEST(bool(MakeCborPatch(ToCbor(from), ToCbor(to), patch->size())));
  BOOST_TEST(!MakeCborPatch(ToCbor(from), ToCbor(to), patch->size() / 2));
}

}  // namespace lentilcross
