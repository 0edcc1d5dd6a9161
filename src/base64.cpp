#include "base64.h"

#include <openssl/evp.h>

namespace lentilcross {
namespace {

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  // EVP_EncodeBlock adds a terminating zero.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(Bytes(text), Bytes(bytes),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(Bytes(bytes), Bytes(text), static_cast<int>(text.size()));
  // A smaller size means that blanks at an end were skipped.
  if (size < 0 || static_cast<std::size_t>(size) != bytes.size()) {
    return std::nullopt;
  }
  // EVP_DecodeBlock counts the padding as zero bytes.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace lentilcross
