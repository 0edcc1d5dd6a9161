#include "configuration_reader.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "configuration_bounds.h"
#include "json_reader.h"
#include "key_digests.h"
#include "lentilcross/config.h"
#include "lentilcross/keys.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr int kMaxRateOwners = 16;
constexpr double kMaxRateFactor = 10;
constexpr Duration kMaxQueue = std::chrono::minutes(1);
constexpr int kMaxPrecedence = kImportanceCount;
// Rounding error of a sum of decimal shares, such as ten times 0.1.
constexpr double kShareTolerance = 1e-9;
constexpr std::string_view kImportances =
    "background, lookup, standard, critical";

/// Names become HTTP header values, metric labels and log fields.
bool IsName(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= LENTILCROSS_CONFIG_MAX_NAME &&
         std::all_of(name.begin(), name.end(), allowed);
}

enum class PercentEncoding : std::uint8_t { kRefused, kLiteral };

bool IsPrefix(std::string_view prefix, PercentEncoding encoding) {
  const auto allowed = [encoding](char c) {
    if (c == '%') return encoding == PercentEncoding::kLiteral;
    return c > ' ' && c < 0x7F && c != '?' && c != '#';
  };
  return !prefix.empty() && prefix.size() <= LENTILCROSS_CONFIG_MAX_NAME &&
         prefix.front() == '/' &&
         std::all_of(prefix.begin(), prefix.end(), allowed);
}

bool IsLowerCaseHostName(std::string_view host) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.';
  };
  return !host.empty() && host.size() <= LENTILCROSS_CONFIG_MAX_NAME &&
         std::all_of(host.begin(), host.end(), allowed);
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == 0x7F;
}

std::optional<int> HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return std::nullopt;
}

std::optional<Sha256Digest> ParseDigest(std::string_view hex) {
  Sha256Digest digest{};
  if (hex.size() != 2 * digest.size()) return std::nullopt;
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const auto high = HexDigit(hex[2 * i]);
    const auto low = HexDigit(hex[2 * i + 1]);
    if (!high || !low) return std::nullopt;
    digest[i] = static_cast<std::uint8_t>(*high * 16 + *low);
  }
  return digest;
}

/// Names of one kind of entry by their hash, which is their id. Finds duplicate
/// names and hash collisions.
class NameTable {
 public:
  NameTable(NameRules rules, Findings& findings)
      : rules_(rules), findings_(findings) {}

  /// Returns false and adds a finding if the name is malformed or in use.
  bool Add(const std::string& name, const std::string& pointer) {
    if (rules_ == NameRules::kForeign) {
      if (IsForeignName(name)) return AddUnchecked(name, pointer);
      findings_.Add(pointer, "out of range: a name fits a header value");
      return false;
    }
    if (!IsName(name)) {
      findings_.Add(pointer, "out of range: a name has 1 to " +
                                 std::to_string(LENTILCROSS_CONFIG_MAX_NAME) +
                                 " letters, digits, '-', '_' or '.'");
      return false;
    }
    return AddUnchecked(name, pointer);
  }
  /// Like `Add`, but accepts any characters.
  bool AddUnchecked(const std::string& name, const std::string& pointer) {
    const auto [other, inserted] = names_.emplace(HashName(name), name);
    if (inserted) return true;
    findings_.Add(pointer, other->second == name
                               ? "duplicate: \"" + name + "\" is already used"
                               : "hash collision with \"" + other->second +
                                     "\": choose another name");
    return false;
  }

 private:
  const NameRules rules_;
  Findings& findings_;
  std::unordered_map<std::uint64_t, std::string> names_;
};

/// Reads each section after the sections that it refers to, so that references
/// can be checked.
class Reader {
 public:
  Reader(const Json& document, NameRules rules, Findings& findings)
      : root_(document, "", findings), rules_(rules), findings_(findings) {}

