#pragma once

#include <limits>

#include "lentilcross/config.h"
#include "lentilcross/peer_message.h"

namespace lentilcross {

inline constexpr std::size_t kMaxMethodSize = 32;
inline constexpr std::size_t kMaxPathSize = 8192;
inline constexpr std::size_t kMaxHeaderSize = 65536;
inline constexpr std::size_t kMaxDetailSize = 1024;
inline constexpr std::size_t kMaxPieces = 4096;
inline constexpr std::size_t kMaxNameSize = 256;
inline constexpr std::size_t kMaxMessageSize =
    LENTILCROSS_CONFIG_MAX_PEER_MESSAGE;
inline constexpr std::size_t kMaxListSize = LENTILCROSS_CONFIG_MAX_PEER_LIST;

enum class IdRule : std::uint8_t { kRequired, kMayBeInvalid };

/// Fields of each message in their order on the wire. The encoder and the
/// decoder both visit these lists, so that they cannot differ. A visitor `v`
/// checks the limits that are passed to it.
template <typename T>
struct Schema;

template <>
struct Schema<Hello> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.host, IdRule::kRequired);
    v.Identifier(m.incarnation, IdRule::kRequired);
    v.Identifier(m.failure_domain, IdRule::kRequired);
    v.VersionNumber(m.version);
    v.FixedBytes(m.nonce);
  }
};

template <>
struct Schema<Proof> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.FixedBytes(m.mac);
  }
};

template <>
struct Schema<RequestId> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Integer(m.high);
    v.Integer(m.low);
  }
};

template <typename Tag>
struct Schema<Id<Tag>> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m, IdRule::kRequired);
  }
};

template <>
struct Schema<RequestContext> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Record(m.id);
    // Open routes belong to organisation 0.
    v.Identifier(m.organisation, IdRule::kMayBeInvalid);
    v.Text(m.organisation_name, kMaxNameSize);
    v.Enumerator(m.importance, kImportanceCount);
    v.VersionNumber(m.version);
    v.Identifier(m.entry_host, IdRule::kRequired);
    v.Integer(m.depth, LENTILCROSS_CONFIG_MAX_DEPTH);
    v.List(m.home_regions, kMaxListSize);
  }
};

template <>
struct Schema<std::pair<std::string, std::string>> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Text(m.first, kMaxHeaderSize);
    // Header values need not be UTF-8.
    v.Bytes(m.second, kMaxHeaderSize);
  }
};

template <>
struct Schema<Call> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.number, IdRule::kRequired);
    v.Record(m.context);
    v.Identifier(m.route, IdRule::kMayBeInvalid);
    v.Identifier(m.service, IdRule::kMayBeInvalid);
    v.Text(m.method, kMaxMethodSize);
    v.Text(m.path, kMaxPathSize);
    v.List(m.headers, kMaxListSize);
    v.Bytes(m.body, LENTILCROSS_CONFIG_MAX_BODY);
    v.Time(m.remaining);
    v.Integer(m.extra_attempts, LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS);
    v.Flag(m.idempotent);
    v.Flag(m.to_ticket_issuer);
    v.Flag(m.open);
    v.Flag(m.may_hand_back);
  }
};

template <>
struct Schema<ServiceLevel> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.service, IdRule::kRequired);
    v.Integer(m.level);
  }
};

template <>
struct Schema<Refusal> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Enumerator(m.reason, kReasonCount);
    v.Enumerator(m.outcome, 2);
    v.Time(m.retry_after);
    v.Text(m.detail, kMaxDetailSize);
  }
};

template <>
struct Schema<Reply> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.number, IdRule::kRequired);
    v.Integer(m.status, 599);
    v.List(m.headers, kMaxListSize);
    v.Bytes(m.body, LENTILCROSS_CONFIG_MAX_BODY);
    v.Record(m.refusal);
    v.Integer(m.extra_attempts_left, LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS);
    v.Flag(m.attempts_exhausted);
    v.Flag(m.waited);
    v.List(m.levels, kMaxListSize);
  }
};

template <>
struct Schema<Cancel> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.number, IdRule::kRequired);
  }
};

template <>
struct Schema<CancelAck> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.number, IdRule::kRequired);
    v.Flag(m.never_run);
  }
};

