#include "lentilcross/context_tokens.h"

#include <algorithm>
#include <optional>

#include "hex.h"
#include "lentilcross/findings.h"
#include "lentilcross/keys.h"

namespace lentilcross {
namespace {

constexpr std::size_t kTokenSize = 16;
using TokenBytes = std::array<std::uint8_t, kTokenSize>;

std::optional<RequestId> ParseToken(std::string_view text) {
  const auto bytes = FromHex<kTokenSize>(text);
  if (!bytes) return std::nullopt;
  return RequestId{LoadBigEndian64(*bytes, 0), LoadBigEndian64(*bytes, 8)};
}

// Uses separate hash domains, so that a key can't match a route's use.
std::uint64_t UseHash(std::string_view idempotency_key, RouteId route) {
  constexpr std::uint64_t kByKey = 1;
  constexpr std::uint64_t kByRoute = 2;
  if (idempotency_key.empty()) return CombineHash(kByRoute, route.value());
  return CombineHash(kByKey, HashName(idempotency_key));
}

}  // namespace

Result<ContextTokens> ContextTokens::Create(const Init& init) {
  Findings findings;
  if (init.secret == Sha256Digest{}) findings.Add("secret", "missing");
  if (!findings.empty()) return boost::leaf::new_error(std::move(findings));
  return ContextTokens(init);
}

std::string ContextTokens::Issue(const Entry& entry) {
  if (entries_.size() >= init_.max_tokens) {
    ++stats_.refused_full;
    return {};
  }
  // Uses an HMAC of a counter. A target could predict the tokens of other calls
  // from the outputs of a general-purpose random generator.
  std::array<std::uint8_t, 8> serial{};
  StoreBigEndian64(serial, 0, ++last_serial_);
  const Sha256Digest mac = HmacSha256(init_.secret, serial);
  TokenBytes bytes{};
  std::copy_n(mac.begin(), kTokenSize, bytes.begin());
  entries_.insert_or_assign(
      Key{LoadBigEndian64(bytes, 0), LoadBigEndian64(bytes, 8)},
      RunningCall{entry, {}});
  ++stats_.issued;
  return ToHex(bytes);
}

ContextTokens::RunningCall* ContextTokens::Lookup(std::string_view token) {
  const auto key = ParseToken(token);
  const auto it = key ? entries_.find(*key) : entries_.end();
  if (it == entries_.end()) {
    ++stats_.unknown;
    return nullptr;
  }
  return &it->second;
}

ContextTokens::Entry* ContextTokens::Find(std::string_view token) {
  RunningCall* running = Lookup(token);
  return running == nullptr ? nullptr : &running->entry;
}

ContextTokens::Use ContextTokens::Claim(std::string_view token,
                                        std::string_view idempotency_key,
                                        RouteId route) {
  RunningCall* running = Lookup(token);
  if (running == nullptr) return Use::kUnknown;
  std::vector<std::uint64_t>& uses = running->uses;
  const std::uint64_t hash = UseHash(idempotency_key, route);
  if (std::find(uses.begin(), uses.end(), hash) != uses.end()) {
    ++stats_.repeated_uses;
    return Use::kRepeated;
  }
  if (uses.size() >= init_.max_uses) {
    ++stats_.refused_full;
    return Use::kFull;
  }
  uses.push_back(hash);
  return Use::kFirst;
}

void ContextTokens::Free(std::string_view token,
                         std::string_view idempotency_key, RouteId route) {
  RunningCall* running = Lookup(token);
  if (running == nullptr) return;
  std::vector<std::uint64_t>& uses = running->uses;
  const std::uint64_t hash = UseHash(idempotency_key, route);
  uses.erase(std::remove(uses.begin(), uses.end(), hash), uses.end());
}

void ContextTokens::Revoke(std::string_view token) {
  const auto key = ParseToken(token);
  if (key && entries_.erase(*key) > 0) ++stats_.revoked;
}

}  // namespace lentilcross
