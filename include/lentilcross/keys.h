#pragma once

#include <string_view>
#include <unordered_map>

#include "lentilcross/configuration.h"
#include "lentilcross/error.h"
#include "lentilcross/types.h"

namespace lentilcross {

Sha256Digest Sha256(std::string_view bytes);
Sha256Digest HmacSha256(std::string_view key, std::string_view bytes);
/// The same, with a secret and a record of fixed sizes.
template <std::size_t kSize>
Sha256Digest HmacSha256(const Sha256Digest& secret,
                        const std::array<std::uint8_t, kSize>& record) {
  const auto text = [](const auto& bytes) {
    return std::string_view(reinterpret_cast<const char*>(bytes.data()),
                            bytes.size());
  };
  return HmacSha256(text(secret), text(record));
}
/// Compares in time that does not depend on the content.
bool EqualConstantTime(const Sha256Digest& a, const Sha256Digest& b);

/// Finds the organisation of a presented key by its digest.
class KeyRing {
 public:
  struct Lookup {
    Reason reason = Reason::kUnknownKey;  ///< `kNone` if the key is good.
    KeyId key;
    OrganisationId organisation;
    /// Version that brought the digest and the organisation of the key.
    Version since;
  };

  /// Takes over all keys of a configuration. Ignored if its version is lower
  /// than that of the last one. Keys that it does not list stop working.
  void Apply(const Configuration& configuration);

  /// Looks up the SHA-256 digest of a key: `kNone`, `kMissingKey` if empty,
  /// `kUnknownKey` or `kWithdrawnKey`. Digests are compared in constant time.
  Lookup Find(std::string_view presented) const;
  /// Checks again a key found before, for a request that left a queue or came
  /// on a connection opened earlier. False if the key was withdrawn, is no
  /// longer listed, or got another digest or organisation.
  bool IsStillValid(const Lookup& found) const;

 private:
  struct Entry {
    KeyEntry key;
    Version since;
  };

  Version SinceOf(const KeyEntry& key, Version version) const;

  Version version_;
  std::unordered_map<KeyId, Entry> entries_;
  /// By the first 64 bits of the digest.
  std::unordered_multimap<std::uint64_t, KeyId> by_digest_;
};

}  // namespace lentilcross
