#include "json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace lentilcross {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxDepth = 32;

struct Position {
  std::size_t line = 1;
  std::size_t column = 1;
};

Position FindPosition(std::string_view text, std::size_t offset) {
  Position position;
  for (std::size_t i = 0; i < std::min(offset, text.size()); ++i) {
    if (text[i] == '\n') {
      ++position.line;
      position.column = 1;
    } else {
      ++position.column;
    }
  }
  return position;
}

/// Offset of the first byte of the last token, which ends before `end`. `token`
/// is what the lexer reports: all bytes since the last string or number, so it
/// may be longer than the token.
std::size_t FindTokenStart(std::string_view text, std::size_t end,
                           std::string_view token) {
  end = std::min(end, text.size());
  const bool is_string =
      token.size() >= 2 && token.front() == '"' && token.back() == '"';
  if (is_string && token.size() <= end) return end - token.size();
  std::size_t start = end == 0 ? 0 : end - 1;
  const auto is_word = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
           c == '-' || c == '+';
  };
  while (start > 0 && is_word(text[start - 1])) --start;
  return start;
}

/// Cuts the end of a message of nlohmann-json, which quotes the input: it may
/// be an API key.
std::string DescribeSyntaxError(const std::string& message) {
  constexpr std::string_view kStart = "syntax error while parsing ";
  const std::size_t start = message.find(kStart);
  if (start == std::string::npos) return "syntax error";
  const std::size_t end = message.find("; last read", start);
  const std::size_t length =
      end == std::string::npos ? std::string::npos : end - start;
  return message.substr(start, length);
}

/// Builds a DOM and adds findings for duplicate members, too deep nesting and
/// syntax errors.
class DocumentParser : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

  DocumentParser(Json& root, std::string_view text, Findings& findings)
      : Base(root, /*allow_exceptions_=*/false),
        text_(text),
        findings_(findings) {}

  bool null() { return BeginValue() && Base::null(); }
  bool boolean(bool value) { return BeginValue() && Base::boolean(value); }
  bool number_integer(Json::number_integer_t value) {
    return BeginValue() && Base::number_integer(value);
  }
  bool number_unsigned(Json::number_unsigned_t value) {
    return BeginValue() && Base::number_unsigned(value);
  }
  bool number_float(Json::number_float_t value, const std::string& text) {
    return BeginValue() && Base::number_float(value, text);
  }
  bool string(std::string& value) {
    return BeginValue() && Base::string(value);
  }

  bool start_object(std::size_t size) {
    return BeginValue() && EnterLevel(/*is_array=*/false) &&
           Base::start_object(size);
  }
  bool key(std::string& name) {
    Level& level = levels_[depth_ - 1];
    level.name = name;
    if (!level.names.Add(name)) {
      findings_.Add(Pointer(), "duplicate member");
    }
    return Base::key(name);
  }
  bool end_object() {
    --depth_;
    return Base::end_object();
  }
  bool start_array(std::size_t size) {
    return BeginValue() && EnterLevel(/*is_array=*/true) &&
           Base::start_array(size);
  }
  bool end_array() {
    --depth_;
    return Base::end_array();
  }
  template <typename Exception>
  bool parse_error(std::size_t offset, const std::string& token,
                   const Exception& error) {
    const auto [line, column] =
        FindPosition(text_, FindTokenStart(text_, offset, token));
    findings_.Add(std::to_string(line) + ":" + std::to_string(column),
                  DescribeSyntaxError(error.what()));
    return false;
  }

 private:
  /// Member names of one object. Most objects have few members, and a hash
  /// table for each would take longer than the rest of the parsing.
  class NameSet {
   public:
    void Clear() {
      size_ = 0;
      // Clearing takes time in proportion to the buckets, which stay.
      if (!rest_.empty()) rest_ = {};
    }
    /// False if the name was added before.
    bool Add(const std::string& name) {
      const auto end = first_.begin() + static_cast<std::ptrdiff_t>(size_);
      if (std::find(first_.begin(), end, name) != end) return false;
      if (size_ == first_.size()) return rest_.insert(name).second;
      first_[size_++] = name;
      return true;
    }

   private:
    std::array<std::string, 16> first_;
    std::size_t size_ = 0;  ///< Of `first_`.
    std::unordered_set<std::string> rest_;
  };

  struct Level {
    bool is_array = false;
    std::size_t values = 0;  ///< Begun so far.
    std::string name;        ///< Last member name, unless `is_array`.
    NameSet names;           ///< Members of an object so far.
  };

  /// Called for each value before its content; counts the values.
  bool BeginValue() {
    if (depth_ > 0) ++levels_[depth_ - 1].values;
    return true;
  }
  bool EnterLevel(bool is_array) {
    if (depth_ == kMaxDepth) {
      findings_.Add(Pointer(), "nested too deeply");
      return false;
    }
    if (depth_ == levels_.size()) levels_.emplace_back();
    Level& level = levels_[depth_++];
    level.is_array = is_array;
    level.values = 0;
    level.name.clear();
    level.names.Clear();
    return true;
  }
  std::string Pointer() const {
    std::string pointer;
    for (std::size_t i = 0; i < depth_; ++i) {
      const Level& level = levels_[i];
      const bool has_element = level.is_array && level.values > 0;
      pointer = JoinPointer(
          pointer, has_element ? std::to_string(level.values - 1) : level.name);
    }
    return pointer;
  }

  std::string_view text_;
  Findings& findings_;
  std::vector<Level> levels_;  ///< More than `depth_`, to reuse their memory.
  std::size_t depth_ = 0;
};

