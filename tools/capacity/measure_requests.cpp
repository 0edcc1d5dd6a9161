#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fleet_document.h"
#include "lentilcross/context_tokens.h"
#include "lentilcross/dispatch.h"
#include "lentilcross/keys.h"
#include "lentilcross/rate.h"
#include "lentilcross/tickets.h"
#include "meter.h"

namespace lentilcross {
namespace {

constexpr auto kStep = std::chrono::microseconds(100);

Sha256Digest Secret() {
  Sha256Digest secret{};
  secret.fill(7);
  return secret;
}

double Heap(std::size_t before) {
  return static_cast<double>(HeapBytes()) - static_cast<double>(before);
}

std::shared_ptr<const std::vector<UnnamedKey>> MakeUnnamedKeys(int count) {
  std::vector<UnnamedKey> keys;
  keys.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    keys.push_back({ToKeyDigest(Sha256("key " + std::to_string(i))),
                    OrganisationId(1 + static_cast<std::uint64_t>(i % 100))});
  }
  std::sort(keys.begin(), keys.end(),
            [](const UnnamedKey& a, const UnnamedKey& b) {
              return a.digest < b.digest;
            });
  return std::make_shared<const std::vector<UnnamedKey>>(std::move(keys));
}

/// Up to as many keys as a value of 1 MB holds.
void MeasureUnnamedKeys() {
  Series find("unnamed_key_find", "ns");
  Series heap("unnamed_key_heap", "B");
  Series apply("unnamed_key_apply", "us");
  for (const int keys : {1000, 10000, 45000, 176000}) {
    const std::size_t before = HeapBytes();
    KeyRing ring;
    Configuration configuration;
    configuration.version = Version(1);
    configuration.unnamed_keys = MakeUnnamedKeys(keys);
    ring.Apply(configuration);
    heap.Add(keys, Heap(before));
    find.Add(keys, MeanNanoseconds(2000, [&] { (void)ring.Find("key 500"); }));
    configuration.version = Version(2);
    configuration.unnamed_keys = MakeUnnamedKeys(keys - 1);
    apply.Add(keys,
              MeanNanoseconds(1, [&] { ring.Apply(configuration); }) / 1000);
  }
  for (const auto* series : {&find, &heap, &apply}) series->Print();
}

}  // namespace

void MeasureRate() {
  Series heap("rate_heap", "B");
  Series charge("rate_charge", "ns");
  Series tick("rate_tick", "ns");
  Series request_bytes("loan_request_bytes", "B");
  for (const int organisations : {10, 100, 500, 1000}) {
    const auto configuration = FleetConfiguration({100, organisations, 1, 10});
    const std::size_t before = HeapBytes();
    RateLimiter::Init init;
    init.self = HostId::FromName(HostName(0));
    init.failure_domain = FailureDomainId::FromName(DomainName(0));
    init.incarnation = Incarnation(1);
    RateLimiter book = RateLimiter::Create(init).value();
    Instant now = Instant() + std::chrono::seconds(1);
    book.Apply(configuration, now);
    std::vector<OrganisationId> ids;
    ids.reserve(static_cast<std::size_t>(organisations));
    for (int i = 0; i < organisations; ++i) {
      ids.push_back(OrganisationId::FromName(OrganisationName(i)));
    }
    std::size_t next = 0;
    charge.Add(organisations, MeanNanoseconds(100000, [&] {
                 book.TryAcquire(ids[next++ % ids.size()], Duration(0), now);
                 now += kStep;
               }));
    std::size_t largest = 0;
    tick.Add(organisations, MeanNanoseconds(1000, [&] {
               for (const auto& [to, message] : book.Tick(now)) {
                 if (const auto* ask = std::get_if<LoanRequest>(&message)) {
                   largest = std::max(largest, Encode(*ask).size());
                 }
               }
               now += kStep * 10;
             }));
    heap.Add(organisations, Heap(before));
    request_bytes.Add(organisations, static_cast<double>(largest));
  }
  for (const auto* series : {&heap, &charge, &tick, &request_bytes}) {
    series->Print();
  }
}

