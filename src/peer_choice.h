#pragma once

#include <vector>

#include "lentilcross/membership.h"
#include "published_document.h"

namespace lentilcross {

/// Selects the hosts that this host exchanges state with, and whether it reads
/// from the platform itself.
struct PeerSelector {
  HostId self;
  FailureDomainId failure_domain;
  /// On average, one in this many calls of `Pick` takes one host from any
  /// failure domain.
  int remote_pick_interval = 4;

  /// Picks up to `count` different usable hosts at random, other than `self`,
  /// preferably from the own failure domain. Without a table the hosts come
  /// from the membership.
  std::vector<HostId> Pick(const HostTable* table, const Membership& membership,
                           int count, Random& random) const;

  /// True if this host is among the first `readers` usable hosts of its failure
  /// domain, ordered by rendezvous hash of `version`. Skips at most `readers`
  /// unusable hosts.
  bool IsReader(const HostTable& table, Version version,
                const Membership& membership, int readers) const;
};

}  // namespace lentilcross
