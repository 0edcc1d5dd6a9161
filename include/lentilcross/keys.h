#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/error.h"
#include "lentilcross/types.h"

namespace lentilcross {

Sha256Digest Sha256(std::string_view bytes);
Sha256Digest HmacSha256(std::string_view key, std::string_view bytes);
/// Overload for a secret and a record of fixed sizes.
template <std::size_t kSize>
Sha256Digest HmacSha256(const Sha256Digest& secret,
                        const std::array<std::uint8_t, kSize>& record) {
  const auto text = [](const auto& bytes) {
    return std::string_view(reinterpret_cast<const char*>(bytes.data()),
                            bytes.size());
  };
  return HmacSha256(text(secret), text(record));
}
/// Compares in time independent of the content.
bool EqualConstantTime(const Sha256Digest& a, const Sha256Digest& b);

KeyDigest ToKeyDigest(const Sha256Digest& digest);
/// Searches keys that are sorted by digest, and compares digests in constant
/// time. Null if there is none.
const UnnamedKey* FindUnnamedKey(const std::vector<UnnamedKey>& keys,
                                 const KeyDigest& digest);

/// The API keys of the current configuration, found by their digests.
class KeyRing {
 public:
  struct Lookup {
    Reason reason = Reason::kUnknownKey;  ///< `kNone` if the key is valid.
    KeyId key;                            ///< Invalid if the key has no name.
    KeyDigest digest{};
    OrganisationId organisation;
    /// Configuration version that introduced this digest and organisation.
    Version since_version;
  };

  /// Replaces all keys by those of `configuration`. Ignores a version that is
  /// not higher than the last one applied.
  void Apply(const Configuration& configuration);

  /// Looks up a key in plain text by its SHA-256 digest. The reason is `kNone`,
  /// `kMissingKey` if `presented` is empty, `kUnknownKey` or `kWithdrawnKey`.
  /// Compares digests in constant time.
  Lookup Find(std::string_view presented) const;
  /// Rechecks a key found earlier, for a request that waited in a queue or came
  /// on an open connection. False if the key was withdrawn or removed, or if
  /// its digest or organisation changed.
  bool IsStillValid(const Lookup& found) const;

 private:
  struct Entry {
    KeyEntry key;
    Version since_version;
  };

  /// Version that introduced the digest and organisation of `key`: `version` if
  /// they are new or changed.
  Version SinceVersion(const KeyEntry& key, Version version) const;
  void ApplyUnnamed(const Configuration& configuration);
  /// Index of a key in `unnamed_`, if it is there.
  std::optional<std::size_t> FindUnnamed(const KeyDigest& digest) const;

  Version version_;
  std::unordered_map<KeyId, Entry> entries_;
  /// By the first 64 bits of the digest.
  std::unordered_multimap<std::uint64_t, KeyId> by_digest_;
  std::shared_ptr<const std::vector<UnnamedKey>> unnamed_ =
      std::make_shared<std::vector<UnnamedKey>>();
  /// Version that introduced each of `unnamed_`.
  std::vector<Version> unnamed_since_;
};

}  // namespace lentilcross