struct Unit {
  std::string_view suffix;
  std::string_view name;
};

constexpr std::array<Unit, 13> kUnits = {{
    {"_ns", "nanoseconds"},
    {"_us", "microseconds"},
    {"_ms", "milliseconds"},
    {"_s", "seconds"},
    {"_sec", "seconds"},
    {"_seconds", "seconds"},
    {"_min", "minutes"},
    {"_minutes", "minutes"},
    {"_h", "hours"},
    {"_hours", "hours"},
    {"_percent", "percent"},
    {"_per_s", "per second"},
    {"_per_min", "per minute"},
}};

/// Splits a name into stem and unit, by the longest unit suffix.
std::pair<std::string_view, const Unit*> SplitUnit(std::string_view name) {
  const Unit* longest = nullptr;
  for (const Unit& unit : kUnits) {
    const std::size_t size = unit.suffix.size();
    if (name.size() <= size) continue;
    if (name.substr(name.size() - size) != unit.suffix) continue;
    if (longest == nullptr || size > longest->suffix.size()) longest = &unit;
  }
  if (longest == nullptr) return {name, nullptr};
  return {name.substr(0, name.size() - longest->suffix.size()), longest};
}

std::string FormatNumber(double value) { return Json(value).dump(); }

std::string RangeText(const std::string& min, const std::string& max) {
  return "out of range: expected " + min + " to " + max;
}

}  // namespace

std::optional<Json> ParseJsonDocument(std::string_view text,
                                      Findings& findings) {
  Json root;
  DocumentParser parser(root, text, findings);
  const bool complete = Json::sax_parse(
      text.begin(), text.end(), &parser, Json::input_format_t::json,
      /*strict=*/true, /*ignore_comments=*/true);
  if (!complete) return std::nullopt;
  return root;
}

std::string JoinPointer(const std::string& pointer, std::string_view name) {
  std::string joined;
  joined.reserve(pointer.size() + 1 + name.size());
  joined += pointer;
  joined += '/';
  for (const char c : name) {
    if (c == '~') {
      joined += "~0";
    } else if (c == '/') {
      joined += "~1";
    } else {
      joined += c;
    }
  }
  return joined;
}

bool IsEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view port = text.substr(colon + 1);
  int number = 0;
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), number);
  const bool is_port = error == std::errc() &&
                       end == port.data() + port.size() && number >= 1 &&
                       number <= 65535;
  std::string ip(text.substr(0, colon));
  int family = AF_INET;
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    family = AF_INET6;
  }
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return is_port && inet_pton(family, ip.c_str(), address.data()) == 1;
}

ObjectReader::ObjectReader(const Json& value, std::string pointer,
                           Findings& findings)
    : pointer_(std::move(pointer)), findings_(findings) {
  if (value.is_object()) {
    object_ = &value;
  } else {
    Report("", "wrong type: expected an object");
  }
}

const Json* ObjectReader::Find(std::string_view name, Presence presence) {
  known_.push_back(name);
  if (object_ == nullptr) return nullptr;
  const auto found = object_->find(name);
  if (found != object_->end()) return &*found;
  if (presence == Presence::kRequired) missing_.push_back(name);
  return nullptr;
}

bool ObjectReader::ReadText(std::string_view name, Presence presence,
                            std::string& out) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return false;
  if (!value->is_string()) {
    Report(name, "wrong type: expected a string");
    return false;
  }
  out = value->get_ref<const std::string&>();
  return true;
}

