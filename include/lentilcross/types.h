#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace lentilcross {

/// Monotonic time. The core library never reads a clock; callers pass `now`.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Random number generator, seeded and passed in by the caller.
using Random = std::mt19937_64;

/// XXH64 hash of a name. Identical in every process; never 0.
std::uint64_t HashName(std::string_view name);

/// Combines two hashes, for rendezvous hashing.
std::uint64_t CombineHash(std::uint64_t a, std::uint64_t b);

/// Identifier of a named entity: the hash of its name. A default-constructed
/// identifier is invalid. Configuration validation rejects hash collisions.
template <typename Tag>
class Id {
 public:
  constexpr Id() = default;
  constexpr explicit Id(std::uint64_t value) : value_(value) {}
  static Id FromName(std::string_view name) { return Id(HashName(name)); }

  constexpr std::uint64_t value() const { return value_; }
  constexpr bool valid() const { return value_ != 0; }

  friend constexpr bool operator==(Id a, Id b) { return a.value_ == b.value_; }
  friend constexpr bool operator!=(Id a, Id b) { return a.value_ != b.value_; }
  friend constexpr bool operator<(Id a, Id b) { return a.value_ < b.value_; }

 private:
  std::uint64_t value_ = 0;
};

using HostId = Id<struct HostTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using OrganisationId = Id<struct OrganisationTag>;
using TargetId = Id<struct TargetTag>;
using ServiceId = Id<struct ServiceTag>;
using RegionId = Id<struct RegionTag>;
using RouteId = Id<struct RouteTag>;
using KeyId = Id<struct KeyTag>;

/// Random number chosen at process start; tells a restarted process from the
/// previous one.
using Incarnation = Id<struct IncarnationTag>;

/// Call number, unique within one incarnation of the sender.
using CallNumber = Id<struct CallTag>;

/// Version of the published configuration; 0 if there is none.
class Version {
 public:
  constexpr Version() = default;
  constexpr explicit Version(std::uint64_t value) : value_(value) {}
  constexpr std::uint64_t value() const { return value_; }
  constexpr bool valid() const { return value_ != 0; }

  friend constexpr bool operator==(Version a, Version b) {
    return a.value_ == b.value_;
  }
  friend constexpr bool operator!=(Version a, Version b) {
    return a.value_ != b.value_;
  }
  friend constexpr bool operator<(Version a, Version b) {
    return a.value_ < b.value_;
  }
  friend constexpr bool operator<=(Version a, Version b) {
    return a.value_ <= b.value_;
  }

 private:
  std::uint64_t value_ = 0;
};

/// Importance of a request, in ascending order.
enum class Importance : std::uint8_t {
  kBackground,
  kLookup,
  kStandard,
  kCritical,
};
inline constexpr int kImportanceCount = 4;

std::string_view ToString(Importance importance);
std::optional<Importance> ParseImportance(std::string_view text);

/// Random identifier of a request, the same on every hop.
struct RequestId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  static RequestId Make(Random& random) { return {random(), random()}; }

  friend bool operator==(const RequestId& a, const RequestId& b) {
    return a.high == b.high && a.low == b.low;
  }
};

/// Regions in which a request may be served and its body held. Empty: any.
using HomeRegions = std::vector<RegionId>;

using Sha256Digest = std::array<std::uint8_t, 32>;

}  // namespace lentilcross

template <typename Tag>
struct std::hash<lentilcross::Id<Tag>> {
  std::size_t operator()(lentilcross::Id<Tag> id) const noexcept {
    return static_cast<std::size_t>(id.value());
  }
};

template <>
struct std::hash<lentilcross::RequestId> {
  std::size_t operator()(const lentilcross::RequestId& id) const noexcept {
    return static_cast<std::size_t>(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
  }
};
