#include "lentilcross/peer_message.h"

#include <malloc.h>
#include <rapidcheck.h>

#include <boost/pfr/core.hpp>
#include <boost/pfr/tuple_size.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <limits>
#include <new>
#include <nlohmann/json.hpp>

#include "random_message.h"
#include "result.h"

namespace {

// Live and peak heap bytes of this program.
std::size_t g_live = 0;
std::size_t g_peak = 0;

}  // namespace

// Not inlined: GCC 12 takes an inlined pair of these for a mismatch of new and
// free.
[[gnu::noinline]] void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  g_live += malloc_usable_size(memory);
  g_peak = std::max(g_peak, g_live);
  return memory;
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  g_live -= malloc_usable_size(memory);
  std::free(memory);
}
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  operator delete(memory);
}

namespace lentilcross {
namespace {

using Json = nlohmann::json;
namespace data = boost::unit_test::data;

constexpr std::size_t kKinds = std::variant_size_v<PeerMessage>;

Captured<PeerMessage> TryDecode(std::string_view bytes) {
  return Capture<PeerMessage>([&] { return Decode(bytes); });
}

/// Compares all members of two messages, without the project's field lists.
template <typename T>
bool Same(const T& a, const T& b);

template <typename T>
bool Same(const std::vector<T>& a, const std::vector<T>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const T& x, const T& y) { return Same(x, y); });
}

template <typename T, typename = void>
struct HasEqual : std::false_type {};
template <typename T>
struct HasEqual<T,
                std::void_t<decltype(std::declval<T>() == std::declval<T>())>>
    : std::true_type {};

template <typename T>
bool Same(const T& a, const T& b) {
  if constexpr (HasEqual<T>::value) {
    return a == b;
  } else {
    bool same = true;
    boost::pfr::for_each_field(a, [&](const auto& field, auto index) {
      same = same && Same(field, boost::pfr::get<index>(b));
    });
    return same;
  }
}

bool SameMessage(const PeerMessage& a, const PeerMessage& b) {
  return a.index() == b.index() &&
         std::visit(
             [&b](const auto& message) {
               return Same(message,
                           std::get<std::decay_t<decltype(message)>>(b));
             },
             a);
}

template <typename T>
bool SchemaIsComplete() {
  Random random(1);
  RandomFiller filler(random);
  T value;
  Schema<T>::Visit(filler, value);
  return filler.fields() == boost::pfr::tuple_size_v<T>;
}

template <std::size_t... Kind>
bool SchemasAreComplete(std::index_sequence<Kind...> /*kinds*/) {
  return (SchemaIsComplete<std::variant_alternative_t<Kind, PeerMessage>>() &&
          ...);
}

}  // namespace

// Guards against a member that is added to a message but not sent.
BOOST_AUTO_TEST_CASE(every_member_is_on_the_wire) {
  BOOST_TEST(SchemasAreComplete(std::make_index_sequence<kKinds>()));
  BOOST_TEST(SchemaIsComplete<RequestContext>());
  BOOST_TEST(SchemaIsComplete<Refusal>());
  BOOST_TEST(SchemaIsComplete<ServiceLevel>());
  BOOST_TEST(SchemaIsComplete<MemberUpdate>());
  BOOST_TEST(SchemaIsComplete<LoanAsk>());
  BOOST_TEST(SchemaIsComplete<Loan>());
  BOOST_TEST(SchemaIsComplete<Quota>());
}

// Guards against a field that is lost, swapped or rounded on the wire.
BOOST_AUTO_TEST_CASE(every_kind_round_trips) {
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    BOOST_TEST(rc::check([kind](std::uint64_t seed) {
      Random random(seed);
      const PeerMessage message = RandomMessage(kind, random);
      const auto decoded = TryDecode(Encode(message));
      RC_ASSERT(decoded.decode_error == "");
      RC_ASSERT(SameMessage(*decoded.value, message));
    }));
  }
}

