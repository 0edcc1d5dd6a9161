#include "lentilcross/keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <stdexcept>
#include <utility>

#include "hex.h"

namespace lentilcross {
namespace {

std::uint64_t DigestPrefix(const Sha256Digest& digest) {
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, digest.data(), sizeof(prefix));
  return prefix;
}

}  // namespace

Sha256Digest Sha256(std::string_view bytes) {
  // EVP_sha256 would make each call look the algorithm up by its name.
  static const EVP_MD* const kAlgorithm =
      EVP_MD_fetch(nullptr, "SHA256", nullptr);
  Sha256Digest digest{};
  if (kAlgorithm == nullptr ||
      EVP_Digest(bytes.data(), bytes.size(), digest.data(), nullptr, kAlgorithm,
                 nullptr) != 1) {
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
  // With a null key, OpenSSL would reuse the key of an earlier call.
  const char* key_data = key.empty() ? "" : key.data();
  if (HMAC(EVP_sha256(), key_data, static_cast<int>(key.size()), data,
           bytes.size(), mac.data(), &size) == nullptr) {
    throw std::runtime_error("HMAC-SHA-256 is not available");
  }
  return mac;
}

KeyDigest ToKeyDigest(const Sha256Digest& digest) {
  KeyDigest prefix{};
  std::copy_n(digest.begin(), prefix.size(), prefix.begin());
  return prefix;
}

const UnnamedKey* FindUnnamedKey(const std::vector<UnnamedKey>& keys,
                                 const KeyDigest& digest) {
  const std::uint64_t prefix = LoadBigEndian64(digest, 0);
  auto it = std::lower_bound(keys.begin(), keys.end(), prefix,
                             [](const UnnamedKey& key, std::uint64_t wanted) {
                               return LoadBigEndian64(key.digest, 0) < wanted;
                             });
  // As with named keys, only the prefix takes part in the search.
  for (; it != keys.end() && LoadBigEndian64(it->digest, 0) == prefix; ++it) {
    if (CRYPTO_memcmp(it->digest.data(), digest.data(), digest.size()) == 0) {
      return &*it;
    }
  }
  return nullptr;
}

bool EqualConstantTime(const Sha256Digest& a, const Sha256Digest& b) {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

void KeyRing::Apply(const Configuration& configuration) {
  // A new fleet of hosts comes with an unchanged version.
  if (configuration.version <= version_) return;
  std::unordered_map<KeyId, Entry> entries;
  entries.reserve(configuration.keys.size());
  by_digest_.clear();
  for (const auto& [id, key] : configuration.keys) {
    entries.emplace(id, Entry{key, SinceVersion(key, configuration.version)});
    by_digest_.emplace(DigestPrefix(key.sha256), id);
  }
  entries_ = std::move(entries);
  ApplyUnnamed(configuration);
  version_ = configuration.version;
}

void KeyRing::ApplyUnnamed(const Configuration& configuration) {
  const std::vector<UnnamedKey>& keys = *configuration.unnamed_keys;
  std::vector<Version> since(keys.size(), configuration.version);
  auto known = unnamed_->begin();
  for (std::size_t i = 0; i < keys.size(); ++i) {
    while (known != unnamed_->end() && known->digest < keys[i].digest) ++known;
    if (known == unnamed_->end()) break;
    if (known->digest != keys[i].digest) continue;
    if (known->organisation != keys[i].organisation) continue;
    since[i] =
        unnamed_since_[static_cast<std::size_t>(known - unnamed_->begin())];
  }
  unnamed_ = configuration.unnamed_keys;
  unnamed_since_ = std::move(since);
}

KeyRing::Lookup KeyRing::Find(std::string_view presented) const {
  Lookup lookup;
  if (presented.empty()) {
    lookup.reason = Reason::kMissingKey;
    return lookup;
  }
  // The time of the index lookup depends only on the digest of the presented
  // key. It reveals nothing about the digests of other keys, because a caller
  // cannot choose a key by its digest.
  const Sha256Digest digest = Sha256(presented);
  lookup.digest = ToKeyDigest(digest);
  const auto [first, last] = by_digest_.equal_range(DigestPrefix(digest));
  for (auto it = first; it != last; ++it) {
    const Entry& entry = entries_.at(it->second);
    if (!EqualConstantTime(entry.key.sha256, digest)) continue;
    lookup.key = entry.key.id;
    lookup.organisation = entry.key.organisation;
    lookup.since_version = entry.since_version;
    lookup.reason = entry.key.withdrawn ? Reason::kWithdrawnKey : Reason::kNone;
    // If several keys have this digest and one is withdrawn, none is valid.
    if (entry.key.withdrawn) break;
  }
  if (lookup.key.valid()) return lookup;
  if (const auto index = FindUnnamed(lookup.digest)) {
    lookup.organisation = (*unnamed_)[*index].organisation;
    lookup.since_version = unnamed_since_[*index];
    lookup.reason = Reason::kNone;
  }
  return lookup;
}

std::optional<std::size_t> KeyRing::FindUnnamed(const KeyDigest& digest) const {
  const UnnamedKey* key = FindUnnamedKey(*unnamed_, digest);
  if (key == nullptr) return std::nullopt;
  return static_cast<std::size_t>(key - unnamed_->data());
}

bool KeyRing::IsStillValid(const Lookup& found) const {
  if (found.reason != Reason::kNone) return false;
  if (!found.key.valid()) {
    const auto index = FindUnnamed(found.digest);
    return index && unnamed_since_[*index] == found.since_version;
  }
  const auto it = entries_.find(found.key);
  if (it == entries_.end()) return false;
  const Entry& entry = it->second;
  return !entry.key.withdrawn && entry.since_version == found.since_version;
}

Version KeyRing::SinceVersion(const KeyEntry& key, Version version) const {
  const auto it = entries_.find(key.id);
  if (it == entries_.end()) return version;
  const Entry& known = it->second;
  const bool same = known.key.organisation == key.organisation &&
                    EqualConstantTime(known.key.sha256, key.sha256);
  return same ? known.since_version : version;
}

}  // namespace lentilcross