  std::shared_ptr<const Configuration> Read() {
    if (!root_.is_object()) return nullptr;
    std::uint64_t version = 0;
    root_.Integer<std::uint64_t>("version", Presence::kRequired, 1, kMaxVersion,
                                 version);
    result_->version = Version(version);
    root_.Integer("rate_owners_per_region", Presence::kOptional, 1,
                  kMaxRateOwners, result_->rate_owners_per_region);
    root_.Integer("rate_owners_per_domain", Presence::kOptional, 1,
                  kMaxRateOwners, result_->rate_owners_per_domain);
    ReadFailureDomains();
    ReadHosts();
    ReadServices();
    ReadRoutes();
    ReadOrganisations();
    ReadKeys();
    ReadPresets();
    ReadLimits();
    root_.Finish();
    if (!findings_.empty()) return nullptr;
    return result_;
  }

 private:
  void ReadFailureDomains();
  /// Sets the default share of the given domains and checks the sum of all.
  void ResolveShares(const std::vector<FailureDomainId>& without_share);
  void ReadHosts();
  void ReadServices();
  void ReadTarget(const Json& value, const std::string& pointer,
                  ServiceEntry& service);
  void ReadColdStart(ObjectReader& reader, ServiceEntry& service);
  void ReadRoutes();
  void ReadRoute(const std::string& name, const Json& value,
                 const std::string& pointer);
  void ReadRouteService(ObjectReader& reader, const std::string& pointer,
                        RouteEntry& entry);
  /// Regions of the failure domains; they must be known by then.
  void ReadHomeRegions(ObjectReader& reader, HomeRegions& out);
  bool ReadRouteName(const std::string& name, const std::string& pointer,
                     RouteEntry& entry);
  void ReadLimits();
  void IndexRoutes();
  void ReadOrganisations();
  void ReadKeys();
  /// Sorts the keys without a name and checks that no digest occurs twice.
  void IndexUnnamedKeys(const std::map<Sha256Digest, std::string>& named);
  void ReadPresets();
  PresetEntry ReadPreset(const std::string& name, const Json& value,
                         const std::string& pointer);

  /// Reads the name of one of `entries`.
  template <typename Entries, typename Tag>
  void ReadReference(ObjectReader& reader, std::string_view field,
                     const Entries& entries, Id<Tag>& out) {
    std::string name;
    reader.Text(field, Presence::kRequired, name);
    if (name.empty()) return CheckEmptyReference(reader, field);
    out = Id<Tag>::FromName(name);
    if (entries.find(out) == entries.end()) {
      reader.Report(field, "dangling reference to \"" + name + "\"");
    }
  }
  /// Adds a finding if the field is an empty string. If it is missing or of a
  /// wrong type, that is reported already.
  void CheckEmptyReference(ObjectReader& reader, std::string_view field) {
    const Json* value = reader.Find(field, Presence::kOptional);
    if (value != nullptr && value->is_string()) {
      reader.Report(field, "dangling reference to \"\"");
    }
  }

  ObjectReader root_;
  const NameRules rules_;
  Findings& findings_;
  NameTable target_names_{rules_, findings_};
  NameTable route_names_{rules_, findings_};
  std::vector<UnnamedKey> unnamed_keys_;
  std::shared_ptr<Configuration> result_ = std::make_shared<Configuration>();
};

void Reader::ReadFailureDomains() {
  NameTable names(rules_, findings_);
  std::vector<FailureDomainId> without_share;
  root_.Members(
      "failure_domains", Presence::kRequired,
      [&](const std::string& name, const Json& value,
          const std::string& pointer) {
        FailureDomainEntry entry;
        entry.id = FailureDomainId::FromName(name);
        entry.name = name;
        ObjectReader reader(value, pointer, findings_);
        reader.Text("region", Presence::kRequired, entry.region);
        reader.Number("share", Presence::kOptional, 0, 1, entry.share);
        if (value.is_object() && !value.contains("share")) {
          without_share.push_back(entry.id);
        }
        reader.Finish();
        if (names.Add(name, pointer)) {
          result_->failure_domains.emplace(entry.id, std::move(entry));
        }
      });
  ResolveShares(without_share);
}

