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

/// Opaque tokens that stand for the context of a running call, at the daemon in
/// front of its target. A token is valid only here and until it is revoked.
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
    std::uint64_t unknown = 0;  ///< Presented, but not valid here.
    std::uint64_t refused_full = 0;
    std::uint64_t repeated_uses = 0;
  };
  /// What a token stands for.
  struct Entry {
    RequestContext context;
    Instant deadline{};
    AttemptAllowance allowance{0};  ///< For all onward calls together.
  };
  enum class Use : std::uint8_t {
    kFirst,     ///< May run.
    kRepeated,  ///< Ran, or may have run, before.
    kFull,      ///< `max_uses` reached; not run.
    kUnknown,   ///< Not a valid token.
  };

  /// Fails with `Findings` without a secret.
  static Result<ContextTokens> Create(const Init& init);

  /// 32 hex digits; empty if `max_tokens` calls are running.
  std::string Issue(const Entry& entry);
  /// Null if the token was never issued here or its call has ended. The caller
  /// checks the deadline.
  Entry* Find(std::string_view token);
  /// Claims one non-idempotent onward use of (token, key), or of (token, route)
  /// if `idempotency_key` is empty.
  Use Claim(std::string_view token, std::string_view idempotency_key,
            RouteId route);
  /// The use was proven not to have run; it may be claimed again.
  void Free(std::string_view token, std::string_view idempotency_key,
            RouteId route);
  /// The call has ended.
  void Revoke(std::string_view token);

  std::size_t size() const { return entries_.size(); }
  const Stats& stats() const { return stats_; }

 private:
  using Key = RequestId;  // 128 bits
  struct Running {
    Entry entry;
    std::vector<std::uint64_t> uses;  ///< Hashes of keys and routes.
  };

  explicit ContextTokens(const Init& init) : init_(init) {}

  Running* Lookup(std::string_view token);

  Init init_;
  Stats stats_;
  std::uint64_t last_serial_ = 0;
  std::unordered_map<Key, Running> entries_;
};

}  // namespace lentilcross
