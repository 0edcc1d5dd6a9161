#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <thread>

#include "adapter.h"
#include "audit.h"
#include "command.h"
#include "daemon.h"
#include "logging.h"
#include "operator_server.h"
#include "settings_reload.h"

namespace lentilcross {
namespace {

// A settings file may change without a signal; it is looked at this often.
constexpr std::chrono::seconds kSettingsPoll(2);

// Calls `on_signal` on its own thread when SIGTERM, SIGINT or SIGHUP arrives,
// and `on_poll` from time to time.
class SignalThread {
 public:
  SignalThread(std::function<void(int)> on_signal,
               std::function<void()> on_poll)
      : action_(std::move(on_signal)), poll_(std::move(on_poll)) {
    Wait();
    Poll();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~SignalThread() {
    context_.stop();
    thread_.join();
  }
  SignalThread(const SignalThread&) = delete;
  SignalThread& operator=(const SignalThread&) = delete;

 private:
  void Wait() {
    signals_.async_wait([this](auto code, int number) {
      if (code) return;
      action_(number);
      Wait();
    });
  }

  void Poll() {
    timer_.expires_after(kSettingsPoll);
    timer_.async_wait([this](auto code) {
      if (code) return;
      poll_();
      Poll();
    });
  }

  std::function<void(int)> action_;
  std::function<void()> poll_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_{context_, SIGTERM, SIGINT, SIGHUP};
  boost::asio::steady_timer timer_{context_};
  std::thread thread_;
};

// A log hook that may be called on the threads `data` and `control`: each
// thread gets its own ring when it writes its first event.
LogHook MakeLogHook(LogThread& log) {
  return [&log](LogLevel level, const std::string& event,
                const LogFields& fields) {
    thread_local LogRing* ring = nullptr;
    if (ring == nullptr) ring = &log.AddRing();
    ring->Write(level, event, fields);
  };
}

void Reload(const std::string& path, SettingsReload& reload, LogThread& log,
            const LogHook& write_log) {
  Findings findings;
  const std::string text = ReadFile(path, findings);
  SettingsReload::Outcome outcome;
  if (findings.empty()) {
    outcome = reload.Apply(text);
    findings = outcome.findings;
  }
  for (const Finding& finding : findings.list()) {
    write_log(LogLevel::kError, "daemon-settings-refused",
              {{"place", finding.location}, {"finding", finding.text}});
  }
  if (!outcome.changed) return;
  log.SetLevels({outcome.log.level, outcome.log.loggers});
  for (const std::string& place : outcome.applied) {
    write_log(LogLevel::kInfo, "daemon-settings-applied", {{"place", place}});
  }
  for (const std::string& place : outcome.need_restart) {
    write_log(LogLevel::kWarn, "daemon-settings-need-restart",
              {{"place", place}});
  }
}

Result<int> Serve(Settings settings, const std::string& path,
                  const std::string& text) {
  const auto log =
      LogThread::Create({settings.log.level, settings.log.loggers});
  AuditTrail audit({});
  const LogHook write_log = MakeLogHook(*log);
  BOOST_LEAF_AUTO(operator_server,
                  OperatorServer::Create({settings.operator_address, &audit,
                                          [&log] { return log->dropped(); }}));
  settings.daemon.on_log = write_log;
  settings.daemon.on_audit = [&](const AuditRecord& record) {
    audit.Add(record);
    write_log(LogLevel::kInfo, "audit-configuration", AuditFields(record));
  };
  settings.daemon.on_stats = [&](const DaemonStats& stats) {
    operator_server->Update(stats);
  };
  BOOST_LEAF_AUTO(daemon, Daemon::Create(settings.daemon));
  if (!settings.daemon.peer_authentication) {
    write_log(LogLevel::kWarn, "peer-authentication-off",
              {{"effect", "any process that reaches the peer port can join"}});
  }
  write_log(LogLevel::kInfo, "daemon-started",
            {{"host", settings.daemon.host},
             {"caller", ToString(daemon->caller())},
             {"peer", ToString(daemon->peer())},
             {"operator", ToString(settings.operator_address)}});
  int status = kExitSuccess;
  {
    SettingsReload reload(text, platform::Configure);
    const auto read_again = [&] { Reload(path, reload, *log, write_log); };
    const SignalThread signals(
        [&](int number) {
          if (number == SIGHUP) {
            write_log(LogLevel::kInfo, "daemon-reload", {{"signal", "SIGHUP"}});
            read_again();
            return;
          }
          write_log(LogLevel::kInfo, "daemon-stopping",
                    {{"signal", number == SIGTERM ? "SIGTERM" : "SIGINT"}});
          daemon->RequestShutdown();
        },
        read_again);
    status = daemon->Run();
  }
  write_log(LogLevel::kInfo, "daemon-stopped",
            {{"status", std::to_string(status)}});
  return status;
}

int Start(const std::string& path) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        Findings unreadable;
        const std::string text = ReadFile(path, unreadable);
        if (!unreadable.empty()) {
          return boost::leaf::new_error(std::move(unreadable));
        }
        BOOST_LEAF_AUTO(settings, Settings::Parse(text, platform::Configure));
        return Serve(std::move(settings), path, text);
      },
      [&](const Findings& findings) {
        std::cerr << findings.Format(path);
        return kExitFindings;
      },
      [&] {
        std::cerr << path << ":0:0: the daemon cannot start\n";
        return kExitFindings;
      });
}

}  // namespace

int CommandDaemon(int argc, char** argv) {
  cxxopts::Options options(
      "lentilcross daemon",
      "Runs a daemon until SIGTERM or SIGINT, which start a graceful "
      "shutdown. Logs go to standard output.");
  options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>());
  int status = kExitSuccess;
  const auto arguments = ParseArguments(
      options, "lentilcross daemon --settings /etc/lentilcross.json", argc,
      argv, &status);
  if (!arguments) return status;
  if (arguments->count("settings") == 0) {
    return Unusable("daemon needs --settings");
  }
  return Start((*arguments)["settings"].as<std::string>());
}

}  // namespace lentilcross
