#include "lentilcross/keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <limits>
#include <stdexcept>
#include <utility>

namespace lentilcross {

Sha256Digest Sha256(std::string_view bytes) {
  Sha256Digest digest{};
  if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), nullptr,
                 EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("SHA-256 is not available");
  }
  return digest;
}

Sha256Digest HmacSha256(std::string_view key, std::string_view bytes) {
  if (key.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
    throw std::invalid_argument("HMAC key too long");
  }
  Sha256Digest mac{};
  unsigned int size = 0;
  const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
  // A null key would make OpenSSL reuse the key of an earlier call.
  const char* key_data = key.empty() ? "" : key.data();
  if (HMAC(EVP_sha256(), key_data, static_cast<int>(key.size()), data,
           bytes.size(), mac.data(), &size) == nullptr) {
    throw std::runtime_error("HMAC-SHA-256 is not available");
  }
  return mac;
}

bool EqualConstantTime(const Sha256Digest& a, const Sha256Digest& b) {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

void KeyRing::Apply(const Configuration& configuration) {
  if (configuration.version < version_) return;
  std::vector<Entry> entries;
  entries.reserve(configuration.keys.size());
  for (const auto& [id, key] : configuration.keys) {
    entries.push_back({key, SinceOf(key, configuration.version)});
  }
  entries_ = std::move(entries);
  version_ = configuration.version;
}

KeyRing::Lookup KeyRing::Find(std::string_view presented) const {
  Lookup lookup;
  if (presented.empty()) {
    lookup.reason = Reason::kMissingKey;
    return lookup;
  }
  const Sha256Digest digest = Sha256(presented);
  const Entry* match = nullptr;
  for (const Entry& entry : entries_) {
    if (EqualConstantTime(entry.key.sha256, digest)) match = &entry;
  }
  if (match == nullptr) return lookup;
  lookup.key = match->key.id;
  lookup.organisation = match->key.organisation;
  lookup.since = match->since;
  lookup.reason = match->key.withdrawn ? Reason::kWithdrawnKey : Reason::kNone;
  return lookup;
}

bool KeyRing::IsGood(const Lookup& found) const {
  if (found.reason != Reason::kNone) return false;
  for (const Entry& entry : entries_) {
    if (entry.key.id != found.key) continue;
    return !entry.key.withdrawn && entry.since == found.since;
  }
  return false;
}

/// Version since which a key has its digest and its organisation.
Version KeyRing::SinceOf(const KeyEntry& key, Version version) const {
  for (const Entry& entry : entries_) {
    const bool same = entry.key.id == key.id &&
                      entry.key.organisation == key.organisation &&
                      EqualConstantTime(entry.key.sha256, key.sha256);
    if (same) return entry.since;
  }
  return version;
}

}  // namespace lentilcross
