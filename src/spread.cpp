#include "lentilcross/spread.h"

#include <algorithm>
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

using Answer = PlatformSchedule::Answer;
using OutgoingList = std::vector<ConfigDistributor::Outgoing>;

// A request without an answer for so long may go to another peer.
constexpr Duration kRequestTimeout = std::chrono::seconds(1);
// A version that a peer has and this process refuses is not requested again
// for so long.
constexpr Duration kRejectedPause = std::chrono::seconds(30);
// A digest is answered with a digest only if the answer is news by so much;
// less would let two peers answer each other for ever.
constexpr Duration kFresherBy = std::chrono::seconds(1);
// Without a configuration a process asks its peers this often.
constexpr Duration kStartupInterval = std::chrono::milliseconds(250);
// Larger deltas are not pushed; peers see the version in a digest and ask one
// host for it.
constexpr std::size_t kMaxPushedDelta = 65536;
constexpr std::size_t kMaxDelta = LENTILCROSS_CONFIG_MAX_PEER_MESSAGE / 2;

}  // namespace

class ConfigDistributor::Impl {
 public:
  explicit Impl(const Init& init)
      : init_(init),
        documents_(init.documents ? init.documents
                                  : std::make_shared<DocumentStore>()),
        schedule_(
            {init.confirmation_limit, init.startup_wait, init.watch_wait}),
        peers_{init.self, init.failure_domain} {}

  Result<void> OnPlatformDocument(std::string_view text, Instant now);
  void OnPlatformAnswer(Answer answer, Instant now);
  OutgoingList OnMessage(HostId from, const PeerMessage& message, Instant now);
  OutgoingList Tick(Membership& membership, Instant now, Random& random);
  PlatformAction NextPlatformAction(const Membership& membership, Instant now,
                                    Random& random, bool stands_in);
  bool IsReader(const Membership& membership) const;
  std::vector<HostId> PushPeers(const Membership& membership,
                                Random& random) const {
    return peers_.Pick(hosts(), membership, init_.push_fanout, random);
  }
  bool IsReady(Instant now) const;
  bool IsStale(Instant now) const;

  void SetHosts(const Configuration& configuration) {
    announced_hosts_ = HostTable::FromConfiguration(configuration);
  }

  const DocumentHistory& history() const { return history_; }
  const PlatformSchedule& schedule() const { return schedule_; }
  const Findings& findings() const { return findings_; }
  const Stats& stats() const { return stats_; }

 private:
  OutgoingList OnDigest(HostId from, const Digest& digest, Instant now);
  OutgoingList OnRequest(HostId from, const ConfigRequest& request);
  OutgoingList OnDelta(HostId from, const ConfigDelta& delta, Instant now);
  OutgoingList OnSnapshot(HostId from, const ConfigSnapshot& piece,
                          Instant now);
  /// Requests what is newer than `have`, unless a request is open.
  OutgoingList Ask(HostId from, Version have, Instant now);
  OutgoingList Push(const Membership& membership, Instant now, Random& random);
  void Adopt(DocumentPointer document, std::string patch);
  void Reject(Version version, Findings findings, Instant now);
  void Start(Instant now);
  void RecordPeer(HostId from, Instant now);
  void RecordPeerAnswer(Version version);
  Digest MakeDigest(Instant now) const;

  /// Null before the first configuration.
  const HostTable* hosts() const {
    if (announced_hosts_) return &*announced_hosts_;
    return history_.current().get();
  }

  Init init_;
  Stats stats_;
  std::optional<HostTable> announced_hosts_;  ///< From the registry.
  std::shared_ptr<DocumentStore> documents_;
  DocumentHistory history_;
  PlatformSchedule schedule_;
  PeerChoice peers_;
  SnapshotAssembly assembly_;
  Findings findings_;
  std::optional<Instant> requested_;  ///< While a request is open.
  std::optional<Instant> started_;
  Instant next_digest_{};
  Instant outside_contact_{};  ///< With the platform or another domain.
  Version pushed_;             ///< Version up to which changes were pushed.
  Version rejected_;
  Instant rejected_until_{};
  std::uint64_t rejected_text_ = 0;  ///< Hash of an invalid document.
  bool peer_answered_ = false;
  bool platform_answered_ = false;
};

