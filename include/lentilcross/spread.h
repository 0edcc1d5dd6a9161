#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/membership.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

class DocumentStore;

/// Spreads configuration versions: decides who reads the platform, answers
/// digests, and builds deltas and snapshots. The version never goes back.
class ConfigDistributor {
 public:
  struct Init {
    HostId self;
    FailureDomainId failure_domain;
    int readers_per_domain = 2;
    int push_fanout = 4;
    int digest_fanout = 2;
    Duration digest_interval = std::chrono::seconds(1);
    Duration confirmation_limit = std::chrono::seconds(10);
    Duration startup_wait = std::chrono::seconds(3);
    Duration key_staleness_limit = std::chrono::minutes(10);  ///< 0: never.
    /// How long a watch waits at the platform for a newer version. Together
    /// with the spread of digests it stays below `confirmation_limit`.
    Duration watch_wait = std::chrono::seconds(2);
    /// Shares parsed documents between ConfigDistributor objects of one
    /// process, for simulations. Null: none are shared.
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
  /// `kWatch`: `after` the current version, waiting `Init::watch_wait`.
  /// `kRead`: the same without waiting.
  enum class PlatformAction : std::uint8_t { kNone, kWatch, kRead };

  /// Fails with `Findings` if a member of `init` is out of range.
  static Result<ConfigDistributor> Create(const Init& init);

  ConfigDistributor(ConfigDistributor&& other) noexcept;
  ConfigDistributor& operator=(ConfigDistributor&& other) noexcept;
  ~ConfigDistributor();

  /// A document read from the platform. The error carries `Findings`; the same
  /// invalid document read again is no error, so that it is reported once.
  Result<void> OnPlatformDocument(std::string_view text, Instant now);
  /// The platform has no version above the current one.
  void OnPlatformUnchanged(Instant now);
  void OnPlatformFailure(Instant now);
  /// A message from a peer: Digest, ConfigRequest, ConfigDelta,
  /// ConfigSnapshot. Returns answers. The membership updates of a digest are
  /// left to the caller.
  std::vector<Outgoing> OnMessage(HostId from, const PeerMessage& message,
                                  Instant now);
  /// Returns digests that are due and, after a new version, its deltas. Call
  /// it every 100 ms, and at once after `current` changed.
  std::vector<Outgoing> Tick(Membership& membership, Instant now,
                             Random& random);
  /// What to ask of the platform now. Each call that it starts ends with one
  /// of the `OnPlatform` functions. `stands_in`: a reader in any case.
  PlatformAction NextPlatformAction(const Membership& membership, Instant now,
                                    Random& random, bool stands_in = false);
  /// One of the few hosts of its failure domain that read the platform.
  bool IsReader(const Membership& membership) const;
  /// Hosts that get news at once; those tell others.
  std::vector<HostId> PushPeers(const Membership& membership,
                                Random& random) const;

  /// Hosts in place of those of the document, which lists none where targets
  /// register themselves.
  void SetHosts(const Configuration& configuration);

  /// Ready to serve keyed routes: a configuration is there, and a peer and the
  /// platform have answered or `startup_wait` has passed.
  bool IsReady(Instant now) const;
  /// Neither the platform nor another failure domain heard for too long.
  bool IsStale(Instant now) const;
  /// Time since the platform confirmed the current version, to this host or to
  /// a peer.
  Duration PlatformAge(Instant now) const;
  /// Time until a reader may call the platform again.
  Duration PlatformRetryDelay(Instant now) const;
  /// Null before the first version.
  std::shared_ptr<const Configuration> current() const;
  /// Findings of the last invalid document; empty once a newer one is valid.
  const Findings& last_findings() const;
  const Stats& stats() const;

 private:
  class Impl;

  explicit ConfigDistributor(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
