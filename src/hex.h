#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilcross {

template <std::size_t kSize>
std::string ToHex(const std::array<std::uint8_t, kSize>& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * kSize);
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

/// Value of a lower-case hex digit, or -1.
inline int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

/// Accepts lower-case hex only, so that each value has one representation.
template <std::size_t kSize>
std::optional<std::array<std::uint8_t, kSize>> FromHex(std::string_view text) {
  if (text.size() != 2 * kSize) return std::nullopt;
  std::array<std::uint8_t, kSize> bytes{};
  for (std::size_t i = 0; i < kSize; ++i) {
    const int high = HexDigit(text[2 * i]);
    const int low = HexDigit(text[2 * i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return bytes;
}

/// Writes `value` at byte `offset`.
template <std::size_t kSize>
void StoreBigEndian64(std::array<std::uint8_t, kSize>& bytes,
                      std::size_t offset, std::uint64_t value) {
  for (std::size_t i = 0; i < 8; ++i) {
    bytes[offset + i] = static_cast<std::uint8_t>(value >> (56 - 8 * i));
  }
}

template <std::size_t kSize>
std::uint64_t LoadBigEndian64(const std::array<std::uint8_t, kSize>& bytes,
                              std::size_t offset) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < 8; ++i) value = value << 8 | bytes[offset + i];
  return value;
}

}  // namespace lentilcross