void Reader::ResolveShares(const std::vector<FailureDomainId>& without_share) {
  auto& domains = result_->failure_domains;
  for (const FailureDomainId id : without_share) {
    const auto found = domains.find(id);
    if (found == domains.end()) continue;
    found->second.share = 1.0 / static_cast<double>(domains.size());
  }
  double sum = 0;
  for (const auto& [id, domain] : domains) sum += domain.share;
  if (sum > 1 + kShareTolerance) {
    root_.Report("failure_domains",
                 "out of range: the sum of shares is above 1");
  }
}

void Reader::ReadHosts() {
  NameTable names(rules_, findings_);
  std::unordered_map<std::string, std::string> peers;
  root_.Members(
      "hosts", Presence::kRequired,
      [&](const std::string& name, const Json& value,
          const std::string& pointer) {
        HostEntry entry;
        entry.id = HostId::FromName(name);
        entry.name = name;
        ObjectReader reader(value, pointer, findings_);
        ReadReference(reader, "failure_domain", result_->failure_domains,
                      entry.failure_domain);
        reader.Endpoint("peer", Presence::kRequired, entry.peer);
        if (!entry.peer.empty()) {
          const auto [other, inserted] = peers.emplace(entry.peer, name);
          if (!inserted) {
            reader.Report("peer", "duplicate: also the address of \"" +
                                      other->second + "\"");
          }
        }
        reader.Finish();
        if (names.Add(name, pointer)) {
          result_->hosts.emplace(entry.id, std::move(entry));
        }
      });
}

void Reader::ReadServices() {
  NameTable names(rules_, findings_);
  root_.Members("services", Presence::kRequired,
                [&](const std::string& name, const Json& value,
                    const std::string& pointer) {
                  ServiceEntry entry;
                  entry.id = ServiceId::FromName(name);
                  entry.name = name;
                  ObjectReader reader(value, pointer, findings_);
                  reader.Elements(
                      "targets", Presence::kOptional,
                      [&](const Json& target, const std::string& location) {
                        ReadTarget(target, location, entry);
                      });
                  ReadColdStart(reader, entry);
                  reader.Finish();
                  if (names.Add(name, pointer)) {
                    result_->services.emplace(entry.id, std::move(entry));
                  }
                });
}

void Reader::ReadTarget(const Json& value, const std::string& pointer,
                        ServiceEntry& service) {
  TargetEntry entry;
  ObjectReader reader(value, pointer, findings_);
  reader.Text("name", Presence::kRequired, entry.name);
  ReadReference(reader, "host", result_->hosts, entry.host);
  reader.Finish();
  const Json* name = reader.Find("name", Presence::kOptional);
  if (name == nullptr || !name->is_string()) return;
  entry.id = TargetId::FromName(entry.name);
  if (target_names_.Add(entry.name, JoinPointer(pointer, "name"))) {
    service.targets.push_back(std::move(entry));
  }
}

void Reader::ReadColdStart(ObjectReader& reader, ServiceEntry& service) {
  reader.Number("cold_rate", Presence::kOptional, 0, kMaxRate,
                service.cold_rate);
  reader.Time("cold_time_ms", Presence::kOptional, Duration::zero(),
              kMaxColdTime, service.cold_time);
  reader.Text("health_path", Presence::kOptional, service.health_path);
  const std::string& path = service.health_path;
  const bool is_path = rules_ == NameRules::kForeign
                           ? IsForeignPrefix(path)
                           : IsPrefix(path, PercentEncoding::kLiteral);
  if (!path.empty() && !is_path) {
    reader.Report("health_path", "out of range: expected a path");
  }
  if (service.cold_rate > 0 && service.cold_time == Duration::zero()) {
    reader.Report("cold_rate", "out of range: needs cold_time_ms above 0");
  }
}

void Reader::ReadRoutes() {
  root_.Members(
      "routes", Presence::kRequired,
      [&](const std::string& name, const Json& value,
          const std::string& pointer) { ReadRoute(name, value, pointer); });
  IndexRoutes();
}

