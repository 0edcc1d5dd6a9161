#include "peer_choice.h"

#include <algorithm>
#include <iterator>

namespace lentilcross {
namespace {

// Random tries per wanted host. Most hosts are usable, and picking too few
// costs only one digest each.
constexpr int kTriesPerHost = 4;

std::size_t RandomIndex(std::size_t size, Random& random) {
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
      const HostId host = hosts[RandomIndex(hosts.size(), random)];
      const bool eligible =
          host != self && membership.IsUsable(host) && !Contains(picked, host);
      if (eligible) picked.push_back(host);
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
  if (RandomIndex(static_cast<std::size_t>(remote_pick_interval), random) ==
      0) {
    pick_from(table->hosts, 1);
  }
  const auto own = table->hosts_by_domain.find(failure_domain);
  if (own != table->hosts_by_domain.end()) {
    pick_from(own->second, count - static_cast<int>(picked.size()));
  }
  // In a small failure domain, add hosts from all.
  if (static_cast<int>(picked.size()) < count) {
    pick_from(table->hosts, count - static_cast<int>(picked.size()));
  }
  return picked;
}

std::vector<HostId> PeerSelector::PickForFirstHandNews(
    const HostTable& table, const Membership& membership, int count,
    Random& random) const {
  std::vector<HostId> picked;
  for (const auto& [domain, hosts] : table.hosts_by_domain) {
    std::vector<HostId> usable;
    for (const HostId host : hosts) {
      if (host != self && membership.IsUsable(host)) usable.push_back(host);
    }
    const auto wanted =
        static_cast<std::size_t>(domain == failure_domain ? count : 1);
    std::sample(usable.begin(), usable.end(), std::back_inserter(picked),
                wanted, random);
  }
  return picked;
}

std::optional<PeerSelector::Rank> PeerSelector::RankOf(
    const HostTable& table, Version version_number,
    const Membership& membership, int limit) const {
  const auto own = table.readers_by_domain.find(failure_domain);
  if (own == table.readers_by_domain.end()) return std::nullopt;
  if (!Contains(own->second, self)) return std::nullopt;
  const std::uint64_t version = version_number.value();
  const std::uint64_t own_score = CombineHash(self.value(), version);
  Rank rank;
  for (const HostId host : own->second) {
    if (host == self || CombineHash(host.value(), version) < own_score) {
      continue;
    }
    if (++rank.ahead >= limit) return std::nullopt;
    if (membership.IsUsable(host)) ++rank.usable_ahead;
  }
  return rank;
}

std::vector<HostId> PeerSelector::TopRanked(const HostTable& table,
                                            Version version_number,
                                            const Membership& membership,
                                            int count) const {
  const auto own = table.readers_by_domain.find(failure_domain);
  if (own == table.readers_by_domain.end()) return {};
  const std::uint64_t version = version_number.value();
  std::vector<HostId> top(
      std::min(own->second.size(), static_cast<std::size_t>(count)));
  std::partial_sort_copy(own->second.begin(), own->second.end(), top.begin(),
                         top.end(), [version](HostId a, HostId b) {
                           return CombineHash(a.value(), version) >
                                  CombineHash(b.value(), version);
                         });
  const auto is_unwanted = [&](HostId host) {
    return host == self || !membership.IsUsable(host);
  };
  top.erase(std::remove_if(top.begin(), top.end(), is_unwanted), top.end());
  return top;
}

}  // namespace lentilcross
