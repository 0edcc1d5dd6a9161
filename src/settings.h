#pragma once

#include <map>
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

  /// Parses JSON with comments. The error carries all `Findings`; none of them
  /// contains a peer key.
  static Result<Settings> Parse(std::string_view text);
};

std::string ToString(const Endpoint& endpoint);

/// Reads a whole file. Adds a finding if that is not possible.
std::string ReadFile(const std::string& path, Findings& findings);

}  // namespace lentilcross
