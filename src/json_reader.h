#pragma once

#include <boost/container/small_vector.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "lentilcross/findings.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Parses JSON with comments. On a syntax error (located by "line:column") or
/// too deep nesting, adds a finding and returns nothing. A duplicate member
/// adds a finding, and the returned document contains the last one. Findings
/// contain no values of the document, because these may be API keys.
std::optional<nlohmann::json> ParseJsonDocument(std::string_view text,
                                                Findings& findings);

/// Appends `/name` to a JSON pointer, escaped as in RFC 6901.
std::string JoinPointer(const std::string& pointer, std::string_view name);

/// True for "ip:port" or "[ip6]:port" with a port from 1 to 65535.
bool IsEndpoint(std::string_view text);

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Reads and validates the members of a JSON object. An invalid member adds a
/// finding with its JSON pointer and leaves the output unchanged. `Finish`
/// reports missing and unknown members, and members with a wrong unit suffix
/// (`timeout_s` instead of `timeout_ms`). Keeps the names of members that it is
/// asked for, which must outlive it.
class ObjectReader {
 public:
  /// Adds a finding if `value` is not an object.
  ObjectReader(const nlohmann::json& value, std::string pointer,
               Findings& findings);

  void Text(std::string_view name, Presence presence, std::string& out);
  void Flag(std::string_view name, Presence presence, bool& out);
  /// A finite number from `min` to `max`.
  void Number(std::string_view name, Presence presence, double min, double max,
              double& out);
  template <typename T>
  void Integer(std::string_view name, Presence presence, T min, T max, T& out) {
    static_assert(std::is_integral_v<T>);
    std::uint64_t value = 0;
    if (ReadInteger(name, presence, static_cast<std::uint64_t>(min),
                    static_cast<std::uint64_t>(max), value)) {
      out = static_cast<T>(value);
    }
  }
  /// An integer number of the unit in the suffix of the name: `_ms` or `_s`.
  void Time(std::string_view name, Presence presence, Duration min,
            Duration max, Duration& out);
  /// A string for which `IsEndpoint` is true.
  void Endpoint(std::string_view name, Presence presence, std::string& out);
  /// A string that `parse` converts to a T; it returns an optional, which is
  /// empty for invalid strings. `allowed` lists the valid ones for the finding.
  template <typename T, typename Parse>
  void Choice(std::string_view name, Presence presence, Parse parse,
              std::string_view allowed, T& out) {
    std::string text;
    if (!ReadText(name, presence, text)) return;
    if (const auto value = parse(text)) {
      out = *value;
    } else {
      Report(name, "out of range: expected one of " + std::string(allowed));
    }
  }
  /// Calls `visit` for each member of an object.
  using MemberVisitor =
      std::function<void(const std::string& name, const nlohmann::json& value,
                         const std::string& pointer)>;
  void Members(std::string_view name, Presence presence,
               const MemberVisitor& visit);
  /// Calls `visit` for each element of an array.
  using ElementVisitor = std::function<void(const nlohmann::json& value,
                                            const std::string& pointer)>;
  void Elements(std::string_view name, Presence presence,
                const ElementVisitor& visit);

  /// The member, or null. `Finish` does not report it as unknown.
  const nlohmann::json* Find(std::string_view name, Presence presence);
  /// Adds a finding for a member, or for the object itself if `name` is empty.
  void Report(std::string_view name, std::string text);
  /// Call once, after all members.
  void Finish();
  /// Use instead of `Finish` for an object to which others may add members:
  /// reports only missing members.
  void FinishExtensible();

  bool is_object() const { return object_ != nullptr; }
  const std::string& pointer() const { return pointer_; }

 private:
  bool ReadText(std::string_view name, Presence presence, std::string& out);
  bool ReadInteger(std::string_view name, Presence presence, std::uint64_t min,
                   std::uint64_t max, std::uint64_t& out);
  std::string PointerTo(std::string_view name) const;
  bool IsKnown(std::string_view name) const;
  void ReportUnknown(const std::string& name);

  const nlohmann::json* object_ = nullptr;
  std::string pointer_;
  Findings& findings_;
  /// Names of all members asked for.
  boost::container::small_vector<std::string_view, 16> known_;
  std::vector<std::string_view> missing_;  ///< Required members not found.
};

}  // namespace lentilcross
