#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/membership.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/reader_role.h"
#include "lentilcross/types.h"

namespace lentilcross {

class DocumentStore;

/// Distributes configuration versions between hosts by gossip: schedules reads
/// of the platform, replies to digests, and builds deltas and snapshots. The
/// version never decreases.
class ConfigDistributor {
 public:
  struct Init {
    HostId self;
    FailureDomainId failure_domain;
    int readers_per_domain = 2;
    /// Further hosts of each failure domain that watch in place of its readers
    /// while these do not confirm the version.
    int standbys_per_domain = 2;
    /// Time without a confirmation after which a standby watches. Must exceed
    /// `watch_wait` and leave time to read and pass on a version.
    Duration takeover_after = std::chrono::seconds(3);
    /// Minimum time for which a standby keeps watching.
    Duration min_takeover_time = std::chrono::seconds(5);
    int push_fanout = 4;
    /// Hosts of its failure domain to which a host pushes what it has read from
    /// the platform. It also pushes that to one host of each other domain.
    int first_hand_fanout = 16;
    int digest_fanout = 2;
    Duration digest_interval = std::chrono::seconds(1);
    Duration confirmation_limit = std::chrono::seconds(10);
    Duration startup_wait = std::chrono::seconds(3);
    Duration key_staleness_limit = std::chrono::minutes(10);  ///< 0: none.
    /// How long the platform holds a watch open for a newer version. Together
    /// with the time that digests take, it must stay below
    /// `confirmation_limit`.
    Duration watch_wait = std::chrono::seconds(2);
    /// Shares parsed documents between the ConfigDistributor objects of a
    /// simulation. Null: not shared.
    std::shared_ptr<DocumentStore> documents;
  };
  struct Stats {
    std::uint64_t applied = 0;
    std::uint64_t ignored_older = 0;
    std::uint64_t rejected = 0;
    std::uint64_t corrupt = 0;  ///< Deltas or snapshots with a wrong checksum.
    std::uint64_t deltas_sent = 0;
    std::uint64_t snapshots_sent = 0;
    std::uint64_t platform_reads = 0;
    std::uint64_t requests_sent = 0;
  };
  struct Outgoing {
    HostId to;
    PeerMessage message;
  };
  /// `kWatch`: request a version newer than the current one, waiting up to
  /// `Init::watch_wait`. `kRead`: the same without waiting.
  enum class PlatformAction : std::uint8_t { kNone, kWatch, kRead };

  /// Fails with `Findings` if a member of `init` is out of range.
  static Result<ConfigDistributor> Create(const Init& init);

  ConfigDistributor(ConfigDistributor&& other) noexcept;
  ConfigDistributor& operator=(ConfigDistributor&& other) noexcept;
  ~ConfigDistributor();

  /// Handles a document read from the platform. Fails with `Findings` if it is
  /// invalid, but only once for the same document.
  Result<void> OnPlatformDocument(std::string_view text, Instant now);
  /// The same for a document that was composed from a value of another form, so
  /// that the limit for published values does not apply.
  Result<void> OnParsedPlatformDocument(const nlohmann::json& document,
                                        Instant now);
  /// Call when the platform has nothing newer than what it last returned. That
  /// confirms the current version, unless what it returned was refused.
  void OnPlatformUnchanged(Instant now);
  /// Call when the platform's newest document cannot be read at all. `version`
  /// is invalid if it is not known.
  void OnPlatformRefused(Version version, Findings findings, Instant now);
  void OnPlatformFailure(Instant now);
  /// Handles a Digest, ConfigRequest, ConfigDelta or ConfigSnapshot from a peer
  /// and returns the replies. The caller handles the membership updates of a
  /// digest.
  std::vector<Outgoing> OnMessage(HostId from, const PeerMessage& message,
                                  Instant now);
  /// Returns the digests that are due and, after a new version, its deltas.
  /// Call every 100 ms, and immediately after `current` changes.
  std::vector<Outgoing> Tick(Membership& membership, Instant now,
                             Random& random);
  /// Returns the platform call to start now. When it ends, call one of the
  /// `OnPlatform` functions. With `fallback_reader`, this host watches the
  /// platform even if `IsReader` is false.
  PlatformAction NextPlatformAction(const Membership& membership, Instant now,
                                    Random& random,
                                    bool fallback_reader = false);
  /// Whether this host is one of the `Init::readers_per_domain` hosts of its
  /// failure domain that watch the platform, or of the standbys after them.
  ReaderRole RoleOf(const Membership& membership) const;
  /// Call when this host has read from the platform something that peers wait
  /// for, other than the document. A reader or standby then sends a digest to
  /// the others of its failure domain with the next `Tick`.
  void ConfirmToStandbys();
  /// Picks random hosts to push a change to; they pass it on. `first_hand`: it
  /// was read from the platform, not received from a peer.
  std::vector<HostId> PushPeers(const Membership& membership, bool first_hand,
                                Random& random) const;

  /// Replaces the hosts of the document, which lists none if targets register
  /// themselves.
  void SetHosts(const Configuration& configuration);

  /// True if keyed routes can be served: there is a configuration, and a peer
  /// and the platform have replied or `startup_wait` has passed.
  bool IsReady(Instant now) const;
  /// True after `key_staleness_limit` without contact with the platform or
  /// another failure domain.
  bool IsStale(Instant now) const;
  /// Time since the platform last confirmed the current version to this host
  /// or a peer.
  Duration PlatformAge(Instant now) const;
  /// Time until a reader may call the platform again; 0 if it may call now.
  Duration PlatformRetryDelay(Instant now) const;
  /// Null until the first version is received.
  std::shared_ptr<const Configuration> current() const;
  /// Version of a newer document, from the platform or a peer, that this
  /// process has refused: it serves an older one. Invalid if the version could
  /// not be read; empty if there is no such document.
  std::optional<Version> refused_version() const;
  /// Findings of the last invalid document; empty after a new version.
  const Findings& last_findings() const;
  const Stats& stats() const;

 private:
  class Impl;

  explicit ConfigDistributor(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
