#include "lentilcross/tickets.h"

#include <openssl/crypto.h>

#include <algorithm>

#include "hex.h"
#include "lentilcross/findings.h"
#include "lentilcross/keys.h"

namespace lentilcross {
namespace {

// Ticket format, in hex: host and incarnation of the issuer, serial,
// organisation and expiry (ns on the issuer's clock), 8 bytes each, then the
// first 16 bytes of their HMAC.
constexpr std::size_t kRecordSize = 40;
constexpr std::size_t kMacSize = 16;
constexpr std::size_t kTicketSize = kRecordSize + kMacSize;
using Record = std::array<std::uint8_t, kRecordSize>;
using TicketBytes = std::array<std::uint8_t, kTicketSize>;

struct TicketFields {
  HostId host;
  Incarnation incarnation;
  std::uint64_t serial = 0;
  OrganisationId organisation;
  Instant expires{};
};

Record Pack(const TicketFields& fields) {
  Record record{};
  StoreBigEndian64(record, 0, fields.host.value());
  StoreBigEndian64(record, 8, fields.incarnation.value());
  StoreBigEndian64(record, 16, fields.serial);
  StoreBigEndian64(record, 24, fields.organisation.value());
  const auto expires = std::chrono::duration_cast<std::chrono::nanoseconds>(
      fields.expires.time_since_epoch());
  StoreBigEndian64(record, 32, static_cast<std::uint64_t>(expires.count()));
  return record;
}

TicketFields Unpack(const TicketBytes& bytes) {
  TicketFields fields;
  fields.host = HostId(LoadBigEndian64(bytes, 0));
  fields.incarnation = Incarnation(LoadBigEndian64(bytes, 8));
  fields.serial = LoadBigEndian64(bytes, 16);
  fields.organisation = OrganisationId(LoadBigEndian64(bytes, 24));
  const std::chrono::nanoseconds expires(
      static_cast<std::int64_t>(LoadBigEndian64(bytes, 32)));
  fields.expires = Instant(std::chrono::duration_cast<Duration>(expires));
  return fields;
}

bool IsAuthentic(const TicketBytes& bytes, const Sha256Digest& secret) {
  Record record{};
  std::copy_n(bytes.begin(), kRecordSize, record.begin());
  const Sha256Digest mac = HmacSha256(secret, record);
  return CRYPTO_memcmp(mac.data(), bytes.data() + kRecordSize, kMacSize) == 0;
}

}  // namespace

Result<TicketStore> TicketStore::Create(const Init& init) {
  Findings findings;
  if (!init.self.valid()) findings.Add("self", "missing");
  if (!init.incarnation.valid()) findings.Add("incarnation", "missing");
  if (init.secret == Sha256Digest{}) findings.Add("secret", "missing");
  if (init.lifetime <= Duration::zero()) {
    findings.Add("lifetime", "out of range");
  }
  if (!findings.empty()) return boost::leaf::new_error(std::move(findings));
  return TicketStore(init);
}

std::string TicketStore::Issue(OrganisationId organisation, Instant now) {
  ++stats_.issued;
  const Record record = Pack({init_.self, init_.incarnation, ++last_serial_,
                              organisation, now + init_.lifetime});
  const Sha256Digest mac = HmacSha256(init_.secret, record);
  TicketBytes bytes{};
  std::copy(record.begin(), record.end(), bytes.begin());
  std::copy_n(mac.begin(), kMacSize, bytes.begin() + kRecordSize);
  return ToHex(bytes);
}

std::optional<TicketStore::Issuer> TicketStore::ParseIssuer(
    std::string_view ticket) {
  const auto bytes = FromHex<kTicketSize>(ticket);
  if (!bytes) return std::nullopt;
  const TicketFields fields = Unpack(*bytes);
  if (!fields.host.valid() || !fields.incarnation.valid()) return std::nullopt;
  return Issuer{fields.host, fields.incarnation};
}

TicketStore::Use TicketStore::Claim(std::string_view ticket,
                                    OrganisationId organisation, RouteId route,
                                    Instant now) {
  RemoveExpired(now);
  const auto bytes = FromHex<kTicketSize>(ticket);
  if (!bytes) return {Reason::kTicketInvalid, 0, std::nullopt};
  const TicketFields fields = Unpack(*bytes);
  if (fields.host != init_.self || fields.incarnation != init_.incarnation) {
    return {Reason::kTicketIssuerUnreachable, 0, std::nullopt};
  }
  if (!IsAuthentic(*bytes, init_.secret) ||
      fields.organisation != organisation || now >= fields.expires) {
    return {Reason::kTicketInvalid, 0, std::nullopt};
  }
  if (const auto it = used_.find(fields.serial); it != used_.end()) {
    return ClaimUsed(it->second, route, fields.serial);
  }
  if (used_.size() >= init_.max_used) {
    ++stats_.refused_full;
    return {Reason::kOverloaded, 0, std::nullopt};
  }
  ++stats_.used;
  used_[fields.serial] = {State::kDispatching, route, fields.expires, {}};
  by_expiry_.emplace(fields.expires, fields.serial);
  return {Reason::kNone, fields.serial, std::nullopt};
}

TicketStore::Use TicketStore::ClaimUsed(const Used& used, RouteId route,
                                        std::uint64_t serial) {
  if (used.route != route) return {Reason::kTicketInvalid, 0, std::nullopt};
  ++stats_.repeats;
  if (used.state == State::kDispatching) {
    return {Reason::kTicketInUse, serial, std::nullopt};
  }
  return {Reason::kAlreadyRun, serial, used.answer};
}

void TicketStore::Free(std::uint64_t serial) {
  const auto it = used_.find(serial);
  if (it == used_.end() || it->second.state != State::kDispatching) return;
  ++stats_.freed;
  by_expiry_.erase({it->second.expires, serial});
  used_.erase(it);
}

void TicketStore::Finish(std::uint64_t serial, Answer answer) {
  const auto it = used_.find(serial);
  if (it == used_.end() || it->second.state != State::kDispatching) return;
  it->second.state = State::kDone;
  KeepAnswer(serial, it->second, std::move(answer));
}

void TicketStore::KeepAnswer(std::uint64_t serial, Used& used, Answer answer) {
  const std::size_t size = answer.body.size() + answer.content_type.size();
  if (size > LENTILCROSS_CONFIG_MAX_KEPT_ANSWER ||
      init_.max_kept_answers == 0) {
    return;
  }
  // The queue may hold serials of expired tickets, which have no entry in
  // `used_`.
  if (kept_answers_.size() >= init_.max_kept_answers) {
    const auto oldest = used_.find(kept_answers_.front());
    if (oldest != used_.end()) oldest->second.answer.reset();
    kept_answers_.pop_front();
  }
  used.answer = std::move(answer);
  kept_answers_.push_back(serial);
}

void TicketStore::FinishUnknown(std::uint64_t serial) {
  const auto it = used_.find(serial);
  if (it == used_.end() || it->second.state != State::kDispatching) return;
  it->second.state = State::kUnknown;
}

void TicketStore::RemoveExpired(Instant now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    used_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
}

}  // namespace lentilcross
