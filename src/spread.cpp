#include "lentilcross/spread.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "document_history.h"
#include "lentilcross/config.h"
#include "peer_choice.h"
#include "platform_schedule.h"
#include "published_document.h"
#include "snapshot_assembly.h"

namespace lentilcross {
namespace {

using CallResult = PlatformSchedule::CallResult;
using OutgoingList = std::vector<ConfigDistributor::Outgoing>;

// Time without a reply after which another peer may be asked.
constexpr Duration kRequestTimeout = std::chrono::seconds(1);
// Time until a version that this process rejected is requested again.
constexpr Duration kRejectedRetryDelay = std::chrono::seconds(30);
// Minimum difference in platform age at which a digest is sent in reply to a
// digest. Without it, two peers could reply to each other endlessly.
constexpr Duration kMinAgeDifference = std::chrono::seconds(1);
// Maximum digest interval of a process without a configuration.
constexpr Duration kStartupInterval = std::chrono::milliseconds(250);
// Pieces of a snapshot that are sent for one request. The peer asks for more
// when it has them, so that a host that serves many peers holds little for
// each.
constexpr std::uint32_t kSnapshotWindow = 16;
// Larger deltas are not pushed. Peers learn of the version from a digest and
// request it from one host.
constexpr std::size_t kMaxPushedDelta = 65536;

/// Invalid if the document has no readable one.
Version VersionOf(const nlohmann::json& document) {
  if (!document.is_object()) return {};
  const auto found = document.find("version");
  if (found == document.end() || !found->is_number_unsigned()) return {};
  return Version(found->get<std::uint64_t>());
}

}  // namespace

class ConfigDistributor::Impl {
 public:
  explicit Impl(const Init& init)
      : init_(init),
        document_store_(init.documents ? init.documents
                                       : std::make_shared<DocumentStore>()),
        platform_schedule_(
            {init.confirmation_limit, init.startup_wait, init.watch_wait}),
        peer_selector_{init.self, init.failure_domain} {}

  Result<void> OnPlatformDocument(std::string_view text, Instant now);
  Result<void> OnParsedPlatformDocument(const nlohmann::json& json,
                                        Instant now);
  void OnPlatformUnchanged(Instant now);
  void OnPlatformRefused(Version version, Findings findings, Instant now);
  void OnPlatformResult(CallResult result, Instant now);
  OutgoingList OnMessage(HostId from, const PeerMessage& message, Instant now);
  OutgoingList Tick(Membership& membership, Instant now, Random& random);
  PlatformAction NextPlatformAction(const Membership& membership, Instant now,
                                    Random& random, bool fallback_reader);
  ReaderRole RoleOf(const Membership& membership) const;
  void ConfirmToStandbys() { confirmation_due_ = true; }
  std::vector<HostId> PushPeers(const Membership& membership, bool first_hand,
                                Random& random) const {
    const HostTable* table = hosts();
    if (first_hand && table != nullptr) {
      return peer_selector_.PickForFirstHandNews(
          *table, membership, init_.first_hand_fanout, random);
    }
    return peer_selector_.Pick(table, membership, init_.push_fanout, random);
  }
  bool IsReady(Instant now) const;
  bool IsStale(Instant now) const;

  void SetHosts(const Configuration& configuration) {
    registered_hosts_ = HostTable::FromConfiguration(configuration);
  }

  const DocumentHistory& history() const { return history_; }
  const PlatformSchedule& platform_schedule() const {
    return platform_schedule_;
  }
  std::optional<Version> refused_version() const {
    if (!refused_) return std::nullopt;
    return refused_->version;
  }
  const Findings& findings() const { return findings_; }
  const Stats& stats() const { return stats_; }

