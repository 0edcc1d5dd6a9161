#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lentilcross/config.h"
#include "lentilcross/context.h"
#include "lentilcross/error.h"
#include "lentilcross/retry.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Maps opaque tokens to the contexts of running calls. A token is valid only
/// at the daemon that issued it, until it is revoked.
class ContextTokens {
 public:
  struct Init {
    Sha256Digest secret{};  ///< Random, never leaves the process.
    std::size_t max_tokens = LENTILCROSS_CONFIG_MAX_CONTEXT_TOKENS;
    std::size_t max_uses = LENTILCROSS_CONFIG_MAX_ONWARD_USES;
  };
  struct Stats {
    std::uint64_t issued = 0;
    std::uint64_t revoked = 0;
    std::uint64_t unknown = 0;  ///< Lookups of invalid tokens.
    std::uint64_t refused_full = 0;
    std::uint64_t repeated_uses = 0;
  };
  /// Context and limits of one running call.
  struct Entry {
    RequestContext context;
    Instant deadline{};
    AttemptAllowance allowance{0};  ///< Shared by all onward calls.
  };
  enum class Use : std::uint8_t {
    kFirst,     ///< Claimed; the onward call may run.
    kRepeated,  ///< Claimed before; the onward call may have run.
    kFull,      ///< `max_uses` reached; not claimed.
    kUnknown,   ///< Not a valid token.
  };

  /// Fails with `Findings` if the secret is missing.
  static Result<ContextTokens> Create(const Init& init);

  /// Returns 32 hex digits, or an empty string if `max_tokens` tokens are
  /// valid.
  std::string Issue(const Entry& entry);
  /// Returns null if the token is not valid. Doesn't check the deadline.
  Entry* Find(std::string_view token);
  /// Claims a non-idempotent onward call, identified by (token, key), or by
  /// (token, route) if `idempotency_key` is empty.
  Use Claim(std::string_view token, std::string_view idempotency_key,
            RouteId route);
  /// Releases a claim whose onward call is proven not to have run.
  void Free(std::string_view token, std::string_view idempotency_key,
            RouteId route);
  /// Invalidates the token at the end of its call.
  void Revoke(std::string_view token);

  std::size_t size() const { return entries_.size(); }
  const Stats& stats() const { return stats_; }

 private:
  using Key = RequestId;  // the 128 bits of a token
  struct RunningCall {
    Entry entry;
    std::vector<std::uint64_t> uses;  ///< Hashes of keys and routes.
  };

  explicit ContextTokens(const Init& init) : init_(init) {}

  RunningCall* Lookup(std::string_view token);

  Init init_;
  Stats stats_;
  std::uint64_t last_serial_ = 0;
  std::unordered_map<Key, RunningCall> entries_;
};

}  // namespace lentilcross