// Guards against a cut message that passes as a shorter one.
BOOST_AUTO_TEST_CASE(every_truncation_is_refused) {
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    Random random(kind + 1);
    const std::string bytes = Encode(RandomMessage(kind, random));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      BOOST_TEST(!TryDecode(bytes.substr(0, size)).value);
    }
    BOOST_TEST(!TryDecode(bytes + '\0').value);
  }
}

// Guards against a crash on damaged bytes, and against a damaged message that
// is accepted with values that this process itself could not send.
BOOST_AUTO_TEST_CASE(every_bit_flip_is_refused_or_valid) {
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    Random random(kind + 100);
    std::string bytes = Encode(RandomMessage(kind, random));
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
      const char mask = static_cast<char>(1U << (bit % 8));
      bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ mask);
      if (const auto decoded = TryDecode(bytes); decoded.value) {
        const auto again = TryDecode(Encode(*decoded.value));
        BOOST_REQUIRE(again.value);
        BOOST_TEST(SameMessage(*again.value, *decoded.value));
      }
      bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ mask);
    }
  }
}

namespace {

std::string Cbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

template <typename T>
constexpr std::size_t KindOf() {
  return PeerMessage(T{}).index();
}

Json Loans(const Json& rate) {
  return {kPeerProtocolVersion, KindOf<LoanRequest>(), 7, {{5, {rate, 1.0}}}};
}

struct BadMessage {
  std::string name;
  std::string bytes;
};

std::ostream& operator<<(std::ostream& stream, const BadMessage& message) {
  return stream << message.name;
}

std::vector<BadMessage> BadMessages() {
  const std::size_t ping = KindOf<Ping>();
  const std::size_t leave = KindOf<lentilcross::Leave>();
  const std::size_t digest = KindOf<Digest>();
  const Json update = {5, 6, 0, 1};
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double infinity = std::numeric_limits<double>::infinity();
  return {
      {"empty", ""},
      {"text", "GET / HTTP/1.1"},
      {"not an array", Cbor(7)},
      {"an object", Cbor({{"kind", 1}})},
      {"empty array", Cbor(Json::array())},
      {"wrong version", Cbor({kPeerProtocolVersion + 1, ping, 1})},
      {"version as text", Cbor({"1", ping, 1})},
      {"unknown kind", Cbor({kPeerProtocolVersion, kKinds, 1})},
      {"negative kind", Cbor({kPeerProtocolVersion, -1, 1})},
      {"missing field", Cbor({kPeerProtocolVersion, ping})},
      {"too many fields", Cbor({kPeerProtocolVersion, ping, 1, 1})},
      {"wrong type", Cbor({kPeerProtocolVersion, ping, "1"})},
      {"float for integer", Cbor({kPeerProtocolVersion, ping, 1.0})},
      {"negative integer", Cbor({kPeerProtocolVersion, ping, -1})},
      {"integer too large", Cbor({kPeerProtocolVersion, ping, 1ULL << 32})},
      {"invalid id", Cbor({kPeerProtocolVersion, leave, 0, 1})},
      {"not a number", Cbor(Loans(nan))},
      {"infinity", Cbor(Loans(infinity))},
      {"negative quantity", Cbor(Loans(-1.0))},
      {"quantity too large", Cbor(Loans(2 * kMaxQuantity))},
      {"integer for quantity", Cbor(Loans(1))},
      {"time too long", Cbor({kPeerProtocolVersion, digest, 1, 1ULL << 62, 1, 1,
                              Json::array()})},
      {"member state",
       Cbor({kPeerProtocolVersion, digest, 1, 1, 1, 1, {{5, 6, 4, 1}}})},
      {"too many members", Cbor({kPeerProtocolVersion, digest, 1, 1,
                                 std::vector<Json>(17, update)})},
      {"delta goes back", Cbor({kPeerProtocolVersion, KindOf<ConfigDelta>(), 5,
                                5, 1, Json::binary({0x80})})},
      {"piece beyond the last",
       Cbor({kPeerProtocolVersion, KindOf<ConfigSnapshot>(), 5, 1, 2, 2,
             Json::binary({0})})},
      {"no pieces", Cbor({kPeerProtocolVersion, KindOf<ConfigSnapshot>(), 5, 1,
                          0, 0, Json::binary({0})})},
      {"registry goes back",
       Cbor({kPeerProtocolVersion, KindOf<RegistryDelta>(), 6, 5, 1, 0, 1,
             Json::array()})},
      {"registry piece beyond the last",
       Cbor({kPeerProtocolVersion, KindOf<RegistryDelta>(), 0, 5, 1, 1, 1,
             Json::array()})},
      {"registry changes in pieces",
       Cbor({kPeerProtocolVersion, KindOf<RegistryDelta>(), 4, 5, 1, 0, 2,
             Json::array()})},
      {"proof too short",
       Cbor({kPeerProtocolVersion, KindOf<Proof>(), Json::binary({1, 2, 3})})},
      {"oversize",
       Cbor({kPeerProtocolVersion, ping, std::string(kMaxMessageSize, 'x')})},
      // Inputs that announce or need far more memory or stack than their size.
      {"deep nesting", std::string(kMaxMessageSize, '\x81')},
      {"endless nesting", std::string(kMaxMessageSize, '\x9f')},
      {"huge array", std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)},
      {"huge text", std::string("\x83\x02\x0e\x7b\x7f\xff\xff\xff\xff", 9)},
      {"huge bytes", std::string("\x83\x02\x0e\x5b\x7f\xff\xff\xff\xff", 9)},
      {"many arrays", "\x9f" + std::string(0xFFFF0, '\x80')},
      {"many numbers", "\x9f" + std::string(0xFFFF0, '\x01')},
      {"some arrays", "\x9f" + std::string(16384, '\x80')},
      {"some numbers", "\x9f" + std::string(16384, '\x01')},
  };
}

}  // namespace