 private:
  OutgoingList OnDigest(HostId from, const Digest& digest, Instant now);
  OutgoingList OnRequest(HostId from, const ConfigRequest& request);
  OutgoingList OnDelta(HostId from, const ConfigDelta& delta, Instant now);
  OutgoingList OnSnapshot(HostId from, const ConfigSnapshot& piece,
                          Instant now);
  void Accept(DocumentPointer document, Instant now);
  /// Fails with the findings of an invalid document, but only once for each.
  Result<void> Refuse(std::uint64_t hash, Version version, Findings findings,
                      Instant now);
  /// Records that a newer document than the current one was refused.
  enum class Source : std::uint8_t { kPlatform, kPeer };
  void RecordRefusal(Version version, Source source, Findings findings);
  /// Requests more of a snapshot after the last piece of a window.
  OutgoingList RequestNextPieces(HostId from, const ConfigSnapshot& piece,
                                 Instant now);
  /// Requests the changes since `have`, unless a request is pending.
  OutgoingList RequestUpdate(HostId from, Version have, Instant now);
  OutgoingList Push(const Membership& membership, Instant now, Random& random);
  OutgoingList SendConfirmations(const Membership& membership, Instant now);
  bool IsTakeoverDue(ReaderRole role, Instant now);
  /// Hosts of a failure domain, by rank, that may be readers or standbys.
  int MaxReaderRank() const {
    return init_.readers_per_domain +
           std::max(init_.readers_per_domain, init_.standbys_per_domain);
  }
  void Apply(DocumentPointer document, std::string patch);
  void Reject(Version version, Findings findings, Instant now);
  void Start(Instant now);
  void RecordSenderDomain(HostId from, Instant now);
  void RecordPeerReply(Version version);
  Digest MakeDigest(Instant now) const;

  /// Null before the first configuration.
  const HostTable* hosts() const {
    if (registered_hosts_) return &*registered_hosts_;
    return history_.current().get();
  }