template <>
struct Schema<MemberUpdate> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.host, IdRule::kRequired);
    v.Identifier(m.incarnation, IdRule::kRequired);
    v.Enumerator(m.state, 4);
    v.Integer(m.sequence);
  }
};

template <>
struct Schema<Evacuation> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Text(m.failure_domain, kMaxNameSize);
    v.Integer(m.revision);
    v.Flag(m.active);
  }
};

template <>
struct Schema<Digest> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.VersionNumber(m.version);
    v.Time(m.platform_age);
    v.Integer(m.registry_revision);
    v.Time(m.registry_age);
    v.Flag(m.wants_lapsed_hosts);
    v.List(m.members, LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES);
    v.List(m.evacuations, kMaxEvacuations);
  }
};

template <>
struct Schema<ConfigRequest> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.VersionNumber(m.have);
    v.Integer(m.first_piece, kMaxPieces - 1);
  }
};

template <>
struct Schema<ConfigDelta> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.VersionNumber(m.from);
    v.VersionNumber(m.to);
    v.Integer(m.checksum);
    v.Bytes(m.entries, kMaxMessageSize);
  }
};

template <>
struct Schema<ConfigSnapshot> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.VersionNumber(m.version);
    v.Integer(m.checksum);
    v.Integer(m.piece, kMaxPieces - 1);
    v.Integer(m.pieces, kMaxPieces);
    v.Bytes(m.bytes, kMaxMessageSize);
  }
};

template <>
struct Schema<Quota> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Quantity(m.rate);
    v.Quantity(m.burst);
  }
};

template <>
struct Schema<HeldLevel> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Record(m.quota);
    v.Integer(m.grant);
    v.Integer(m.part);
  }
};

template <>
struct Schema<LoanAsk> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.organisation, IdRule::kRequired);
    v.Record(m.want);
    v.Quantity(m.need);
    v.Quantity(m.returned);
    v.List(m.held, kMaxListSize);
  }
};

template <>
struct Schema<LoanRequest> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.borrower, IdRule::kRequired);
    v.Integer(m.number);
    v.List(m.asks, kMaxListSize);
  }
};

template <>
struct Schema<Loan> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.organisation, IdRule::kRequired);
    v.Record(m.quota);
    v.Quantity(m.tokens);
    v.Time(m.term);
    v.Integer(m.part);
  }
};

template <>
struct Schema<LoanGrant> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.borrower, IdRule::kRequired);
    v.Integer(m.number);
    v.List(m.loans, kMaxListSize);
  }
};

template <>
struct Schema<LoanReturn> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.borrower, IdRule::kRequired);
    v.Integer(m.number);
    v.List(m.asks, kMaxListSize);
  }
};

template <>
struct Schema<lentilcross::Leave> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Identifier(m.host, IdRule::kRequired);
    v.Identifier(m.incarnation, IdRule::kRequired);
  }
};

template <>
struct Schema<RegistryEntry> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Text(m.name, kMaxNameSize);
    v.Integer(m.revision);
    v.Flag(m.removed);
    v.Text(m.service, kMaxNameSize);
    v.Text(m.host, kMaxNameSize);
    v.Text(m.failure_domain, kMaxNameSize);
    v.Text(m.peer, kMaxNameSize);
    v.Integer(m.slots);
    v.Flag(m.draining);
    v.Time(m.warm_in);
    v.Integer(m.started_ms);
  }
};

template <>
struct Schema<RegistryRequest> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Integer(m.have);
  }
};

template <>
struct Schema<RegistryDelta> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Integer(m.from);
    v.Integer(m.to);
    v.Time(m.age);
    v.Integer(m.piece, kMaxPieces);
    v.Integer(m.pieces, kMaxPieces);
    v.List(m.entries, kMaxRegistryEntries);
  }
};

template <>
struct Schema<LapsedHostEntry> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Text(m.host, kMaxNameSize);
    v.Text(m.failure_domain, kMaxNameSize);
    v.Text(m.peer, kMaxNameSize);
    v.Time(m.remaining);
  }
};

template <>
struct Schema<LapsedHostList> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.List(m.hosts, kMaxRegistryEntries);
  }
};

template <>
struct Schema<Ping> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Integer(m.number);
  }
};

template <>
struct Schema<Pong> {
  template <typename V, typename M>
  static void Visit(V& v, M& m) {
    v.Integer(m.number);
  }
};

}  // namespace lentilcross
