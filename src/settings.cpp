#include "settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

#include "hex.h"
#include "json_reader.h"
#include "lentilcross/rate.h"
#include "logging.h"

namespace lentilcross {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Below 128 bits a peer key could be guessed; above 64 bytes HMAC-SHA-256
// hashes the key first, which adds nothing.
constexpr std::size_t kMinPeerKeyBytes = 16;
constexpr std::size_t kMaxPeerKeyBytes = 64;
constexpr std::size_t kMaxPeerKeys = 2;

constexpr std::string_view kLevelNames = "debug, info, warn, error";

Endpoint ToEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::string ip = text.substr(0, colon);
  if (ip.front() == '[') ip = ip.substr(1, ip.size() - 2);
  return {ip, static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

bool IsLoopback(const Endpoint& endpoint) {
  return endpoint.ip.rfind("127.", 0) == 0 || endpoint.ip == "::1";
}

std::optional<std::string> DecodePeerKey(const std::string& hex) {
  if (hex.size() % 2 != 0) return std::nullopt;
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const int high = HexDigit(hex[i]);
    const int low = HexDigit(hex[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    bytes += static_cast<char>(high * 16 + low);
  }
  return bytes;
}

// Reads one settings document into `Settings`.
class SettingsReader {
 public:
  SettingsReader(const nlohmann::json& document,
                 const Settings::AdapterReader& read_adapter,
                 Findings& findings)
      : findings_(findings),
        reader_(document, "", findings),
        read_adapter_(read_adapter) {}

  Settings Read() {
    if (!reader_.is_object()) return {};
    DaemonInit& daemon = settings_.daemon;
    ReadName("host", daemon.host);
    ReadName("failure_domain", daemon.failure_domain);
    ReadName("region", daemon.region);
    ReadListeners();
    ReadTargets();
    ReadEndpoints("platform", Presence::kRequired, daemon.platform);
    if (reader_.Find("platform", Presence::kOptional) != nullptr &&
        daemon.platform.empty()) {
      reader_.Report("platform", "out of range: expected at least 1 address");
    }
    ReadPeerKeys();
    ReadEndpoints("seeds", Presence::kOptional, daemon.seeds);
    ReadLog();
    ReadTimes();
    ReadAdapter();
    reader_.Finish();
    return settings_;
  }

 private:
  void ReadName(std::string_view name, std::string& out) {
    reader_.Text(name, Presence::kRequired, out);
    const auto* value = reader_.Find(name, Presence::kOptional);
    if (value != nullptr && value->is_string() && out.empty()) {
      reader_.Report(name, "out of range: empty");
    }
  }

  bool ReadEndpoint(std::string_view name, Presence presence, Endpoint& out) {
    std::string text;
    reader_.Endpoint(name, presence, text);
    if (text.empty()) return false;
    out = ToEndpoint(text);
    return true;
  }

  void ReadListeners() {
    DaemonInit& daemon = settings_.daemon;
    ReadListener("caller", daemon.caller);
    ReadOnward();
    if (ReadListener("peer", daemon.peer)) {
      settings_.peer_advertise = ToString(daemon.peer);
    }
    ReadListener("operator", settings_.operator_address);
    Endpoint advertised;
    if (ReadEndpoint("peer_advertise", Presence::kOptional, advertised)) {
      settings_.peer_advertise = ToString(advertised);
    }
  }

  void ReadOnward() {
    Endpoint onward;
    settings_.daemon.onward.reset();
    bool on_caller = false;
    reader_.Flag("onward_on_caller", Presence::kOptional, on_caller);
    if (on_caller) return;
    if (!ReadListener("onward", onward)) return;
    settings_.daemon.onward = onward;
    if (!IsLoopback(onward)) {
      reader_.Report("onward", "out of range: expected a loopback address");
    }
  }

  bool ReadListener(std::string_view name, Endpoint& out) {
    if (!ReadEndpoint(name, Presence::kRequired, out)) return false;
    if (!listeners_.insert(ToString(out)).second) {
      reader_.Report(name, "duplicate: another listener has this address");
    }
    return true;
  }

  void ReadEndpoints(std::string_view name, Presence presence,
                     std::vector<Endpoint>& out) {
    std::set<std::string> seen;
    reader_.Elements(
        name, presence,
        [&](const nlohmann::json& value, const std::string& place) {
          if (!value.is_string()) {
            findings_.Add(place, "wrong type: expected a string");
          } else if (!IsEndpoint(value.get_ref<const std::string&>())) {
            findings_.Add(place, "out of range: expected ip:port");
          } else if (!seen.insert(value.get<std::string>()).second) {
            findings_.Add(place, "duplicate address");
          } else {
            out.push_back(ToEndpoint(value.get_ref<const std::string&>()));
          }
        });
  }

  void ReadTargets() {
    reader_.Elements(
        "targets", Presence::kOptional,
        [this](const nlohmann::json& value, const std::string& place) {
          ReadTarget(value, place);
        });
  }

  void ReadTarget(const nlohmann::json& value, const std::string& place) {
    ObjectReader reader(value, place, findings_);
    if (!reader.is_object()) return;
    LocalTarget target;
    std::string address;
    reader.Text("name", Presence::kRequired, target.name);
    reader.Text("service", Presence::kRequired, target.service);
    reader.Endpoint("address", Presence::kRequired, address);
    reader.Finish();
    if (!target.name.empty() && !target_names_.insert(target.name).second) {
      reader.Report("name", "duplicate target name");
    }
    if (address.empty()) return;
    if (!target_addresses_.insert(address).second) {
      reader.Report("address", "duplicate target address");
    }
    target.address = ToEndpoint(address);
    settings_.daemon.targets.push_back(target);
  }

  void ReadPeerKeys() {
    reader_.Choice("peer_authentication", Presence::kOptional, ParseSwitch,
                   "required, none", settings_.daemon.peer_authentication);
    if (!settings_.daemon.peer_authentication) {
      if (reader_.Find("peer_keys", Presence::kOptional) != nullptr) {
        reader_.Report("peer_keys", "unused without peer_authentication");
      }
      return;
    }
    std::size_t count = 0;
    reader_.Elements(
        "peer_keys", Presence::kRequired,
        [&](const nlohmann::json& value, const std::string& place) {
          ++count;
          ReadPeerKey(value, place);
        });
    const auto* keys = reader_.Find("peer_keys", Presence::kOptional);
    if (keys == nullptr || !keys->is_array()) return;
    if (count == 0 || count > kMaxPeerKeys) {
      reader_.Report("peer_keys", "out of range: expected 1 or 2 keys");
    }
  }

  void ReadPeerKey(const nlohmann::json& value, const std::string& place) {
    if (!value.is_string()) {
      findings_.Add(place, "wrong type: expected a string");
      return;
    }
    auto key = DecodePeerKey(value.get_ref<const std::string&>());
    if (!key || key->size() < kMinPeerKeyBytes ||
        key->size() > kMaxPeerKeyBytes) {
      findings_.Add(place,
                    "out of range: expected 16 to 64 bytes in lower-case hex");
      return;
    }
    auto& keys = settings_.daemon.peer_keys;
    if (std::find(keys.begin(), keys.end(), *key) != keys.end()) {
      findings_.Add(place, "duplicate key");
      return;
    }
    keys.push_back(std::move(*key));
  }

  static std::optional<bool> ParseSwitch(std::string_view text) {
    if (text == "required") return true;
    if (text == "none") return false;
    return std::nullopt;
  }

  void ReadAdapter() {
    const auto* adapter = reader_.Find("adapter", Presence::kOptional);
    if (adapter == nullptr) return;
    if (!read_adapter_) {
      reader_.Report("adapter", "unknown: no platform adapter is built in");
      return;
    }
    read_adapter_(*adapter, "/adapter", settings_.daemon, findings_);
  }

  void ReadLog() {
    const auto* log = reader_.Find("log", Presence::kOptional);
    if (log == nullptr) return;
    ObjectReader reader(*log, "/log", findings_);
    if (!reader.is_object()) return;
    reader.Choice("level", Presence::kOptional, ParseLogLevel, kLevelNames,
                  settings_.log.level);
    reader.Members(
        "loggers", Presence::kOptional,
        [this](const std::string& name, const nlohmann::json& value,
               const std::string& place) { ReadLogger(name, value, place); });
    reader.Finish();
  }

  void ReadLogger(const std::string& name, const nlohmann::json& value,
                  const std::string& place) {
    if (!IsLogger(name)) {
      findings_.Add(place, "dangling reference: no logger has this name");
    } else if (!value.is_string()) {
      findings_.Add(place, "wrong type: expected a string");
    } else if (const auto level = ParseLogLevel(value.get<std::string>())) {
      settings_.log.loggers[name] = *level;
    } else {
      findings_.Add(
          place, "out of range: expected one of " + std::string(kLevelNames));
    }
  }

  void ReadTimes() {
    DaemonInit& daemon = settings_.daemon;
    const auto read = [this](std::string_view name, Duration min, Duration max,
                             Duration& out) {
      reader_.Time(name, Presence::kOptional, min, max, out);
    };
    read("startup_wait_ms", milliseconds(0), seconds(60), daemon.startup_wait);
    read("key_staleness_limit_s", seconds(0), hours(24),
         daemon.key_staleness_limit);
    read("rate_handover_ms", ShortestHandover(kShortestLoanTerm), seconds(600),
         daemon.rate_handover);
    read("loan_term_ms", kShortestLoanTerm, kLongestLoanTerm, daemon.loan_term);
    read("drain_timeout_ms", milliseconds(0), hours(24), daemon.drain_timeout);
    if (daemon.rate_handover < ShortestHandover(daemon.loan_term)) {
      reader_.Report("rate_handover_ms",
                     "out of range: expected at least twice loan_term_ms and "
                     "one second");
    }
  }

  Findings& findings_;
  ObjectReader reader_;
  const Settings::AdapterReader& read_adapter_;
  Settings settings_;
  std::set<std::string> listeners_;
  std::set<std::string> target_names_;
  std::set<std::string> target_addresses_;
};

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const bool ip6 = endpoint.ip.find(':') != std::string::npos;
  const std::string ip = ip6 ? "[" + endpoint.ip + "]" : endpoint.ip;
  return ip + ":" + std::to_string(endpoint.port);
}

std::string ReadFile(const std::string& path, Findings& findings) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream content;
  if (file) content << file.rdbuf();
  if (!file) findings.Add("0:0", "the file cannot be read");
  return content.str();
}

Result<Settings> Settings::Parse(std::string_view text,
                                 const AdapterReader& read_adapter) {
  Findings findings;
  const auto document = ParseJsonDocument(text, findings);
  if (!document) return boost::leaf::new_error(std::move(findings));
  Settings settings = SettingsReader(*document, read_adapter, findings).Read();
  if (!findings.empty()) return boost::leaf::new_error(std::move(findings));
  return settings;
}

}  // namespace lentilcross