void Reader::ReadRoute(const std::string& name, const Json& value,
                       const std::string& pointer) {
  RouteEntry entry;
  ObjectReader reader(value, pointer, findings_);
  ReadRouteService(reader, pointer, entry);
  reader.Choice("importance", Presence::kRequired, ParseImportance,
                kImportances, entry.importance);
  reader.Flag("idempotent", Presence::kRequired, entry.idempotent);
  reader.Flag("open", Presence::kOptional, entry.open);
  reader.Flag("ticket", Presence::kOptional, entry.ticket_required);
  reader.Integer("max_attempts", Presence::kOptional, 1, kMaxAttempts,
                 entry.max_attempts);
  reader.Time("timeout_ms", Presence::kRequired, std::chrono::milliseconds(1),
              kMaxRouteTimeout, entry.timeout);
  reader.Time("target_latency_ms", Presence::kOptional,
              std::chrono::milliseconds(1), kMaxRouteTimeout,
              entry.target_latency);
  ReadHomeRegions(reader, entry.home_regions);
  reader.Finish();
  if (!ReadRouteName(name, pointer, entry)) return;
  const std::string full = entry.host + entry.prefix;
  entry.id = RouteId::FromName(full);
  if (route_names_.AddUnchecked(full, pointer)) {
    result_->routes.push_back(std::move(entry));
  }
}

void Reader::ReadRouteService(ObjectReader& reader, const std::string& pointer,
                              RouteEntry& entry) {
  if (reader.Find("split", Presence::kOptional) == nullptr) {
    ReadReference(reader, "service", result_->services, entry.service);
    return;
  }
  reader.Elements("split", Presence::kRequired,
                  [&](const Json& value, const std::string& location) {
                    WeightedService service;
                    ObjectReader service_reader(value, location, findings_);
                    ReadReference(service_reader, "service", result_->services,
                                  service.service);
                    service_reader.Number("weight", Presence::kRequired, 0,
                                          kMaxWeight, service.weight);
                    service_reader.Finish();
                    entry.split.push_back(service);
                  });
  double sum = 0;
  for (const WeightedService& service : entry.split) sum += service.weight;
  if (sum <= 0) {
    findings_.Add(JoinPointer(pointer, "split"),
                  "out of range: expected services with a sum of weights "
                  "above 0");
    return;
  }
  entry.service = entry.split.front().service;
}

void Reader::ReadHomeRegions(ObjectReader& reader, HomeRegions& out) {
  if (reader.Find("home_regions", Presence::kOptional) == nullptr) return;
  bool complete = true;
  reader.Elements(
      "home_regions", Presence::kOptional,
      [&](const Json& value, const std::string& pointer) {
        const std::string name =
            value.is_string() ? value.get<std::string>() : "";
        const auto& domains = result_->failure_domains;
        const bool known = std::any_of(
            domains.begin(), domains.end(),
            [&](const auto& domain) { return domain.second.region == name; });
        if (known) {
          out.push_back(RegionId::FromName(name));
          return;
        }
        complete = false;
        findings_.Add(pointer,
                      value.is_string()
                          ? "dangling reference to region \"" + name + "\""
                          : "wrong type: expected a string");
      });
  // An empty list could mean "any region" as well as "none".
  if (complete && out.empty()) {
    reader.Report("home_regions", "out of range: expected at least one region");
  }
}

/// A route name is a path prefix, optionally after a host. Without a host, the
/// prefix matches on segment boundaries, so "/stock/" is the same as "/stock".
/// With a host, it matches literally.
bool Reader::ReadRouteName(const std::string& name, const std::string& pointer,
                           RouteEntry& entry) {
  const std::size_t slash = std::min(name.find('/'), name.size());
  entry.host = name.substr(0, slash);
  entry.prefix = name.substr(slash);
  // A target could resolve an encoded dot segment to the path of another route
  // that has no host. Routes with a host are told apart by their bytes alone.
  const auto encoding = entry.host.empty() ? PercentEncoding::kRefused
                                           : PercentEncoding::kLiteral;
  const bool foreign = rules_ == NameRules::kForeign && !entry.host.empty();
  const bool is_prefix = foreign ? IsForeignPrefix(entry.prefix)
                                 : IsPrefix(entry.prefix, encoding);
  if (!is_prefix) {
    findings_.Add(pointer,
                  "out of range: a route is a path without query, fragment or "
                  "blanks, and without percent encoding unless it follows a "
                  "host");
    return false;
  }
  if (!entry.host.empty()) {
    if (foreign ? IsForeignRouteHost(entry.host)
                : IsLowerCaseHostName(entry.host)) {
      return true;
    }
    findings_.Add(pointer,
                  "out of range: the host is not a lower-case domain name");
    return false;
  }
  while (entry.prefix.size() > 1 && entry.prefix.back() == '/') {
    entry.prefix.pop_back();
  }
  return true;
}

