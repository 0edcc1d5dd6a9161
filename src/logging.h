#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "daemon_init.h"

namespace lentilcross {

std::optional<LogLevel> ParseLogLevel(std::string_view text);

/// Loggers: `daemon`, `configuration`, `peer`, `request`, `audit`, `operator`.
bool IsLogger(std::string_view name);
/// The logger of an event, by the first word of the event's name; `daemon` if
/// that word is no logger.
std::string LoggerOf(std::string_view event);

/// `event=NAME key=value ...`. A value with a space, a quote, a control
/// character or "=" is quoted, so that each event stays on one line.
std::string FormatEvent(std::string_view event, const LogFields& fields);

/// Bounded ring from one producer thread to the log thread.
class LogRing {
 public:
  virtual ~LogRing() = default;
  /// Never blocks. A full ring drops the event and counts it.
  virtual void Write(LogLevel level, const std::string& event,
                     const LogFields& fields) = 0;
};

/// The log thread: writes events to standard output through log4cplus.
class LogThread {
 public:
  struct Init {
    LogLevel level = LogLevel::kInfo;
    std::map<std::string, LogLevel> loggers;
  };

  static std::unique_ptr<LogThread> Create(const Init& init);
  virtual ~LogThread() = default;

  /// A ring for one more producer thread. Valid as long as the log thread.
  /// Call before that thread writes.
  virtual LogRing& AddRing() = 0;
  /// Events dropped because a ring was full.
  virtual std::uint64_t dropped() const = 0;
  /// Writes what the rings hold and ends the thread.
  virtual void Stop() = 0;
  /// Changes the levels. Safe on any thread.
  virtual void SetLevels(const Init& init) = 0;
};

}  // namespace lentilcross
