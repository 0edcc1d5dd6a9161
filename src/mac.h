#pragma once

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstddef>

#include "lentilcross/types.h"

namespace lentilcross {

/// HMAC-SHA-256 of a fixed-size record by a process secret.
template <std::size_t kSize>
Sha256Digest Mac(const Sha256Digest& secret,
                 const std::array<std::uint8_t, kSize>& record) {
  Sha256Digest mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       record.data(), record.size(), mac.data(), &size);
  return mac;
}

}  // namespace lentilcross