void Reader::ReadLimits() {
  const Json* limits = root_.Find("limits", Presence::kOptional);
  if (limits == nullptr) return;
  ObjectReader reader(*limits, "/limits", findings_);
  if (!reader.is_object()) return;
  reader.Time("header_timeout_ms", Presence::kOptional,
              std::chrono::milliseconds(1), kMaxHeaderTimeout,
              result_->limits.header_timeout);
  reader.Time("idle_timeout_ms", Presence::kOptional,
              std::chrono::milliseconds(1), kMaxIdleTimeout,
              result_->limits.idle_timeout);
  reader.Finish();
}

void Reader::IndexRoutes() {
  auto& routes = result_->routes;
  std::sort(routes.begin(), routes.end(),
            [](const RouteEntry& a, const RouteEntry& b) {
              if (a.prefix.size() != b.prefix.size()) {
                return a.prefix.size() > b.prefix.size();
              }
              return std::tie(a.prefix, a.host) < std::tie(b.prefix, b.host);
            });
  for (std::size_t i = 0; i < routes.size(); ++i) {
    result_->route_index.emplace(routes[i].id, i);
    if (routes[i].host.empty()) continue;
    auto& lengths = result_->prefix_lengths[routes[i].host];
    const std::size_t length = routes[i].prefix.size();
    if (lengths.empty() || lengths.back() != length) lengths.push_back(length);
  }
}

void Reader::ReadOrganisations() {
  NameTable names(rules_, findings_);
  root_.Members(
      "organisations", Presence::kRequired,
      [&](const std::string& name, const Json& value,
          const std::string& pointer) {
        OrganisationEntry entry;
        entry.id = OrganisationId::FromName(name);
        entry.name = name;
        ObjectReader reader(value, pointer, findings_);
        reader.Flag("unlimited", Presence::kOptional, entry.unlimited);
        const Presence limit =
            entry.unlimited ? Presence::kOptional : Presence::kRequired;
        reader.Number("rate", limit, 0, kMaxRate, entry.rate);
        reader.Number("burst", limit, 0, kMaxRate, entry.burst);
        reader.Number("weight", Presence::kOptional, kMinWeight, kMaxWeight,
                      entry.weight);
        reader.Integer("precedence", Presence::kOptional, 0, kMaxPrecedence,
                       entry.precedence);
        ReadHomeRegions(reader, entry.home_regions);
        if (const Json* digests =
                reader.Find("key_digests", Presence::kOptional)) {
          ReadKeyDigests(*digests, JoinPointer(pointer, "key_digests"),
                         entry.id, findings_, unnamed_keys_);
        }
        reader.Finish();
        // An adapter's dialect does not send the reserved name.
        if (name == kPublicOrganisation && rules_ == NameRules::kPlain) {
          findings_.Add(pointer,
                        "out of range: the name is reserved for open routes");
        } else if (names.Add(name, pointer)) {
          result_->organisations.emplace(entry.id, std::move(entry));
        }
      });
}

void Reader::ReadKeys() {
  NameTable names(rules_, findings_);
  std::map<Sha256Digest, std::string> digests;
  root_.Members(
      "keys", Presence::kRequired,
      [&](const std::string& name, const Json& value,
          const std::string& pointer) {
        KeyEntry entry;
        entry.id = KeyId::FromName(name);
        entry.name = name;
        ObjectReader reader(value, pointer, findings_);
        ReadReference(reader, "organisation", result_->organisations,
                      entry.organisation);
        std::optional<Sha256Digest> digest;
        reader.Choice(
            "sha256", Presence::kRequired,
            [&](std::string_view hex) { return digest = ParseDigest(hex); },
            "all strings of 64 hexadecimal digits", entry.sha256);
        reader.Flag("withdrawn", Presence::kOptional, entry.withdrawn);
        reader.Finish();
        if (digest) {
          const auto [other, inserted] = digests.emplace(*digest, name);
          if (!inserted) {
            reader.Report("sha256", "duplicate: same digest as key \"" +
                                        other->second + "\"");
          }
        }
        if (names.Add(name, pointer)) {
          result_->keys.emplace(entry.id, std::move(entry));
        }
      });
  IndexUnnamedKeys(digests);
}

