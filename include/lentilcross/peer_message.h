#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "lentilcross/context.h"
#include "lentilcross/error.h"
#include "lentilcross/evacuation.h"
#include "lentilcross/types.h"

namespace lentilcross {

inline constexpr int kPeerProtocolVersion = 5;

/// Longest duration in a peer message. `Encode` limits longer ones to it and
/// negative ones to 0.
inline constexpr Duration kMaxPeerDuration = std::chrono::hours(24 * 30);

/// Largest rate, burst or number of tokens in a peer message or configuration.
inline constexpr double kMaxQuantity = 1e9;

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Entries of one message about the registry. A larger change comes as the
/// whole registry, in pieces.
inline constexpr std::size_t kMaxRegistryEntries = 256;

/// Shedding level of a service: requests that rank below it are refused.
struct ServiceLevel {
  ServiceId service;
  std::uint32_t level = 0;
};

/// First message on a link, from both sides.
struct Hello {
  HostId host;
  Incarnation incarnation;
  FailureDomainId failure_domain;
  Version version;
  std::array<std::uint8_t, 16> nonce{};
};

/// HMAC-SHA-256 over both nonces and the sender's identity, by a peer key.
struct Proof {
  Sha256Digest mac{};
};

/// A request on its way to a target, or to the issuer of its ticket.
struct Call {
  CallNumber number;
  RequestContext context;
  RouteId route;
  ServiceId service;
  std::string method;
  std::string path;
  Headers headers;
  std::string body;
  Duration remaining{};
  std::uint16_t extra_attempts = 0;
  bool idempotent = true;
  bool to_ticket_issuer = false;  ///< The receiver routes it further.
  /// Of an open route: the target is told no organisation of `context`.
  bool open = false;
  /// If the target has no room now, the call comes back as `kTargetBusy`.
  bool may_hand_back = false;
};

/// Answer to a call: either an answer of the target (`refusal.reason` is
/// `kNone`) or a refusal.
struct Reply {
  CallNumber number;
  std::uint16_t status = 0;
  Headers headers;
  std::string body;
  Refusal refusal;
  std::uint16_t extra_attempts_left = 0;
  bool attempts_exhausted = false;
  bool waited = false;  ///< In the queue of the target.
  std::vector<ServiceLevel> levels;
};

struct Cancel {
  CallNumber number;
};

struct CancelAck {
  CallNumber number;
  bool never_run = false;  ///< True: the call was fenced before any byte.
};

enum class MemberState : std::uint8_t { kAlive, kSuspected, kLeaving, kLeft };

struct MemberUpdate {
  HostId host;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  std::uint32_t sequence = 0;  ///< Higher wins within one incarnation.
};

/// Failure domains whose evacuation a digest can name.
inline constexpr std::size_t kMaxEvacuations = 256;

struct Digest {
  Version version;
  Duration platform_age{};  ///< Since the last read of the platform known here.
  /// State of the registry of targets; 0: not known here.
  std::uint64_t registry_revision = 0;
  /// Since that was last known to be the newest.
  Duration registry_age = kMaxPeerDuration;
  /// Whether the sender asks for a `LapsedHostList`.
  bool wants_lapsed_hosts = false;
  std::vector<MemberUpdate> members;
  /// Each domain that was ever evacuated, also after its end.
  std::vector<Evacuation> evacuations;
};

/// Asks for the changes since a version, or for more of a snapshot.
struct ConfigRequest {
  Version have;
  std::uint32_t first_piece = 0;  ///< Of a snapshot; 0: a delta will do.
};

/// Changes between two versions, as entries of the published document.
struct ConfigDelta {
  Version from;
  Version to;
  std::uint64_t checksum = 0;  ///< XXH64 of the CBOR of document `to`.
  std::string entries;         ///< CBOR of a JSON Patch (RFC 6902).
};

/// Part of a whole document, for a peer too far behind for deltas.
struct ConfigSnapshot {
  Version version;
  std::uint64_t checksum = 0;  ///< XXH64 of the CBOR of the whole document.
  std::uint32_t piece = 0;
  std::uint32_t pieces = 1;
  std::string bytes;
};

/// Right to generate tokens of one organisation.
struct Quota {
  double rate = 0;   ///< Tokens per second.
  double burst = 0;  ///< Tokens.
};

/// Level that a borrower keeps of one grant.
struct HeldLevel {
  Quota quota;
  std::uint32_t grant = 0;  ///< Number of the request that it answered.
  std::uint16_t part = 0;
};

/// State of a borrower towards one lender, for one organisation. The borrower
/// lowers what it holds to `held` before it sends this.
struct LoanAsk {
  OrganisationId organisation;
  Quota want;           ///< Level to hold after the grant.
  double need = 0;      ///< Tokens wanted with the grant.
  double returned = 0;  ///< Unused tokens given back with this message.
  /// By age; the last is the newest grant accepted. It holds the highest.
  std::vector<HeldLevel> held;
};

/// Numbers increase within one borrower process, over requests and returns.
struct LoanRequest {
  Incarnation borrower;
  std::uint32_t number = 0;
  std::vector<LoanAsk> asks;
};

/// Level that the borrower may hold from now on, in place of the one before.
struct Loan {
  OrganisationId organisation;
  Quota quota;
  double tokens = 0;       ///< Tokens that come with this message.
  Duration term{};         ///< Counted from when the borrower asked.
  std::uint16_t part = 0;  ///< Order of several grants for one request.
};

/// Answer to a `LoanRequest`. More than one may follow, with rising parts.
struct LoanGrant {
  Incarnation borrower;
  std::uint32_t number = 0;
  std::vector<Loan> loans;
};

/// Gives loans back early; `want` is ignored and nothing is answered.
struct LoanReturn {
  Incarnation borrower;
  std::uint32_t number = 0;
  std::vector<LoanAsk> asks;
};

/// One registration of a target, or its removal, as of `revision`.
struct RegistryEntry {
  std::string name;
  std::uint64_t revision = 0;
  bool removed = false;  ///< The fields below are empty.
  std::string service;
  std::string host;
  std::string failure_domain;
  std::string peer;
  std::uint32_t slots = 0;
  bool draining = false;
  Duration warm_in{};
  std::uint64_t started_ms = 0;
};

struct RegistryRequest {
  std::uint64_t have = 0;
};

/// Changes of the registry between two revisions, or one piece of the whole of
/// it if `from` is 0. Without changes it only confirms the revision.
struct RegistryDelta {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  Duration age{};  ///< Since `to` was last known to be the newest revision.
  std::uint32_t piece = 0;
  std::uint32_t pieces = 1;
  std::vector<RegistryEntry> entries;
};

/// A host whose target lost its registration, and that keeps its part in
/// quotas.
struct LapsedHostEntry {
  std::string host;
  std::string failure_domain;
  std::string peer;
  Duration remaining{};  ///< Until it is removed.
};

/// Tells a new process what only those can know that saw the registration.
struct LapsedHostList {
  std::vector<LapsedHostEntry> hosts;
};

struct Leave {
  HostId host;
  Incarnation incarnation;
};

struct Ping {
  std::uint32_t number = 0;
};

struct Pong {
  std::uint32_t number = 0;
};

using PeerMessage =
    std::variant<Hello, Proof, Call, Reply, Cancel, CancelAck, Digest,
                 ConfigRequest, ConfigDelta, ConfigSnapshot, LoanRequest,
                 LoanGrant, LoanReturn, Leave, Ping, Pong, RegistryRequest,
                 RegistryDelta, LapsedHostList>;

/// CBOR bytes of a message. The caller keeps the fields within the limits that
/// `Decode` checks; a message beyond them is refused by the receiver.
std::string Encode(const PeerMessage& message);

/// Decodes one message. The error carries a `DecodeError`: garbage, truncation,
/// a wrong protocol version, a wrong type, a value out of range, or more than
/// `LENTILCROSS_CONFIG_MAX_PEER_MESSAGE` bytes.
Result<PeerMessage> Decode(std::string_view bytes);

}  // namespace lentilcross