void ObjectReader::Text(std::string_view name, Presence presence,
                        std::string& out) {
  ReadText(name, presence, out);
}

void ObjectReader::Endpoint(std::string_view name, Presence presence,
                            std::string& out) {
  std::string text;
  if (!ReadText(name, presence, text)) return;
  if (!IsEndpoint(text)) {
    return Report(name, "out of range: expected \"ip:port\"");
  }
  out = text;
}

void ObjectReader::Flag(std::string_view name, Presence presence, bool& out) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return;
  if (!value->is_boolean()) {
    return Report(name, "wrong type: expected a boolean");
  }
  out = value->get<bool>();
}

void ObjectReader::Number(std::string_view name, Presence presence, double min,
                          double max, double& out) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return;
  if (!value->is_number()) return Report(name, "wrong type: expected a number");
  const auto number = value->get<double>();
  // Written so that NaN is out of range.
  if (!(number >= min && number <= max)) {
    return Report(name, RangeText(FormatNumber(min), FormatNumber(max)));
  }
  out = number;
}

bool ObjectReader::ReadInteger(std::string_view name, Presence presence,
                               std::uint64_t min, std::uint64_t max,
                               std::uint64_t& out) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return false;
  if (!value->is_number_integer()) {
    Report(name, "wrong type: expected an integer");
    return false;
  }
  // A parsed number is signed only if it is negative, a composed one may be.
  const bool negative =
      !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
  const auto number = negative ? 0 : value->get<std::uint64_t>();
  if (negative || number < min || number > max) {
    Report(name, RangeText(std::to_string(min), std::to_string(max)));
    return false;
  }
  out = number;
  return true;
}

void ObjectReader::Time(std::string_view name, Presence presence, Duration min,
                        Duration max, Duration& out) {
  const auto [stem, unit] = SplitUnit(name);
  const Duration tick = unit != nullptr && unit->suffix == "_s"
                            ? Duration(std::chrono::seconds(1))
                            : Duration(std::chrono::milliseconds(1));
  std::uint64_t count = 0;
  if (ReadInteger(name, presence, static_cast<std::uint64_t>(min / tick),
                  static_cast<std::uint64_t>(max / tick), count)) {
    out = tick * static_cast<Duration::rep>(count);
  }
}

void ObjectReader::Members(std::string_view name, Presence presence,
                           const MemberVisitor& visit) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return;
  if (!value->is_object()) {
    return Report(name, "wrong type: expected an object");
  }
  const std::string pointer = PointerTo(name);
  for (const auto& [member, content] : value->items()) {
    visit(member, content, JoinPointer(pointer, member));
  }
}

void ObjectReader::Elements(std::string_view name, Presence presence,
                            const ElementVisitor& visit) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return;
  if (!value->is_array()) return Report(name, "wrong type: expected an array");
  const std::string pointer = PointerTo(name);
  for (std::size_t i = 0; i < value->size(); ++i) {
    visit((*value)[i], JoinPointer(pointer, std::to_string(i)));
  }
}

void ObjectReader::Report(std::string_view name, std::string text) {
  findings_.Add(PointerTo(name), std::move(text));
}

void ObjectReader::Finish() {
  if (object_ == nullptr) return;
  for (const auto& [name, value] : object_->items()) {
    if (!IsKnown(name)) ReportUnknown(name);
  }
  FinishExtensible();
}

void ObjectReader::FinishExtensible() {
  if (object_ == nullptr) return;
  for (const std::string_view name : missing_) Report(name, "missing field");
}

std::string ObjectReader::PointerTo(std::string_view name) const {
  return name.empty() ? pointer_ : JoinPointer(pointer_, name);
}

bool ObjectReader::IsKnown(std::string_view name) const {
  return std::find(known_.begin(), known_.end(), name) != known_.end();
}

void ObjectReader::ReportUnknown(const std::string& name) {
  const auto [stem, given] = SplitUnit(name);
  for (const std::string_view known : known_) {
    const auto [known_stem, unit] = SplitUnit(known);
    if (known_stem != stem || (unit == nullptr && given == nullptr)) continue;
    Report(name, "wrong unit: expected \"" + std::string(known) + "\"" +
                     (unit == nullptr ? " without a unit"
                                      : " in " + std::string(unit->name)));
    // One finding is enough: the member is not reported as missing as well.
    missing_.erase(std::remove(missing_.begin(), missing_.end(), known),
                   missing_.end());
    return;
  }
  Report(name, "unknown field");
}

}  // namespace lentilcross
