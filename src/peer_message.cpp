#include "lentilcross/peer_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "cbor.h"
#include "peer_message_schema.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

/// Visitor that appends each field to a JSON array.
class FieldWriter {
 public:
  explicit FieldWriter(Json& array) : array_(array) {}

  template <typename Tag>
  void Identifier(Id<Tag> id, IdRule /*rule*/) {
    array_.push_back(id.value());
  }
  void VersionNumber(Version version) { array_.push_back(version.value()); }
  template <typename T>
  void Integer(T value, std::uint64_t /*max*/ = 0) {
    array_.push_back(static_cast<std::uint64_t>(value));
  }
  template <typename E>
  void Enumerator(E value, int /*count*/) {
    array_.push_back(static_cast<std::uint64_t>(value));
  }
  void Flag(bool value) { array_.push_back(value); }
  void Quantity(double value) { array_.push_back(value); }
  void Time(Duration value) {
    const auto limited = std::clamp(value, Duration::zero(), kMaxPeerDuration);
    array_.push_back(static_cast<std::uint64_t>(limited.count()));
  }
  void Text(const std::string& value, std::size_t /*max*/) {
    array_.push_back(value);
  }
  void Bytes(const std::string& value, std::size_t /*max*/) {
    array_.push_back(Json::binary({value.begin(), value.end()}));
  }
  template <std::size_t N>
  void FixedBytes(const std::array<std::uint8_t, N>& value) {
    array_.push_back(Json::binary({value.begin(), value.end()}));
  }
  template <typename T>
  void Record(const T& value) {
    Json fields = Json::array();
    FieldWriter writer(fields);
    Schema<T>::Visit(writer, value);
    array_.push_back(std::move(fields));
  }
  template <typename T>
  void List(const std::vector<T>& values, std::size_t /*max*/) {
    Json list = Json::array();
    FieldWriter writer(list);
    for (const T& value : values) writer.Record(value);
    array_.push_back(std::move(list));
  }

 private:
  Json& array_;
};

/// Visitor that takes the fields out of a JSON array. After the first error
/// the remaining fields keep their defaults.
class FieldReader {
 public:
  FieldReader(Json& array, std::size_t first, std::string& error)
      : array_(array), next_(first), error_(error) {}

  template <typename Tag>
  void Identifier(Id<Tag>& id, IdRule rule) {
    std::uint64_t value = 0;
    Integer(value);
    if (rule == IdRule::kRequired && value == 0) Fail("invalid id");
    id = Id<Tag>(value);
  }
  void VersionNumber(Version& version) {
    std::uint64_t value = 0;
    Integer(value);
    version = Version(value);
  }
  template <typename T>
  void Integer(T& value, std::uint64_t max = std::numeric_limits<T>::max()) {
    const Json* field = Next();
    if (field == nullptr) return;
    if (!field->is_number_unsigned()) return Fail("not an unsigned integer");
    const auto number = field->get<std::uint64_t>();
    if (number > max) return Fail("integer out of range");
    value = static_cast<T>(number);
  }
  template <typename E>
  void Enumerator(E& value, int count) {
    std::uint64_t number = 0;
    Integer(number, static_cast<std::uint64_t>(count - 1));
    value = static_cast<E>(number);
  }
  void Flag(bool& value) {
    const Json* field = Next();
    if (field == nullptr) return;
    if (!field->is_boolean()) return Fail("not a boolean");
    value = field->get<bool>();
  }
  void Quantity(double& value) {
    const Json* field = Next();
    if (field == nullptr) return;
    if (!field->is_number_float()) return Fail("not a float");
    const auto number = field->get<double>();
    // The comparison is false for NaN.
    if (!(number >= 0 && number <= kMaxQuantity)) {
      return Fail("quantity out of range");
    }
    value = std::abs(number);  // no negative zero
  }
  void Time(Duration& value) {
    std::uint64_t count = 0;
    Integer(count, static_cast<std::uint64_t>(kMaxPeerDuration.count()));
    value = Duration(static_cast<Duration::rep>(count));
  }
  void Text(std::string& value, std::size_t max) {
    Json* field = Next();
    if (field == nullptr) return;
    if (!field->is_string()) return Fail("not a text");
    auto& text = field->get_ref<std::string&>();
    if (text.size() > max) return Fail("text too long");
    value = std::move(text);
  }
  void Bytes(std::string& value, std::size_t max) {
    Json* field = Next();
    if (field == nullptr) return;
    if (!field->is_binary()) return Fail("not a byte string");
    const auto& bytes = field->get_binary();
    if (bytes.size() > max) return Fail("byte string too long");
    value.assign(bytes.begin(), bytes.end());
  }
  template <std::size_t N>
  void FixedBytes(std::array<std::uint8_t, N>& value) {
    std::string bytes;
    Bytes(bytes, N);
    if (bytes.size() != N) return Fail("byte string of wrong size");
    std::copy(bytes.begin(), bytes.end(), value.begin());
  }
  template <typename T>
  void Record(T& value) {
    Json* field = Next();
    if (field == nullptr) return;
    if (!field->is_array()) return Fail("not an array");
    FieldReader reader(*field, 0, error_);
    Schema<T>::Visit(reader, value);
    reader.Finish();
  }
  template <typename T>
  void List(std::vector<T>& values, std::size_t max) {
    Json* field = Next();
    if (field == nullptr) return;
    if (!field->is_array()) return Fail("not an array");
    if (field->size() > max) return Fail("list too long");
    FieldReader reader(*field, 0, error_);
    for (std::size_t i = 0; i < field->size() && error_.empty(); ++i) {
      reader.Record(values.emplace_back());
    }
  }
  /// Refuses fields after the last known one.
  void Finish() {
    if (next_ != array_.size()) Fail("too many fields");
  }

