#include "logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <array>
#include <boost/lockfree/spsc_queue.hpp>
#include <mutex>
#include <thread>
#include <vector>

#include "lentilcross/config.h"

namespace lentilcross {
namespace {

constexpr std::array<std::string_view, 4> kLevels = {"debug", "info", "warn",
                                                     "error"};
constexpr std::array<std::string_view, 6> kLoggers = {
    "audit", "configuration", "daemon", "operator", "peer", "request"};

// The log thread looks at its rings this often. Events are not urgent, and 50
// wake-ups per second cost less than 0.1% of a core.
constexpr std::chrono::milliseconds kPollInterval(20);

struct LogEvent {
  LogLevel level = LogLevel::kInfo;
  std::string event;
  LogFields fields;
};

class Ring final : public LogRing {
 public:
  void Write(LogLevel level, const std::string& event,
             const LogFields& fields) override {
    if (!queue_.push(LogEvent{level, event, fields})) {
      dropped_.fetch_add(1, std::memory_order_relaxed);
    }
  }
  bool Take(LogEvent& out) { return queue_.pop(out); }
  std::uint64_t dropped() const {
    return dropped_.load(std::memory_order_relaxed);
  }

 private:
  boost::lockfree::spsc_queue<
      LogEvent, boost::lockfree::capacity<LENTILCROSS_CONFIG_RING_CAPACITY>>
      queue_;
  std::atomic<std::uint64_t> dropped_{0};
};

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

class Thread final : public LogThread {
 public:
  explicit Thread(const Init& init) {
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(
        /*logToStdErr=*/false, /*immediateFlush=*/true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p logger=%c %m%n"));
    root.addAppender(appender);
    SetLevels(init);
    thread_ = std::thread([this] { Run(); });
  }
  ~Thread() override { Stop(); }
  Thread(const Thread&) = delete;
  Thread& operator=(const Thread&) = delete;

  void SetLevels(const Init& init) override {
    log4cplus::Logger::getRoot().setLogLevel(ToLog4cplus(init.level));
    for (const std::string_view name : kLoggers) {
      const auto found = init.loggers.find(std::string(name));
      log4cplus::Logger::getInstance(std::string(name))
          .setLogLevel(found == init.loggers.end()
                           ? log4cplus::NOT_SET_LOG_LEVEL
                           : ToLog4cplus(found->second));
    }
  }

  LogRing& AddRing() override {
    const std::lock_guard lock(mutex_);
    rings_.push_back(std::make_unique<Ring>());
    return *rings_.back();
  }

  std::uint64_t dropped() const override {
    const std::lock_guard lock(mutex_);
    std::uint64_t sum = 0;
    for (const auto& ring : rings_) sum += ring->dropped();
    return sum;
  }

  void Stop() override {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }

 private:
  void Run() {
    while (!stopping_) {
      Drain();
      std::this_thread::sleep_for(kPollInterval);
    }
    Drain();
  }

  void Drain() {
    const std::lock_guard lock(mutex_);
    LogEvent event;
    for (const auto& ring : rings_) {
      while (ring->Take(event)) Emit(event);
    }
  }

  static void Emit(const LogEvent& event) {
    const auto logger = log4cplus::Logger::getInstance(LoggerOf(event.event));
    logger.log(ToLog4cplus(event.level),
               FormatEvent(event.event, event.fields));
  }

  log4cplus::Initializer initializer_;
  mutable std::mutex mutex_;  // Producers take it in AddRing only.
  std::vector<std::unique_ptr<Ring>> rings_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

void AppendValue(std::string& line, const std::string& value) {
  const bool plain =
      !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
      });
  if (plain) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    // Newlines would let a value forge another event.
    line += c == '\n' ? std::string("\\n")
                      : std::string(1, c >= 0 && c < ' ' ? '?' : c);
  }
  line += '"';
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  const auto found = std::find(kLevels.begin(), kLevels.end(), text);
  if (found == kLevels.end()) return std::nullopt;
  return static_cast<LogLevel>(found - kLevels.begin());
}

bool IsLogger(std::string_view name) {
  return std::find(kLoggers.begin(), kLoggers.end(), name) != kLoggers.end();
}

std::string LoggerOf(std::string_view event) {
  const std::string_view word = event.substr(0, event.find('-'));
  return std::string(IsLogger(word) ? word : "daemon");
}

std::string FormatEvent(std::string_view event, const LogFields& fields) {
  std::string line = "event=" + std::string(event);
  for (const auto& [name, value] : fields) {
    line += " " + name + "=";
    AppendValue(line, value);
  }
  return line;
}

std::unique_ptr<LogThread> LogThread::Create(const Init& init) {
  return std::make_unique<Thread>(init);
}

}  // namespace lentilcross
