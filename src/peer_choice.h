#pragma once

#include <vector>

#include "lentilcross/membership.h"
#include "published_document.h"

namespace lentilcross {

/// Picks up to `count` different usable hosts at random, other than `self`:
/// from the failure domain of this process, but with a chance of 1 in
/// `outside_every` one of them from any other. Without a table the hosts come
/// from the membership.
struct PeerSelector {
  HostId self;
  FailureDomainId failure_domain;
  int outside_every = 4;

  std::vector<HostId> Pick(const HostTable* table, const Membership& membership,
                           int count, Random& random) const;

  /// True if this host is among the first `readers` of its failure domain in
  /// the rendezvous order of `version`. Unusable hosts are passed
  /// over, but at most `readers` of them: a host that is cut off from all
  /// others must not become a reader on that account, because then all would.
  bool IsReader(const HostTable& table, Version version,
                const Membership& membership, int readers) const;
};

}  // namespace lentilcross
