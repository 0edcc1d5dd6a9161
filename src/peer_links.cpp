#include "peer_links.h"

#include <utility>

#include "peer_links_impl.h"

namespace lentilcross {

PeerLinks::PeerLinks(boost::asio::io_context& io, const Init& init, Hooks hooks)
    : impl_(std::make_shared<Impl>(io, init, std::move(hooks))) {
  impl_->StartTimer();
}

PeerLinks::~PeerLinks() = default;

Result<Endpoint> PeerLinks::Listen(const Endpoint& endpoint) {
  return impl_->transport.Listen(endpoint);
}

void PeerLinks::StopListening() { impl_->transport.StopListening(); }

void PeerLinks::SetAddresses(std::unordered_map<HostId, Endpoint> addresses) {
  addresses.erase(impl_->init.self);
  impl_->addresses = std::move(addresses);
}

void PeerLinks::DialSeed(const Endpoint& endpoint) {
  impl_->seeds.push_back({endpoint, Instant{}});
}

LinkId PeerLinks::Find(HostId host) const { return impl_->FindUsable(host); }

const PeerLinks::Peer* PeerLinks::FindPeer(LinkId link) const {
  const auto it = impl_->links.find(link);
  if (it == impl_->links.end() || !it->second.up) return nullptr;
  return &it->second.peer;
}

Instant PeerLinks::ConfirmedSince(LinkId link) const {
  const auto it = impl_->links.find(link);
  return it == impl_->links.end() ? Instant{} : it->second.confirmed;
}

bool PeerLinks::Connect(HostId host) { return impl_->Connect(host); }

bool PeerLinks::SendOverLink(LinkId link, const PeerMessage& message) {
  return impl_->SendUp(link, message);
}

void PeerLinks::SendTo(HostId host, PeerMessage message) {
  if (const LinkId link = Find(host); link != 0) {
    SendOverLink(link, message);
    return;
  }
  if (!Connect(host)) return;
  auto& pending = impl_->dials[host].pending;
  if (pending.size() < impl_->init.max_pending) {
    pending.push_back(std::move(message));
  } else {
    ++impl_->stats.queue_full;
  }
}

void PeerLinks::Broadcast(const PeerMessage& message) {
  for (const HostId host : LinkedHosts()) SendOverLink(Find(host), message);
}

void PeerLinks::AddOutstanding(LinkId link, int change) {
  const auto it = impl_->links.find(link);
  if (it == impl_->links.end()) return;
  peer_links_detail::Link& entry = it->second;
  const Instant now = std::chrono::steady_clock::now();
  if (entry.outstanding == 0 && change > 0) {
    entry.busy_since = now;
    if (impl_->IsPingDue(entry, /*busy=*/true, now)) {
      impl_->SendPing(link, entry, now);
    }
  }
  entry.outstanding += change;
}

void PeerLinks::CloseAll() {
  impl_->stopping = true;
  std::vector<SocketId> ids;
  for (auto& [id, link] : impl_->links) {
    link.closing = true;
    ids.push_back(id);
  }
  for (const SocketId id : ids) impl_->transport.Close(id);
}

std::vector<HostId> PeerLinks::LinkedHosts() const {
  std::vector<HostId> hosts;
  hosts.reserve(impl_->by_host.size());
  for (const auto& [host, ids] : impl_->by_host) hosts.push_back(host);
  return hosts;
}

const PeerLinkStats& PeerLinks::stats() const { return impl_->stats; }

}  // namespace lentilcross