void Reader::IndexUnnamedKeys(
    const std::map<Sha256Digest, std::string>& named) {
  auto& keys = unnamed_keys_;
  std::sort(keys.begin(), keys.end(),
            [](const UnnamedKey& a, const UnnamedKey& b) {
              return a.digest < b.digest;
            });
  const auto twice = std::adjacent_find(
      keys.begin(), keys.end(), [](const UnnamedKey& a, const UnnamedKey& b) {
        return a.digest == b.digest;
      });
  if (twice != keys.end()) {
    root_.Report("organisations",
                 "duplicate: a digest occurs twice in key_digests");
  }
  for (const auto& [digest, name] : named) {
    if (FindUnnamedKey(keys, ToKeyDigest(digest)) == nullptr) continue;
    root_.Report("organisations", "duplicate: key_digests has the digest of " +
                                      ("key \"" + name + "\""));
  }
  result_->unnamed_keys =
      std::make_shared<const std::vector<UnnamedKey>>(std::move(keys));
}

void Reader::ReadPresets() {
  std::string active;
  root_.Text("preset", Presence::kRequired, active);
  NameTable names(rules_, findings_);
  root_.Members("presets", Presence::kRequired,
                [&](const std::string& name, const Json& value,
                    const std::string& pointer) {
                  PresetEntry entry = ReadPreset(name, value, pointer);
                  if (names.Add(name, pointer)) {
                    result_->presets.emplace(name, std::move(entry));
                  }
                });
  const auto found = result_->presets.find(active);
  if (found != result_->presets.end()) {
    result_->preset = found->second;
    return;
  }
  const Json* preset = root_.Find("preset", Presence::kOptional);
  if (preset != nullptr && preset->is_string()) {
    root_.Report("preset", "dangling reference to \"" + active + "\"");
  }
}

PresetEntry Reader::ReadPreset(const std::string& name, const Json& value,
                               const std::string& pointer) {
  PresetEntry entry;
  entry.name = name;
  ObjectReader reader(value, pointer, findings_);
  reader.Number("rate_factor", Presence::kOptional, 0, kMaxRateFactor,
                entry.rate_factor);
  reader.Integer("extra_attempts", Presence::kOptional, 0,
                 LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS, entry.extra_attempts);
  reader.Time("queue_ms", Presence::kRequired, Duration::zero(), kMaxQueue,
              entry.max_queue_time);
  reader.Choice("refuse_importance_below", Presence::kOptional, ParseImportance,
                kImportances, entry.refuse_below);
  reader.Finish();
  return entry;
}

}  // namespace

bool IsForeignName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameSize && name.front() != ' ' &&
         name.back() != ' ' &&
         std::none_of(name.begin(), name.end(), IsControl);
}

bool IsForeignRouteHost(std::string_view host) {
  const auto allowed = [](char c) {
    const bool upper = c >= 'A' && c <= 'Z';
    return !IsControl(c) && !upper && c != ' ' && c != '/' && c != ':';
  };
  return !host.empty() && host.size() <= kMaxNameSize &&
         std::all_of(host.begin(), host.end(), allowed);
}

bool IsForeignPrefix(std::string_view prefix) {
  const auto allowed = [](char c) {
    return !IsControl(c) && c != ' ' && c != '?';
  };
  return !prefix.empty() && prefix.size() <= kMaxPathSize &&
         prefix.front() == '/' &&
         std::all_of(prefix.begin(), prefix.end(), allowed);
}

std::shared_ptr<const Configuration> ReadConfiguration(const Json& document,
                                                       NameRules rules,
                                                       Findings& findings) {
  return Reader(document, rules, findings).Read();
}

}  // namespace lentilcross