  Init init_;
  Stats stats_;
  std::optional<HostTable> registered_hosts_;  ///< From the registry.
  std::shared_ptr<DocumentStore> document_store_;
  DocumentHistory history_;
  PlatformSchedule platform_schedule_;
  PeerSelector peer_selector_;
  SnapshotAssembly assembly_;
  Findings findings_;
  struct RefusedDocument {
    Version version;  ///< Invalid if it could not be read.
    Source source;
  };
  std::optional<RefusedDocument> refused_;  ///< Newer than the current one.
  std::optional<Instant> request_sent_;     ///< While a request is pending.
  std::optional<Instant> started_;
  Instant next_digest_{};
  Instant last_external_contact_{};  ///< With the platform or another domain.
  Version pushed_version_;           ///< Last version pushed to peers.
  Version first_hand_version_;       ///< Last version read from the platform.
  Version rejected_version_;
  Instant rejected_until_{};
  std::uint64_t rejected_text_hash_ = 0;  ///< Last invalid document.
  bool peer_replied_ = false;
  bool platform_responded_ = false;
  bool confirmation_due_ = false;
  StandbyTimer standby_timer_;
  std::optional<Instant> last_takeover_;  ///< Last need to watch as a standby.
};

void ConfigDistributor::Impl::Start(Instant now) {
  if (started_) return;
  started_ = now;
  last_external_contact_ = now;
}

Result<void> ConfigDistributor::Impl::OnPlatformDocument(std::string_view text,
                                                         Instant now) {
  const std::uint64_t hash = HashName(text);
  if (hash == rejected_text_hash_) {
    OnPlatformResult(CallResult::kIgnored, now);
    return {};
  }
  Findings findings;
  DocumentPointer document = document_store_->FromText(text, findings);
  if (!document) return Refuse(hash, Version(), std::move(findings), now);
  Accept(std::move(document), now);
  return {};
}

Result<void> ConfigDistributor::Impl::OnParsedPlatformDocument(
    const nlohmann::json& json, Instant now) {
  Findings findings;
  DocumentPointer document = document_store_->FromJson(json, findings);
  if (!document) {
    const std::string text = json.dump();
    return Refuse(HashName(text), VersionOf(json), std::move(findings), now);
  }
  Accept(std::move(document), now);
  return {};
}

Result<void> ConfigDistributor::Impl::Refuse(std::uint64_t hash,
                                             Version version, Findings findings,
                                             Instant now) {
  OnPlatformResult(CallResult::kIgnored, now);
  if (std::exchange(rejected_text_hash_, hash) == hash) return {};
  RecordRefusal(version, Source::kPlatform, findings);
  return boost::leaf::new_error(std::move(findings));
}

void ConfigDistributor::Impl::OnPlatformRefused(Version version,
                                                Findings findings,
                                                Instant now) {
  RecordRefusal(version, Source::kPlatform, std::move(findings));
  OnPlatformResult(CallResult::kIgnored, now);
}

void ConfigDistributor::Impl::OnPlatformUnchanged(Instant now) {
  // Otherwise this process would tell its peers that an older version is the
  // newest.
  const bool refused = refused_ && refused_->source == Source::kPlatform;
  OnPlatformResult(refused ? CallResult::kIgnored : CallResult::kConfirmed,
                   now);
}

void ConfigDistributor::Impl::RecordRefusal(Version version, Source source,
                                            Findings findings) {
  ++stats_.rejected;
  findings_ = std::move(findings);
  refused_ = RefusedDocument{version, source};
}

void ConfigDistributor::Impl::Accept(DocumentPointer document, Instant now) {
  if (document->version() <= history_.version()) {
    const bool equal = document->version() == history_.version();
    if (!equal) ++stats_.ignored_older;
    OnPlatformResult(equal ? CallResult::kConfirmed : CallResult::kIgnored,
                     now);
    return;
  }
  Apply(std::move(document), "");
  first_hand_version_ = history_.version();
  OnPlatformResult(CallResult::kApplied, now);
}

void ConfigDistributor::Impl::OnPlatformResult(CallResult result, Instant now) {
  Start(now);
  platform_schedule_.OnCallResult(result, now);
  if (result == CallResult::kFailed) return;
  platform_responded_ = true;
  last_external_contact_ = now;
  if (result == CallResult::kIgnored) {
    // The platform responds, so that readers read the same unusable document.
    last_takeover_.reset();
    standby_timer_.Restart(now);
    return;
  }
  confirmation_due_ = true;
  // The platform has nothing newer, whatever a peer sent.
  if (result == CallResult::kConfirmed) refused_.reset();
}

OutgoingList ConfigDistributor::Impl::OnMessage(HostId from,
                                                const PeerMessage& message,
                                                Instant now) {
  Start(now);
  RecordSenderDomain(from, now);
  if (const auto* digest = std::get_if<Digest>(&message)) {
    return OnDigest(from, *digest, now);
  }
  if (const auto* request = std::get_if<ConfigRequest>(&message)) {
    return OnRequest(from, *request);
  }
  if (const auto* delta = std::get_if<ConfigDelta>(&message)) {
    return OnDelta(from, *delta, now);
  }
  if (const auto* piece = std::get_if<ConfigSnapshot>(&message)) {
    return OnSnapshot(from, *piece, now);
  }
  return {};
}

OutgoingList ConfigDistributor::Impl::OnDigest(HostId from,
                                               const Digest& digest,
                                               Instant now) {
  const Version version = history_.version();
  if (version < digest.version) {
    const bool rejected =
        digest.version == rejected_version_ && now < rejected_until_;
    return rejected ? OutgoingList{} : RequestUpdate(from, version, now);
  }
  RecordPeerReply(digest.version);
  if (digest.version < version) {
    ConfigDelta delta;
    if (history_.MakeDelta(digest.version, kMaxPushedDelta, delta)) {
      ++stats_.deltas_sent;
      return {{from, std::move(delta)}};
    }
    return {{from, MakeDigest(now)}};
  }
  const Duration own_age = platform_schedule_.Age(now);
  if (own_age + kMinAgeDifference < digest.platform_age) {
    return {{from, MakeDigest(now)}};
  }
  if (digest.platform_age < kMaxPeerDuration) {
    // In a failure domain that is partitioned from the others but can reach the
    // platform, most hosts get its confirmations only through the readers.
    const Instant confirmed = now - digest.platform_age;
    platform_schedule_.OnConfirmedByPeer(confirmed);
    last_external_contact_ = std::max(last_external_contact_, confirmed);
  }
  return {};
}

OutgoingList ConfigDistributor::Impl::OnRequest(HostId from,
                                                const ConfigRequest& request) {
  OutgoingList replies;
  if (!(request.have < history_.version())) return replies;
  if (request.first_piece == 0) {
    ConfigDelta delta;
    if (history_.MakeDelta(request.have, kMaxDeltaSize, delta)) {
      ++stats_.deltas_sent;
      replies.push_back({from, std::move(delta)});
      return replies;
    }
    ++stats_.snapshots_sent;
  }
  for (ConfigSnapshot& piece :
       history_.MakeSnapshot(request.first_piece, kSnapshotWindow)) {
    replies.push_back({from, std::move(piece)});
  }
  return replies;
}

OutgoingList ConfigDistributor::Impl::OnDelta(HostId from,
                                              const ConfigDelta& delta,
                                              Instant now) {
  const Version version = history_.version();
  if (delta.to <= version) {
    ++stats_.ignored_older;
    return {};
  }
  if (delta.from != version || !history_.current()) {
    return RequestUpdate(from, version, now);
  }
  if (delta.to == rejected_version_ && now < rejected_until_) return {};
  Findings findings;
  DocumentPointer document =
      document_store_->FromPatch(*history_.current(), delta.entries, findings);
  const bool matches = document && document->version() == delta.to &&
                       document->checksum == delta.checksum;
  if (!matches) {
    // Either the delta is corrupt, or the peer has a different document with
    // the same version. A snapshot resolves both cases, and only its findings
    // are reported.
    ++stats_.corrupt;
    request_sent_.reset();
    return RequestUpdate(from, Version(), now);
  }
  Apply(std::move(document), delta.entries);
  RecordPeerReply(version);
  return {};
}

OutgoingList ConfigDistributor::Impl::OnSnapshot(HostId from,
                                                 const ConfigSnapshot& piece,
                                                 Instant now) {
  if (piece.version <= history_.version()) {
    ++stats_.ignored_older;
    return {};
  }
  if (piece.version == rejected_version_ && now < rejected_until_) return {};
  if (request_sent_) request_sent_ = now;
  const auto outcome = assembly_.Add(piece, now, kRequestTimeout);
  if (outcome == SnapshotAssembly::Outcome::kIncomplete) {
    return RequestNextPieces(from, piece, now);
  }
  if (outcome == SnapshotAssembly::Outcome::kCorrupt) {
    ++stats_.corrupt;
    return {};  // The next digest triggers a new request.
  }
  Findings findings;
  DocumentPointer document =
      document_store_->FromCbor(assembly_.TakeBytes(), findings);
  if (!document || document->version() != piece.version) {
    Reject(piece.version, std::move(findings), now);
    return {};
  }
  Apply(std::move(document), "");
  RecordPeerReply(piece.version);
  return {{from, MakeDigest(now)}};
}

OutgoingList ConfigDistributor::Impl::RequestNextPieces(
    HostId from, const ConfigSnapshot& piece, Instant now) {
  // After the last piece, earlier ones are missing if the version changed while
  // the snapshot was sent.
  const std::uint32_t received = piece.piece + 1;
  const bool ends_window =
      received % kSnapshotWindow == 0 || received == piece.pieces;
  if (!ends_window || !assembly_.Matches(piece)) return {};
  request_sent_ = now;
  return {{from, ConfigRequest{history_.version(), assembly_.FirstMissing()}}};
}

OutgoingList ConfigDistributor::Impl::RequestUpdate(HostId from, Version have,
                                                    Instant now) {
  if (request_sent_ && now - *request_sent_ < kRequestTimeout) return {};
  request_sent_ = now;
  ++stats_.requests_sent;
  return {{from, ConfigRequest{have}}};
}

OutgoingList ConfigDistributor::Impl::Tick(Membership& membership, Instant now,
                                           Random& random) {
  Start(now);
  OutgoingList out;
  const HostTable* table = hosts();
  if (pushed_version_ < history_.version()) out = Push(membership, now, random);
  if (std::exchange(confirmation_due_, false)) {
    for (auto& sent : SendConfirmations(membership, now)) {
      out.push_back(std::move(sent));
    }
  }
  if (now < next_digest_) return out;

  const Duration interval =
      history_.current() ? init_.digest_interval
                         : std::min(kStartupInterval, init_.digest_interval);
  // Randomise the phase of the digests of this process.
  const bool first = next_digest_ == Instant{};
  const double fraction =
      first ? std::uniform_real_distribution<double>(0, 1)(random) : 1.0;
  next_digest_ =
      now + std::chrono::duration_cast<Duration>(interval * fraction);
  Digest digest = MakeDigest(now);
  digest.members = membership.NextUpdates();
  for (const HostId host :
       peer_selector_.Pick(table, membership, init_.digest_fanout, random)) {
    out.push_back({host, digest});
  }
  return out;
}

OutgoingList ConfigDistributor::Impl::Push(const Membership& membership,
                                           Instant now, Random& random) {
  OutgoingList out;
  ConfigDelta delta;
  const bool push_delta =
      history_.MakeDelta(pushed_version_, kMaxPushedDelta, delta);
  pushed_version_ = history_.version();
  const bool first_hand = first_hand_version_ == history_.version();
  for (const HostId host : PushPeers(membership, first_hand, random)) {
    if (push_delta) {
      ++stats_.deltas_sent;
      out.push_back({host, delta});
    } else {
      out.push_back({host, MakeDigest(now)});
    }
  }
  return out;
}

OutgoingList ConfigDistributor::Impl::SendConfirmations(
    const Membership& membership, Instant now) {
  OutgoingList out;
  if (RoleOf(membership) == ReaderRole::kOther) return out;
  for (const HostId host : peer_selector_.TopRanked(
           *hosts(), history_.version(), membership, MaxReaderRank())) {
    out.push_back({host, MakeDigest(now)});
  }
  return out;
}

ReaderRole ConfigDistributor::Impl::RoleOf(const Membership& membership) const {
  const HostTable* table = hosts();
  if (table == nullptr) return ReaderRole::kOther;
  // A host that is cut off from all others sees them as unusable. It must not
  // become a reader for that reason, or all hosts would when each is cut off.
  const auto rank = peer_selector_.RankOf(*table, history_.version(),
                                          membership, MaxReaderRank());
  if (!rank) return ReaderRole::kOther;
  const int readers = init_.readers_per_domain;
  if (rank->usable_ahead < readers && rank->ahead < 2 * readers) {
    return ReaderRole::kReader;
  }
  return rank->usable_ahead < readers + init_.standbys_per_domain
             ? ReaderRole::kStandby
             : ReaderRole::kOther;
}

bool ConfigDistributor::Impl::IsTakeoverDue(ReaderRole role, Instant now) {
  if (role != ReaderRole::kStandby) last_takeover_.reset();
  if (standby_timer_.IsOverdue(role, platform_schedule_.Age(now),
                               init_.takeover_after, now)) {
    last_takeover_ = now;
  }
  return last_takeover_ && now - *last_takeover_ < init_.min_takeover_time;
}

ConfigDistributor::PlatformAction ConfigDistributor::Impl::NextPlatformAction(
    const Membership& membership, Instant now, Random& random,
    bool fallback_reader) {
  Start(now);
  const HostTable* table = hosts();
  const ReaderRole reader_role = RoleOf(membership);
  const bool takeover = IsTakeoverDue(reader_role, now);
  PlatformSchedule::Role role = PlatformSchedule::Role::kOther;
  if (fallback_reader) role = PlatformSchedule::Role::kFallbackReader;
  // Standbys are few, so that they need not share a window.
  if (takeover) role = PlatformSchedule::Role::kStandby;
  if (reader_role == ReaderRole::kReader) {
    role = PlatformSchedule::Role::kReader;
  }
  const std::size_t count = table == nullptr ? 0 : table->hosts.size();
  const auto action = platform_schedule_.Next(role, count, now, random);
  if (action != PlatformAction::kNone) ++stats_.platform_reads;
  return action;
}

bool ConfigDistributor::Impl::IsReady(Instant now) const {
  if (!history_.current() || !started_) return false;
  const bool contacted = peer_replied_ && platform_responded_;
  return contacted || now - *started_ >= init_.startup_wait;
}

bool ConfigDistributor::Impl::IsStale(Instant now) const {
  if (init_.key_staleness_limit == Duration::zero() || !started_) return false;
  return now - last_external_contact_ > init_.key_staleness_limit;
}

void ConfigDistributor::Impl::Apply(DocumentPointer document,
                                    std::string patch) {
  history_.Advance(std::move(document), std::move(patch));
  assembly_.Clear();
  request_sent_.reset();
  findings_ = Findings();
  rejected_text_hash_ = 0;
  if (refused_ && refused_->version <= history_.version()) refused_.reset();
  ++stats_.applied;
}

void ConfigDistributor::Impl::Reject(Version version, Findings findings,
                                     Instant now) {
  if (findings.empty()) {
    findings.Add("/version", "does not match the version of the message");
  }
  RecordRefusal(version, Source::kPeer, std::move(findings));
  rejected_version_ = version;
  rejected_until_ = now + kRejectedRetryDelay;
  request_sent_.reset();
}

void ConfigDistributor::Impl::RecordSenderDomain(HostId from, Instant now) {
  const HostTable* table = hosts();
  if (table == nullptr) return;
  for (const auto& [domain, members] : table->hosts_by_domain) {
    if (domain == init_.failure_domain) continue;
    if (std::binary_search(members.begin(), members.end(), from)) {
      last_external_contact_ = now;
    }
  }
}

/// Ignores a peer without a configuration, since it cannot protect a new
/// process from a stale platform.
void ConfigDistributor::Impl::RecordPeerReply(Version version) {
  if (version.valid()) peer_replied_ = true;
}

Digest ConfigDistributor::Impl::MakeDigest(Instant now) const {
  Digest digest;
  digest.version = history_.version();
  digest.platform_age = platform_schedule_.Age(now);
  return digest;
}

Result<ConfigDistributor> ConfigDistributor::Create(const Init& init) {
  Findings findings;
  if (!init.self.valid()) findings.Add("/self", "missing field");
  if (!init.failure_domain.valid()) {
    findings.Add("/failure_domain", "missing field");
  }
  const auto check = [&findings](const char* place, bool valid) {
    if (!valid) findings.Add(place, "out of range");
  };
  check("/readers_per_domain", init.readers_per_domain >= 1);
  check("/standbys_per_domain", init.standbys_per_domain >= 0);
  check("/first_hand_fanout", init.first_hand_fanout >= 1);
  check("/takeover_after", init.takeover_after > Duration::zero());
  check("/push_fanout", init.push_fanout >= 1);
  check("/digest_fanout", init.digest_fanout >= 1);
  check("/digest_interval", init.digest_interval > Duration::zero());
  check("/confirmation_limit", init.confirmation_limit > init.watch_wait);
  check("/startup_wait", init.startup_wait >= Duration::zero());
  check("/key_staleness_limit", init.key_staleness_limit >= Duration::zero());
  check("/watch_wait", init.watch_wait > Duration::zero());
  if (!findings.empty()) return boost::leaf::new_error(std::move(findings));
  return ConfigDistributor(std::make_unique<Impl>(init));
}

ConfigDistributor::ConfigDistributor(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
ConfigDistributor::ConfigDistributor(ConfigDistributor&& other) noexcept =
    default;
ConfigDistributor& ConfigDistributor::operator=(
    ConfigDistributor&& other) noexcept = default;
ConfigDistributor::~ConfigDistributor() = default;

Result<void> ConfigDistributor::OnPlatformDocument(std::string_view text,
                                                   Instant now) {
  return impl_->OnPlatformDocument(text, now);
}
Result<void> ConfigDistributor::OnParsedPlatformDocument(
    const nlohmann::json& document, Instant now) {
  return impl_->OnParsedPlatformDocument(document, now);
}
void ConfigDistributor::OnPlatformUnchanged(Instant now) {
  impl_->OnPlatformUnchanged(now);
}
void ConfigDistributor::OnPlatformRefused(Version version, Findings findings,
                                          Instant now) {
  impl_->OnPlatformRefused(version, std::move(findings), now);
}
void ConfigDistributor::OnPlatformFailure(Instant now) {
  impl_->OnPlatformResult(CallResult::kFailed, now);
}
std::vector<ConfigDistributor::Outgoing> ConfigDistributor::OnMessage(
    HostId from, const PeerMessage& message, Instant now) {
  return impl_->OnMessage(from, message, now);
}
std::vector<ConfigDistributor::Outgoing> ConfigDistributor::Tick(
    Membership& membership, Instant now, Random& random) {
  return impl_->Tick(membership, now, random);
}
ConfigDistributor::PlatformAction ConfigDistributor::NextPlatformAction(
    const Membership& membership, Instant now, Random& random,
    bool fallback_reader) {
  return impl_->NextPlatformAction(membership, now, random, fallback_reader);
}
ReaderRole ConfigDistributor::RoleOf(const Membership& membership) const {
  return impl_->RoleOf(membership);
}
void ConfigDistributor::ConfirmToStandbys() { impl_->ConfirmToStandbys(); }
std::vector<HostId> ConfigDistributor::PushPeers(const Membership& membership,
                                                 bool first_hand,
                                                 Random& random) const {
  return impl_->PushPeers(membership, first_hand, random);
}
void ConfigDistributor::SetHosts(const Configuration& configuration) {
  impl_->SetHosts(configuration);
}
bool ConfigDistributor::IsReady(Instant now) const {
  return impl_->IsReady(now);
}
bool ConfigDistributor::IsStale(Instant now) const {
  return impl_->IsStale(now);
}
Duration ConfigDistributor::PlatformAge(Instant now) const {
  return impl_->platform_schedule().Age(now);
}
Duration ConfigDistributor::PlatformRetryDelay(Instant now) const {
  return impl_->platform_schedule().RetryDelay(now);
}
std::shared_ptr<const Configuration> ConfigDistributor::current() const {
  const DocumentPointer& document = impl_->history().current();
  return document ? document->configuration : nullptr;
}
std::optional<Version> ConfigDistributor::refused_version() const {
  return impl_->refused_version();
}
const Findings& ConfigDistributor::last_findings() const {
  return impl_->findings();
}
const ConfigDistributor::Stats& ConfigDistributor::stats() const {
  return impl_->stats();
}

}  // namespace lentilcross
