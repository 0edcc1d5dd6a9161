#pragma once

#include <optional>
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

  /// Picks the hosts that this host tells what it has read from the platform:
  /// up to `count` usable ones of its failure domain and one of each other, so
  /// that a domain without a working reader hears of it at once.
  std::vector<HostId> PickForFirstHandNews(const HostTable& table,
                                           const Membership& membership,
                                           int count, Random& random) const;

  /// Position of this host in its failure domain, ordered by rendezvous hash of
  /// `version`: how many hosts come before it, and how many of them are usable.
  struct Rank {
    int ahead = 0;
    int usable_ahead = 0;
  };
  /// Empty if `limit` hosts come before it, or if it must not read the
  /// platform.
  std::optional<Rank> RankOf(const HostTable& table, Version version,
                             const Membership& membership, int limit) const;
  /// The usable ones among the first `count` hosts in that order, without
  /// `self`.
  std::vector<HostId> TopRanked(const HostTable& table, Version version,
                                const Membership& membership, int count) const;
};

}  // namespace lentilcross
