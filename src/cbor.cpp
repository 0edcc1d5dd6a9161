#include "cbor.h"

#include <string>

namespace lentilcross {
namespace {

using Json = nlohmann::json;

/// Builds a DOM and stops when a limit is passed. nlohmann's CBOR reader
/// recurses once per nesting level; stopping at `start_*` bounds its stack.
class LimitedDomParser : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

  LimitedDomParser(Json& root, const CborLimits& limits)
      : Base(root, /*allow_exceptions_=*/false), limits_(limits) {}

  bool null() { return Count() && Base::null(); }
  bool boolean(bool value) { return Count() && Base::boolean(value); }
  bool number_integer(Json::number_integer_t value) {
    return Count() && Base::number_integer(value);
  }
  bool number_unsigned(Json::number_unsigned_t value) {
    return Count() && Base::number_unsigned(value);
  }
  bool number_float(Json::number_float_t value, const std::string& text) {
    return Count() && Base::number_float(value, text);
  }
  bool string(std::string& value) { return Count() && Base::string(value); }
  bool binary(Json::binary_t& value) { return Count() && Base::binary(value); }
  bool start_object(std::size_t size) {
    return limits_.objects && Enter(size) && Base::start_object(size);
  }
  bool key(std::string& value) { return Count() && Base::key(value); }
  bool end_object() {
    --depth_;
    return Base::end_object();
  }
  bool start_array(std::size_t size) {
    return Enter(size) && Base::start_array(size);
  }
  bool end_array() {
    --depth_;
    return Base::end_array();
  }

 private:
  bool Count() { return ++values_ <= limits_.values; }

  bool Enter(std::size_t size) {
    constexpr std::size_t kUnknownSize = static_cast<std::size_t>(-1);
    if (size != kUnknownSize && size > limits_.values) return false;
    return Count() && ++depth_ <= limits_.depth;
  }

  CborLimits limits_;
  std::size_t depth_ = 0;
  std::size_t values_ = 0;
};

}  // namespace

std::optional<Json> ParseCbor(std::string_view bytes,
                              const CborLimits& limits) {
  Json root;
  LimitedDomParser parser(root, limits);
  const bool complete = Json::sax_parse(bytes.begin(), bytes.end(), &parser,
                                        Json::input_format_t::cbor);
  if (!complete || parser.is_errored()) return std::nullopt;
  return root;
}

}  // namespace lentilcross
