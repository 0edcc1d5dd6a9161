#include "key_digests.h"

#include <algorithm>
#include <cstring>
#include <string_view>

#include "base64.h"
#include "hex.h"
#include "json_reader.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

/// Mean number of digests in a group at which groups are split by one more
/// digit.
constexpr std::size_t kGroupSize = 64;
constexpr std::size_t kMaxGroupDigits = 4;

std::size_t GroupDigits(std::size_t digests) {
  std::size_t digits = 0;
  for (std::size_t room = kGroupSize;
       room < digests && digits < kMaxGroupDigits; room *= 16) {
    ++digits;
  }
  return digits;
}

std::string_view ToText(const KeyDigest* first, std::size_t count) {
  return {reinterpret_cast<const char*>(first), count * sizeof(KeyDigest)};
}

bool IsGroupName(std::string_view name) {
  return name.size() <= kMaxGroupDigits &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return HexDigit(c) >= 0; });
}

}  // namespace

Json WriteKeyDigests(const std::vector<KeyDigest>& digests) {
  Json groups = Json::object();
  const std::size_t digits = GroupDigits(digests.size());
  const auto name_of = [digits](const KeyDigest& digest) {
    return ToHex(digest).substr(0, digits);
  };
  for (std::size_t begin = 0; begin < digests.size();) {
    const std::string name = name_of(digests[begin]);
    std::size_t end = begin + 1;
    while (end < digests.size() && name_of(digests[end]) == name) ++end;
    groups[name] = EncodeBase64(ToText(&digests[begin], end - begin));
    begin = end;
  }
  return groups;
}

void ReadKeyDigests(const Json& groups, const std::string& place,
                    OrganisationId organisation, Findings& findings,
                    std::vector<UnnamedKey>& out) {
  if (!groups.is_object()) {
    findings.Add(place, "wrong type: expected an object");
    return;
  }
  for (const auto& [name, value] : groups.items()) {
    std::optional<std::string> bytes;
    if (value.is_string() && IsGroupName(name)) {
      bytes = DecodeBase64(value.get_ref<const std::string&>());
    }
    if (!bytes || bytes->size() % sizeof(KeyDigest) != 0) {
      findings.Add(JoinPointer(place, name),
                   "out of range: expected up to " +
                       std::to_string(kMaxGroupDigits) +
                       " hexadecimal digits, and digests of " +
                       std::to_string(sizeof(KeyDigest)) + " bytes in base64");
      continue;
    }
    for (std::size_t i = 0; i < bytes->size(); i += sizeof(KeyDigest)) {
      UnnamedKey key;
      std::memcpy(key.digest.data(), bytes->data() + i, sizeof(KeyDigest));
      key.organisation = organisation;
      out.push_back(key);
    }
  }
}

}  // namespace lentilcross
