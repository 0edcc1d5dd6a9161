#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <thread>

#include "audit.h"
#include "command.h"
#include "daemon.h"
#include "logging.h"
#include "operator_server.h"

namespace lentilcross {
namespace {

// Calls `action` on its own thread when SIGTERM or SIGINT arrives.
class SignalThread {
 public:
  explicit SignalThread(std::function<void(int)> action)
      : action_(std::move(action)) {
    Wait();
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

  std::function<void(int)> action_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_{context_, SIGTERM, SIGINT};
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

Result<int> Serve(Settings settings) {
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
    const SignalThread signals([&](int number) {
      write_log(LogLevel::kInfo, "daemon-stopping",
                {{"signal", number == SIGTERM ? "SIGTERM" : "SIGINT"}});
      daemon->RequestShutdown();
    });
    status = daemon->Run();
  }
  write_log(LogLevel::kInfo, "daemon-stopped",
            {{"status", std::to_string(status)}});
  return status;
}

int Start(const std::string& path) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(settings, LoadSettings(path));
        return Serve(std::move(settings));
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
      "shutdown. Logs go to standard error.");
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