void ConfigDistributor::Impl::Start(Instant now) {
  if (started_) return;
  started_ = now;
  outside_contact_ = now;
}

Result<void> ConfigDistributor::Impl::OnPlatformDocument(std::string_view text,
                                                         Instant now) {
  const std::uint64_t hash = HashName(text);
  if (hash == rejected_text_) {
    OnPlatformAnswer(Answer::kUseless, now);
    return {};
  }
  Findings findings;
  DocumentPointer document = documents_->FromText(text, findings);
  if (!document) {
    OnPlatformAnswer(Answer::kUseless, now);
    rejected_text_ = hash;
    ++stats_.rejected;
    findings_ = findings;
    return boost::leaf::new_error(std::move(findings));
  }
  if (document->version() <= history_.version()) {
    const bool equal = document->version() == history_.version();
    if (!equal) ++stats_.ignored_older;
    OnPlatformAnswer(equal ? Answer::kConfirmed : Answer::kUseless, now);
    return {};
  }
  Adopt(std::move(document), "");
  OnPlatformAnswer(Answer::kApplied, now);
  return {};
}

void ConfigDistributor::Impl::OnPlatformAnswer(Answer answer, Instant now) {
  Start(now);
  schedule_.OnAnswer(answer, now);
  if (answer == Answer::kFailed) return;
  platform_answered_ = true;
  outside_contact_ = now;
}

OutgoingList ConfigDistributor::Impl::OnMessage(HostId from,
                                                const PeerMessage& message,
                                                Instant now) {
  Start(now);
  RecordPeer(from, now);
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
    const bool refused = digest.version == rejected_ && now < rejected_until_;
    return refused ? OutgoingList{} : Ask(from, version, now);
  }
  RecordPeerAnswer(digest.version);
  if (digest.version < version) {
    ConfigDelta delta;
    if (history_.MakeDelta(digest.version, kMaxPushedDelta, delta)) {
      ++stats_.deltas_sent;
      return {{from, std::move(delta)}};
    }
    return {{from, MakeDigest(now)}};
  }
  const Duration own_age = schedule_.Age(now);
  if (own_age + kFresherBy < digest.platform_age) {
    return {{from, MakeDigest(now)}};
  }
  if (digest.platform_age < kMaxPeerDuration) {
    // In a domain that is cut off from the others but not from the platform,
    // most hosts hear the platform only through the readers.
    const Instant confirmed = now - digest.platform_age;
    schedule_.OnConfirmedByPeer(confirmed);
    outside_contact_ = std::max(outside_contact_, confirmed);
  }
  return {};
}

OutgoingList ConfigDistributor::Impl::OnRequest(HostId from,
                                                const ConfigRequest& request) {
  OutgoingList answers;
  if (!(request.have < history_.version())) return answers;
  ConfigDelta delta;
  if (history_.MakeDelta(request.have, kMaxDelta, delta)) {
    ++stats_.deltas_sent;
    answers.push_back({from, std::move(delta)});
    return answers;
  }
  ++stats_.snapshots_sent;
  for (ConfigSnapshot& piece : history_.MakeSnapshot()) {
    answers.push_back({from, std::move(piece)});
  }
  return answers;
}

