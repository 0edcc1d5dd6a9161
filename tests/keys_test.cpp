#include "lentilcross/keys.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace lentilcross {
namespace {

std::string Hex(const Sha256Digest& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const std::uint8_t byte : digest) {
    hex += kDigits[byte / 16];
    hex += kDigits[byte % 16];
  }
  return hex;
}

Configuration MakeConfiguration(std::uint64_t version) {
  Configuration configuration;
  configuration.version = Version(version);
  return configuration;
}

void AddKey(Configuration& configuration, const std::string& name,
            const std::string& organisation, std::string_view key,
            bool withdrawn = false) {
  KeyEntry entry;
  entry.id = KeyId::FromName(name);
  entry.name = name;
  entry.organisation = OrganisationId::FromName(organisation);
  entry.sha256 = Sha256(key);
  entry.withdrawn = withdrawn;
  configuration.keys[entry.id] = entry;
}

void AddUnnamedKeys(Configuration& configuration,
                    const std::string& organisation,
                    const std::vector<std::string>& keys) {
  auto all = *configuration.unnamed_keys;
  for (const std::string& key : keys) {
    all.push_back(
        {ToKeyDigest(Sha256(key)), OrganisationId::FromName(organisation)});
  }
  std::sort(all.begin(), all.end(),
            [](const UnnamedKey& a, const UnnamedKey& b) {
              return a.digest < b.digest;
            });
  configuration.unnamed_keys =
      std::make_shared<const std::vector<UnnamedKey>>(std::move(all));
}

}  // namespace

// Guards against digests that differ from those of common tools, with which
// operators compute them. Vectors: FIPS 180-2 "abc", RFC 4231 test case 2.
BOOST_AUTO_TEST_CASE(digests_match_published_vectors) {
  BOOST_TEST(
      Hex(Sha256("abc")) ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  BOOST_TEST(
      Hex(HmacSha256("Jefe", "what do ya want for nothing?")) ==
      "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  BOOST_TEST(
      Hex(HmacSha256("", "")) ==
      "b613679a0814d9ec772f95d778c35fc5ff1697c493715653c6c712144292c5ad");
}

// Guards against a comparison of only a part of the digest.
BOOST_AUTO_TEST_CASE(comparison_covers_every_byte) {
  const Sha256Digest digest = Sha256("key");
  BOOST_TEST(EqualConstantTime(digest, digest));
  for (std::size_t i = 0; i < digest.size(); ++i) {
    Sha256Digest other = digest;
    other[i] ^= 1;
    BOOST_TEST(!EqualConstantTime(digest, other));
  }
}

// Guards against a request that is attributed to another organisation than that
// of its key.
BOOST_AUTO_TEST_CASE(key_finds_its_organisation) {
  Configuration configuration = MakeConfiguration(1);
  AddKey(configuration, "a", "coopers", "key-a");
  AddKey(configuration, "b", "redriver", "key-b");
  AddKey(configuration, "c", "redriver", "key-c", /*withdrawn=*/true);
  KeyRing ring;
  ring.Apply(configuration);
  const auto found = ring.Find("key-b");
  BOOST_TEST((found.reason == Reason::kNone));
  BOOST_TEST((found.organisation == OrganisationId::FromName("redriver")));
  BOOST_TEST(ring.IsStillValid(found));
  BOOST_TEST((ring.Find("key-x").reason == Reason::kUnknownKey));
  BOOST_TEST((ring.Find("").reason == Reason::kMissingKey));
  BOOST_TEST((ring.Find("key-c").reason == Reason::kWithdrawnKey));
  BOOST_TEST(!ring.IsStillValid(ring.Find("key-c")));
  BOOST_TEST(!ring.IsStillValid(KeyRing::Lookup{}));
}

// Guards against a key that stays valid, on an open connection or for a queued
// request, after it was withdrawn, removed, replaced or assigned to another
// organisation.
BOOST_AUTO_TEST_CASE(changed_keys_are_invalid_after_an_update) {
  Configuration first = MakeConfiguration(1);
  for (const char* name : {"kept", "withdrawn", "removed", "moved", "rolled"}) {
    AddKey(first, name, "coopers", name);
  }
  KeyRing ring;
  ring.Apply(first);
  const auto kept = ring.Find("kept");
  const auto withdrawn = ring.Find("withdrawn");
  const auto removed = ring.Find("removed");
  const auto moved = ring.Find("moved");
  const auto rolled = ring.Find("rolled");

  Configuration second = MakeConfiguration(2);
  AddKey(second, "kept", "coopers", "kept");
  AddKey(second, "withdrawn", "coopers", "withdrawn", /*withdrawn=*/true);
  AddKey(second, "moved", "redriver", "moved");
  AddKey(second, "rolled", "coopers", "new key");
  ring.Apply(second);
  BOOST_TEST(ring.IsStillValid(kept));
  BOOST_TEST(!ring.IsStillValid(withdrawn));
  BOOST_TEST(!ring.IsStillValid(removed));
  BOOST_TEST(!ring.IsStillValid(moved));
  BOOST_TEST(!ring.IsStillValid(rolled));
  BOOST_TEST((ring.Find("removed").reason == Reason::kUnknownKey));
  BOOST_TEST((ring.Find("rolled").reason == Reason::kUnknownKey));
  BOOST_TEST((ring.Find("new key").reason == Reason::kNone));

  // An older version that arrives late restores no key.
  ring.Apply(first);
  BOOST_TEST(!ring.IsStillValid(withdrawn));
  BOOST_TEST((ring.Find("removed").reason == Reason::kUnknownKey));
}

// Guards against a key without a name that stays valid after it was left out or
// assigned to another organisation, and against one that is refused because
// other keys changed.
BOOST_AUTO_TEST_CASE(unnamed_keys_follow_the_versions) {
  Configuration first = MakeConfiguration(1);
  AddKey(first, "named", "coopers", "key-n");
  AddUnnamedKeys(first, "coopers", {"kept", "removed", "moved"});
  KeyRing ring;
  ring.Apply(first);
  const auto kept = ring.Find("kept");
  const auto removed = ring.Find("removed");
  const auto moved = ring.Find("moved");
  BOOST_TEST((kept.reason == Reason::kNone));
  BOOST_TEST((kept.organisation == OrganisationId::FromName("coopers")));
  BOOST_TEST((ring.Find("key-n").reason == Reason::kNone));
  BOOST_TEST((ring.Find("other").reason == Reason::kUnknownKey));

  Configuration second = MakeConfiguration(2);
  AddKey(second, "named", "coopers", "key-n");
  AddUnnamedKeys(second, "coopers", {"added", "kept"});
  AddUnnamedKeys(second, "redriver", {"moved"});
  ring.Apply(second);
  BOOST_TEST(ring.IsStillValid(kept));
  BOOST_TEST(!ring.IsStillValid(removed));
  BOOST_TEST(!ring.IsStillValid(moved));
  BOOST_TEST((ring.Find("removed").reason == Reason::kUnknownKey));
  BOOST_TEST((ring.Find("moved").organisation ==
              OrganisationId::FromName("redriver")));
  BOOST_TEST(ring.IsStillValid(ring.Find("added")));

  // A key that comes back does not revive what was found before.
  Configuration third = MakeConfiguration(3);
  AddUnnamedKeys(third, "coopers", {"removed", "kept"});
  ring.Apply(third);
  BOOST_TEST(ring.IsStillValid(kept));
  BOOST_TEST(!ring.IsStillValid(removed));
  BOOST_TEST((ring.Find("removed").reason == Reason::kNone));
}

}  // namespace lentilcross
