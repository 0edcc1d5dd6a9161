#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>

#include "lentilcross/configuration.h"
#include "lentilcross/error.h"
#include "lentilcross/types.h"

namespace lentilcross {

Sha256Digest Sha256(std::string_view bytes);
Sha256Digest HmacSha256(std::string_view key, std::string_view bytes);
/// Compares in time that does not depend on the content.
bool EqualConstantTime(const Sha256Digest& a, const Sha256Digest& b);

/// Finds the organisation of a presented key by its digest.
class KeyRing {
 public:
  struct Lookup {
    Reason reason = Reason::kUnknownKey;  ///< `kNone` if the key is good.
    KeyId key;
    OrganisationId organisation;
  };

  void Apply(const Configuration& configuration);

  Lookup Find(std::string_view presented) const;
  /// Checks again a key found before, for a request that left a queue or came
  /// on a connection opened earlier.
  bool IsGood(KeyId key) const;

 private:
  std::unordered_map<KeyId, KeyEntry> keys_;
};

}  // namespace lentilcross