OutgoingList ConfigDistributor::Impl::OnDelta(HostId from,
                                              const ConfigDelta& delta,
                                              Instant now) {
  const Version version = history_.version();
  if (delta.to <= version) {
    ++stats_.ignored_older;
    return {};
  }
  if (delta.from != version) return Ask(from, version, now);
  if (delta.to == rejected_ && now < rejected_until_) return {};
  Findings findings;
  DocumentPointer document =
      documents_->FromPatch(*history_.current(), delta.entries, findings);
  const bool same = document && document->version() == delta.to &&
                    document->checksum == delta.checksum;
  if (!same) {
    // A damaged delta, or another document under the own version number. A
    // snapshot settles both; its findings, if any, are the real ones.
    ++stats_.corrupt;
    requested_.reset();
    return Ask(from, Version(), now);
  }
  Adopt(std::move(document), delta.entries);
  RecordPeerAnswer(version);
  return {};
}

OutgoingList ConfigDistributor::Impl::OnSnapshot(HostId from,
                                                 const ConfigSnapshot& piece,
                                                 Instant now) {
  if (piece.version <= history_.version()) {
    ++stats_.ignored_older;
    return {};
  }
  if (piece.version == rejected_ && now < rejected_until_) return {};
  if (requested_) requested_ = now;
  const auto outcome = assembly_.Add(piece, now, kRequestTimeout);
  if (outcome == SnapshotAssembly::Outcome::kIncomplete) return {};
  if (outcome == SnapshotAssembly::Outcome::kCorrupt) {
    ++stats_.corrupt;
    return {};  // asked for again after the next digest
  }
  Findings findings;
  DocumentPointer document =
      documents_->FromCbor(assembly_.TakeBytes(), findings);
  if (!document || document->version() != piece.version) {
    Reject(piece.version, std::move(findings), now);
    return {};
  }
  Adopt(std::move(document), "");
  RecordPeerAnswer(piece.version);
  return {{from, MakeDigest(now)}};
}

OutgoingList ConfigDistributor::Impl::Ask(HostId from, Version have,
                                          Instant now) {
  if (requested_ && now - *requested_ < kRequestTimeout) return {};
  requested_ = now;
  ++stats_.requests_sent;
  return {{from, ConfigRequest{have}}};
}

OutgoingList ConfigDistributor::Impl::Tick(Membership& membership, Instant now,
                                           Random& random) {
  Start(now);
  OutgoingList out;
  const HostTable* table = hosts();
  if (pushed_ < history_.version()) out = Push(membership, now, random);
  if (now < next_digest_) return out;

  const Duration interval =
      history_.current() ? init_.digest_interval
                         : std::min(kStartupInterval, init_.digest_interval);
  // The first digest of a process falls at a random place in the interval.
  const bool first = next_digest_ == Instant{};
  const double part =
      first ? std::uniform_real_distribution<double>(0, 1)(random) : 1.0;
  next_digest_ = now + std::chrono::duration_cast<Duration>(interval * part);
  Digest digest = MakeDigest(now);
  digest.members = membership.NextUpdates();
  for (const HostId host :
       peers_.Pick(table, membership, init_.digest_fanout, random)) {
    out.push_back({host, digest});
  }
  return out;
}

OutgoingList ConfigDistributor::Impl::Push(const Membership& membership,
                                           Instant now, Random& random) {
  OutgoingList out;
  ConfigDelta delta;
  const bool small = history_.MakeDelta(pushed_, kMaxPushedDelta, delta);
  pushed_ = history_.version();
  for (const HostId host : PushPeers(membership, random)) {
    if (small) {
      ++stats_.deltas_sent;
      out.push_back({host, delta});
    } else {
      out.push_back({host, MakeDigest(now)});
    }
  }
  return out;
}

bool ConfigDistributor::Impl::IsReader(const Membership& membership) const {
  const HostTable* table = hosts();
  return table != nullptr &&
         peers_.IsReader(*table, history_.version(), membership,
                         init_.readers_per_domain);
}

ConfigDistributor::PlatformAction ConfigDistributor::Impl::NextPlatformAction(
    const Membership& membership, Instant now, Random& random, bool stands_in) {
  Start(now);
  const HostTable* table = hosts();
  PlatformSchedule::Role role = PlatformSchedule::Role::kOther;
  if (stands_in) role = PlatformSchedule::Role::kStandIn;
  if (IsReader(membership)) role = PlatformSchedule::Role::kReader;
  const std::size_t count = table == nullptr ? 0 : table->hosts.size();
  const auto action = schedule_.Next(role, count, now, random);
  if (action != PlatformAction::kNone) ++stats_.platform_reads;
  return action;
}