// Guards against malformed input that is accepted, or that makes the process
// allocate much more than the size of the input.
BOOST_DATA_TEST_CASE(bad_messages_are_refused, data::make(BadMessages())) {
  // 8,192 values of up to 64 bytes each, and the texts.
  constexpr std::size_t kFixed = std::size_t{8192} * 64;
  constexpr std::size_t kMultiple = 4;
  const std::size_t before = g_live;
  g_peak = g_live;
  const auto decoded = TryDecode(sample.bytes);
  const std::size_t used = g_peak - before;
  BOOST_TEST(!decoded.value.has_value());
  BOOST_TEST(decoded.decode_error != "");
  BOOST_TEST_MESSAGE(sample.name << ": " << sample.bytes.size()
                                 << " bytes, heap peak " << used << ", "
                                 << decoded.decode_error);
  BOOST_TEST(used <= kFixed + kMultiple * sample.bytes.size());
}

// Guards against a body at its limit that does not fit in a message.
BOOST_AUTO_TEST_CASE(largest_body_fits) {
  Call call;
  call.number = CallNumber(1);
  call.context.entry_host = HostId(1);
  call.body.assign(LENTILCROSS_CONFIG_MAX_BODY, 'x');
  call.headers.assign(16, {"x-header", std::string(1024, 'v')});
  const std::string bytes = Encode(call);
  BOOST_TEST(bytes.size() <= kMaxMessageSize);
  BOOST_TEST(TryDecode(bytes).decode_error == "");
}

// Guards against a paused sender whose clock difference became negative.
BOOST_AUTO_TEST_CASE(durations_are_limited_when_sent) {
  Digest digest;
  digest.platform_age = -std::chrono::seconds(1);
  auto decoded = TryDecode(Encode(digest));
  BOOST_REQUIRE(decoded.value);
  BOOST_TEST(
      (std::get<Digest>(*decoded.value).platform_age == Duration::zero()));
  digest.platform_age = Duration::max();
  decoded = TryDecode(Encode(digest));
  BOOST_REQUIRE(decoded.value);
  BOOST_TEST(
      (std::get<Digest>(*decoded.value).platform_age == kMaxPeerDuration));
}

}  // namespace lentilcross
