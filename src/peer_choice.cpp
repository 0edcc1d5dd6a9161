#include "peer_choice.h"

#include <algorithm>

namespace lentilcross {
namespace {

// Tries per host wanted. Most hosts are usable; a miss only costs one digest.
constexpr int kTriesPerHost = 4;

std::size_t Below(std::size_t size, Random& random) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

bool Contains(const std::vector<HostId>& hosts, HostId host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

}  // namespace

std::vector<HostId> PeerSelector::Pick(const HostTable* table,
                                       const Membership& membership, int count,
                                       Random& random) const {
  std::vector<HostId> picked;
  const auto pick_from = [&](const std::vector<HostId>& hosts, int wanted) {
    const auto limit = picked.size() + static_cast<std::size_t>(wanted);
    for (int i = 0; i < wanted * kTriesPerHost && !hosts.empty(); ++i) {
      if (picked.size() >= limit) return;
      const HostId host = hosts[Below(hosts.size(), random)];
      const bool good =
          host != self && membership.IsUsable(host) && !Contains(picked, host);
      if (good) picked.push_back(host);
    }
  };
  if (table == nullptr) {
    std::vector<HostId> known;
    for (const auto& [host, member] : membership.members()) {
      known.push_back(host);
    }
    std::sort(known.begin(), known.end());
    pick_from(known, count);
    return picked;
  }
  if (Below(static_cast<std::size_t>(outside_every), random) == 0) {
    pick_from(table->hosts, 1);
  }
  const auto own = table->hosts_by_domain.find(failure_domain);
  if (own != table->hosts_by_domain.end()) {
    pick_from(own->second, count - static_cast<int>(picked.size()));
  }
  // A small failure domain: fill up from all.
  if (static_cast<int>(picked.size()) < count) {
    pick_from(table->hosts, count - static_cast<int>(picked.size()));
  }
  return picked;
}

bool PeerSelector::IsReader(const HostTable& table, Version version_number,
                            const Membership& membership, int readers) const {
  const auto own = table.readers_by_domain.find(failure_domain);
  if (own == table.readers_by_domain.end()) return false;
  if (!Contains(own->second, self)) return false;
  const std::uint64_t version = version_number.value();
  const std::uint64_t own_score = CombineHash(self.value(), version);
  int above = 0;
  int usable_above = 0;
  for (const HostId host : own->second) {
    if (host == self || CombineHash(host.value(), version) < own_score) {
      continue;
    }
    ++above;
    if (membership.IsUsable(host)) ++usable_above;
    if (usable_above >= readers || above >= 2 * readers) return false;
  }
  return true;
}

}  // namespace lentilcross
