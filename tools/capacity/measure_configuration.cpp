#include <boost/leaf/handle_errors.hpp>
#include <memory>
#include <vector>

#include "compress.h"
#include "fleet_document.h"
#include "lentilcross/spread.h"
#include "meter.h"

namespace lentilcross {
namespace {

constexpr int kParses = 5;

ConfigDistributor MakeSpread(int host) {
  ConfigDistributor::Init init;
  init.self = HostId::FromName(HostName(host));
  init.failure_domain = FailureDomainId::FromName(DomainName(host % 10));
  return ConfigDistributor::Create(init).value();
}

/// Bytes of the messages of one kind.
template <typename Kind>
double BytesOf(const std::vector<ConfigDistributor::Outgoing>& list) {
  for (const auto& [to, message] : list) {
    if (std::holds_alternative<Kind>(message)) {
      return static_cast<double>(Encode(message).size());
    }
  }
  return 0;
}

}  // namespace

void MeasureConfiguration() {
  Series document_bytes("configuration_document_bytes", "B");
  Series value_bytes("published_value_bytes", "B");
  Series parse("configuration_parse", "ms");
  Series heap("configuration_heap", "B");
  Series spread_heap("spread_heap", "B");
  Series read_change("platform_change_apply", "ms");
  Series delta_bytes("configuration_delta_bytes", "B");
  Series delta_apply("peer_delta_apply", "ms");
  for (const int hosts : {1000, 2500, 5000, 10000}) {
    const FleetSize size{hosts};
    const std::string document = FleetDocument(size, 1);
    document_bytes.Add(hosts, static_cast<double>(document.size()));
    const std::string text = Compress(document);
    value_bytes.Add(hosts, static_cast<double>(text.size()));
    parse.Add(hosts, MeanNanoseconds(kParses, [&] {
                       FleetConfiguration(size);
                     }) / 1e6);
    std::size_t before = HeapBytes();
    const auto configuration = FleetConfiguration(size);
    heap.Add(hosts, static_cast<double>(HeapBytes() - before));

    Instant now{};
    Random random(1);
    Membership membership({HostId::FromName(HostName(0)), Incarnation(1),
                           std::chrono::seconds(3)});
    before = HeapBytes();
    ConfigDistributor reader = MakeSpread(0);
    (void)reader.OnPlatformDocument(text, now);
    spread_heap.Add(hosts, static_cast<double>(HeapBytes() - before));
    reader.Tick(membership, now, random);
    ConfigDistributor peer = MakeSpread(1);
    (void)peer.OnPlatformDocument(text, now);

    std::uint64_t version = 1;
    std::vector<std::string> texts;
    texts.reserve(kParses);
    for (int i = 0; i < kParses; ++i) {
      texts.push_back(Compress(FleetDocument(size, ++version)));
    }
    std::size_t next = 0;
    read_change.Add(hosts, MeanNanoseconds(kParses, [&] {
                             (void)reader.OnPlatformDocument(texts[next++],
                                                             now);
                           }) / 1e6);
    const auto answers =
        reader.OnMessage(HostId::FromName(HostName(1)),
                         PeerMessage(ConfigRequest{Version(1)}), now);
    delta_bytes.Add(hosts, BytesOf<ConfigDelta>(answers));
    delta_apply.Add(hosts, MeanNanoseconds(1, [&] {
                             for (const auto& [to, message] : answers) {
                               peer.OnMessage(HostId::FromName(HostName(0)),
                                              message, now);
                             }
                           }) / 1e6);
  }
  for (const auto* series :
       {&document_bytes, &value_bytes, &parse, &heap, &spread_heap,
        &read_change, &delta_bytes, &delta_apply}) {
    series->Print();
  }
}

void MeasureMembership() {
  Series heap("membership_heap", "B");
  Series update("membership_update", "ns");
  Series digest("digest_bytes", "B");
  for (const int hosts : {1000, 3000, 10000}) {
    const std::size_t before = HeapBytes();
    auto membership = std::make_unique<Membership>(
        Membership::Init{HostId::FromName(HostName(0)), Incarnation(1),
                         std::chrono::seconds(3)});
    const Instant now{};
    int host = 0;
    update.Add(hosts, MeanNanoseconds(hosts, [&] {
                 const MemberUpdate change{
                     HostId::FromName(HostName(++host)),
                     Incarnation(static_cast<std::uint64_t>(host)),
                     MemberState::kAlive, 1};
                 membership->OnUpdates({change}, now);
               }));
    heap.Add(hosts, static_cast<double>(HeapBytes() - before));
  }
  for (const int updates : {0, 4, 8, 16}) {
    Digest message;
    message.version = Version(123456);
    for (int i = 0; i < updates; ++i) {
      message.members.push_back({HostId::FromName(HostName(i)),
                                 Incarnation(HashName(HostName(i))),
                                 MemberState::kLeaving, 3});
    }
    digest.Add(updates, static_cast<double>(Encode(message).size()));
  }
  for (const auto* series : {&heap, &update, &digest}) series->Print();
}

}  // namespace lentilcross
