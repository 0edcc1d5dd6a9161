#pragma once

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "daemon_init.h"
#include "lentilcross/error.h"
#include "lentilcross/findings.h"

namespace lentilcross {

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  std::map<std::string, LogLevel> loggers;  ///< By logger name.
};

/// The settings file of one daemon; see section 11 of the design.
struct Settings {
  DaemonInit daemon;
  Endpoint operator_address;
  std::string peer_advertise;  ///< "ip:port" under which peers reach `peer`.
  LogSettings log;

  /// Reads the member `adapter`, which belongs to a platform adapter.
  using AdapterReader =
      std::function<void(const nlohmann::json& adapter,
                         const std::string& place, DaemonInit&, Findings&)>;

  /// Parses JSON with comments. The error carries all `Findings`; none of them
  /// contains a peer key. Without `read_adapter` the member `adapter` is
  /// refused.
  static Result<Settings> Parse(std::string_view text,
                                const AdapterReader& read_adapter = {});
};

std::string ToString(const Endpoint& endpoint);

/// Reads a whole file. Adds a finding if that is not possible.
std::string ReadFile(const std::string& path, Findings& findings);

}  // namespace lentilcross