 private:
  Json* Next() {
    if (!error_.empty()) return nullptr;
    if (next_ >= array_.size()) {
      Fail("missing field");
      return nullptr;
    }
    return &array_[next_++];
  }
  void Fail(const char* text) {
    if (error_.empty()) error_ = text;
  }

  Json& array_;
  std::size_t next_;
  std::string& error_;
};

constexpr std::size_t kKindCount = std::variant_size_v<PeerMessage>;
constexpr std::size_t kFirstField = 2;  // after version and kind

// The longest list, 1,024 loans, has 6,144 values. A value is at least two
// bytes of input on average, except in short messages.
constexpr std::size_t kMaxValues = 8192;
constexpr std::size_t kFreeValues = 1024;
constexpr std::size_t kMaxDepth = 6;

CborLimits LimitsFor(std::size_t size) {
  CborLimits limits;
  limits.depth = kMaxDepth;
  limits.values = std::min(kMaxValues, kFreeValues + size / 2);
  limits.objects = false;
  return limits;
}

/// Rules that span several fields.
std::string CheckTogether(const PeerMessage& message) {
  if (const auto* delta = std::get_if<ConfigDelta>(&message)) {
    if (!(delta->from < delta->to)) return "delta does not advance";
  }
  if (const auto* part = std::get_if<ConfigSnapshot>(&message)) {
    if (!part->version.valid()) return "snapshot without version";
    if (part->piece >= part->pieces) return "piece out of range";
  }
  if (const auto* delta = std::get_if<RegistryDelta>(&message)) {
    if (delta->to == 0 || delta->from > delta->to) {
      return "registry delta goes back";
    }
    if (delta->piece >= delta->pieces) return "piece out of range";
    if (delta->from > 0 && delta->pieces > 1) return "delta in pieces";
  }
  if (const auto* reply = std::get_if<Reply>(&message)) {
    if (reply->status != 0 && reply->status < 100) return "status out of range";
  }
  return "";
}

template <std::size_t Kind>
PeerMessage DecodeKind(Json& array, std::string& error) {
  std::variant_alternative_t<Kind, PeerMessage> message;
  FieldReader reader(array, kFirstField, error);
  Schema<decltype(message)>::Visit(reader, message);
  reader.Finish();
  return message;
}

using KindDecoder = PeerMessage (*)(Json&, std::string&);

template <std::size_t... Kind>
constexpr std::array<KindDecoder, sizeof...(Kind)> MakeDecoders(
    std::index_sequence<Kind...> /*kinds*/) {
  return {&DecodeKind<Kind>...};
}

constexpr auto kDecoders = MakeDecoders(std::make_index_sequence<kKindCount>());

PeerMessage DecodeArray(Json& array, std::string& error) {
  if (!array.is_array() || array.size() < kFirstField) {
    error = "not a message";
  } else if (array[0] != kPeerProtocolVersion) {
    error = "wrong protocol version";
  } else if (!array[1].is_number_unsigned() ||
             array[1].get<std::uint64_t>() >= kKindCount) {
    error = "unknown kind";
  }
  if (!error.empty()) return {};
  PeerMessage message = kDecoders[array[1].get<std::size_t>()](array, error);
  if (error.empty()) error = CheckTogether(message);
  return message;
}

}  // namespace

std::string Encode(const PeerMessage& message) {
  Json array = Json::array();
  array.push_back(static_cast<std::uint64_t>(kPeerProtocolVersion));
  array.push_back(static_cast<std::uint64_t>(message.index()));
  FieldWriter writer(array);
  std::visit(
      [&writer](const auto& kind) {
        Schema<std::decay_t<decltype(kind)>>::Visit(writer, kind);
      },
      message);
  std::string bytes;
  Json::to_cbor(array, bytes);
  return bytes;
}

Result<PeerMessage> Decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessageSize) {
    return boost::leaf::new_error(DecodeError{"message too large"});
  }
  auto array = ParseCbor(bytes, LimitsFor(bytes.size()));
  if (!array) return boost::leaf::new_error(DecodeError{"malformed CBOR"});
  std::string error;
  PeerMessage message = DecodeArray(*array, error);
  if (!error.empty()) return boost::leaf::new_error(DecodeError{error});
  return message;
}

}  // namespace lentilcross