void MeasureAtMostOnce() {
  Series ticket_heap("ticket_heap", "B");
  Series ticket_time("ticket_issue_claim_finish", "ns");
  Series fence_heap("fence_heap", "B");
  Series fence_time("fence_call", "ns");
  Series token_heap("context_token_heap", "B");
  Series token_time("context_token_issue_find", "ns");
  const auto organisation = OrganisationId::FromName("a");
  const auto route = RouteId::FromName("/deposits");
  for (const int count : {1000, 10000, 60000}) {
    Instant now = Instant() + std::chrono::seconds(1);
    std::size_t before = HeapBytes();
    TicketStore tickets =
        TicketStore::Create({HostId(1), Incarnation(1), Secret()}).value();
    ticket_time.Add(
        count, MeanNanoseconds(count, [&] {
          const std::string ticket = tickets.Issue(organisation, now);
          const auto use = tickets.Claim(ticket, organisation, route, now);
          tickets.Finish(use.serial, {200, "text/plain", "done"});
          now += kStep;
        }));
    ticket_heap.Add(count, Heap(before));

    before = HeapBytes();
    auto fence = std::make_unique<DispatchFence>(DispatchFence::Init{});
    std::uint64_t number = 0;
    fence_time.Add(count, MeanNanoseconds(count, [&] {
                     const DispatchFence::CallKey key{Incarnation(1),
                                                      CallNumber(++number)};
                     fence->OnCall(key, now + std::chrono::seconds(1), now);
                     fence->BeginWrite(key, now);
                     fence->OnAnswered(key, now);
                     now += kStep;
                   }));
    fence_heap.Add(count, Heap(before));

    before = HeapBytes();
    ContextTokens tokens = ContextTokens::Create({Secret()}).value();
    token_time.Add(count, MeanNanoseconds(count, [&] {
                     const std::string token = tokens.Issue({});
                     tokens.Find(token);
                   }));
    token_heap.Add(count, Heap(before));
  }
  for (const auto* series : {&ticket_heap, &ticket_time, &fence_heap,
                             &fence_time, &token_heap, &token_time}) {
    series->Print();
  }
}

void MeasureMessages() {
  Series bytes("call_message_bytes", "B");
  Series encode("call_encode", "ns");
  Series decode("call_decode", "ns");
  for (const int body : {0, 1000, 10000, 100000}) {
    Call call;
    call.number = CallNumber(123456789);
    call.context.id = {0x123456789abcdef0ULL, 0xfedcba9876543210ULL};
    call.context.organisation = OrganisationId::FromName("coopers");
    call.context.entry_host = HostId::FromName("host-1");
    call.context.version = Version(123);
    call.route = RouteId::FromName("/stock");
    call.service = ServiceId::FromName("stock");
    call.method = "GET";
    call.path = "/stock/buckets/17";
    call.headers = {{"accept", "application/json"},
                    {"user-agent", "clerk/1.0"},
                    {"content-type", "application/json"}};
    call.body.assign(static_cast<std::size_t>(body), 'x');
    call.remaining = std::chrono::milliseconds(750);
    const std::string encoded = Encode(call);
    bytes.Add(body, static_cast<double>(encoded.size()));
    encode.Add(body, MeanNanoseconds(2000, [&] { (void)Encode(call); }));
    decode.Add(body, MeanNanoseconds(2000, [&] { (void)Decode(encoded); }));
  }
  for (const auto* series : {&bytes, &encode, &decode}) series->Print();
}

void MeasureKeys() {
  Series find("key_find", "ns");
  for (const int keys : {10, 100, 1000, 3000}) {
    const auto configuration = FleetConfiguration({10, keys, 1, 10});
    KeyRing ring;
    ring.Apply(*configuration);
    find.Add(keys, MeanNanoseconds(
                       2000, [&] { (void)ring.Find("organisation-5-key-0"); }));
  }
  find.Print();
  MeasureUnnamedKeys();
}

}  // namespace lentilcross
