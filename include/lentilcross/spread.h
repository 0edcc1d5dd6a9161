#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/membership.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Spreads configuration versions: decides who reads the platform, answers
/// digests, and builds deltas and snapshots.
class Spread {
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
  };
  struct Stats {
    std::uint64_t applied = 0;
    std::uint64_t ignored_older = 0;
    std::uint64_t rejected = 0;
    std::uint64_t deltas_sent = 0;
    std::uint64_t snapshots_sent = 0;
    std::uint64_t platform_reads = 0;
  };
  struct Outgoing {
    HostId to;
    PeerMessage message;
  };
  enum class PlatformAction : std::uint8_t { kNone, kWatch, kRead };

  static Result<Spread> Create(const Init& init);

  /// A document read from the platform. The error carries `Findings`.
  Result<void> OnPlatformDocument(std::string_view text, Instant now);
  void OnPlatformUnchanged(Instant now);
  void OnPlatformFailure(Instant now);
  /// A message from a peer: Digest, ConfigRequest, ConfigDelta,
  /// ConfigSnapshot. Returns answers.
  std::vector<Outgoing> OnMessage(HostId from, const PeerMessage& message,
                                  Instant now);
  std::vector<Outgoing> Tick(const Membership& membership, Instant now,
                             Random& random);
  /// What to ask of the platform now.
  PlatformAction NextPlatformAction(const Membership& membership, Instant now,
                                    Random& random);

  /// Ready to serve keyed routes.
  bool IsReady(Instant now) const;
  /// Neither the platform nor another failure domain heard for too long.
  bool IsStale(Instant now) const;
  std::shared_ptr<const Configuration> current() const;
  const Findings& last_findings() const;
  const Stats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
