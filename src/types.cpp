#include "lentilcross/types.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lentilcross {
namespace {

constexpr std::array<std::string_view, kImportanceCount> kImportanceNames = {
    "background", "lookup", "standard", "critical"};

}  // namespace

std::uint64_t HashName(std::string_view name) {
  const std::uint64_t hash = XXH64(name.data(), name.size(), 0);
  return hash == 0 ? 1 : hash;  // 0 is the invalid identifier
}

std::uint64_t CombineHash(std::uint64_t a, std::uint64_t b) {
  const std::array<std::uint64_t, 2> words = {a, b};
  return XXH64(words.data(), sizeof(words), 0);
}

std::string_view ToString(Importance importance) {
  return kImportanceNames[static_cast<std::size_t>(importance)];
}

std::optional<Importance> ParseImportance(std::string_view text) {
  for (std::size_t i = 0; i < kImportanceNames.size(); ++i) {
    if (kImportanceNames[i] == text) return static_cast<Importance>(i);
  }
  return std::nullopt;
}

}  // namespace lentilcross