bool ConfigDistributor::Impl::IsReady(Instant now) const {
  if (!history_.current() || !started_) return false;
  const bool answered = peer_answered_ && platform_answered_;
  return answered || now - *started_ >= init_.startup_wait;
}

bool ConfigDistributor::Impl::IsStale(Instant now) const {
  if (init_.key_staleness_limit == Duration::zero() || !started_) return false;
  return now - outside_contact_ > init_.key_staleness_limit;
}

void ConfigDistributor::Impl::Adopt(DocumentPointer document,
                                    std::string patch) {
  history_.Advance(std::move(document), std::move(patch));
  assembly_.Clear();
  requested_.reset();
  findings_ = Findings();
  rejected_text_ = 0;
  ++stats_.applied;
}

void ConfigDistributor::Impl::Reject(Version version, Findings findings,
                                     Instant now) {
  if (findings.empty()) {
    findings.Add("/version", "does not match the version of the message");
  }
  findings_ = std::move(findings);
  rejected_ = version;
  rejected_until_ = now + kRejectedPause;
  requested_.reset();
  ++stats_.rejected;
}

void ConfigDistributor::Impl::RecordPeer(HostId from, Instant now) {
  const HostTable* table = hosts();
  if (table == nullptr) return;
  for (const auto& [domain, members] : table->hosts_by_domain) {
    if (domain == init_.failure_domain) continue;
    if (std::binary_search(members.begin(), members.end(), from)) {
      outside_contact_ = now;
    }
  }
}

/// A peer without any configuration is no answer: it cannot protect a new
/// process from a stale platform.
void ConfigDistributor::Impl::RecordPeerAnswer(Version version) {
  if (version.valid()) peer_answered_ = true;
}

Digest ConfigDistributor::Impl::MakeDigest(Instant now) const {
  Digest digest;
  digest.version = history_.version();
  digest.platform_age = schedule_.Age(now);
  return digest;
}

Result<ConfigDistributor> ConfigDistributor::Create(const Init& init) {
  Findings findings;
  if (!init.self.valid()) findings.Add("/self", "missing field");
  if (!init.failure_domain.valid()) {
    findings.Add("/failure_domain", "missing field");
  }
  const auto check = [&findings](const char* place, bool good) {
    if (!good) findings.Add(place, "out of range");
  };
  check("/readers_per_domain", init.readers_per_domain >= 1);
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
void ConfigDistributor::OnPlatformUnchanged(Instant now) {
  impl_->OnPlatformAnswer(Answer::kConfirmed, now);
}
void ConfigDistributor::OnPlatformFailure(Instant now) {
  impl_->OnPlatformAnswer(Answer::kFailed, now);
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
    const Membership& membership, Instant now, Random& random, bool stands_in) {
  return impl_->NextPlatformAction(membership, now, random, stands_in);
}
bool ConfigDistributor::IsReader(const Membership& membership) const {
  return impl_->IsReader(membership);
}
std::vector<HostId> ConfigDistributor::PushPeers(const Membership& membership,
                                                 Random& random) const {
  return impl_->PushPeers(membership, random);
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
  return impl_->schedule().Age(now);
}
Duration ConfigDistributor::PlatformRetryDelay(Instant now) const {
  return impl_->schedule().Pause(now);
}
std::shared_ptr<const Configuration> ConfigDistributor::current() const {
  const DocumentPointer& document = impl_->history().current();
  return document ? document->configuration : nullptr;
}
const Findings& ConfigDistributor::last_findings() const {
  return impl_->findings();
}
const ConfigDistributor::Stats& ConfigDistributor::stats() const {
  return impl_->stats();
}

}  // namespace lentilcross
