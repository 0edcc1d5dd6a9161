#pragma once

// Parts of the review's scripts: a stand-in for the platform's store, sound
// upstreams, clients on raw sockets, and daemons as separate processes.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;

/// Exit statuses of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

/// Seconds since the program started.
double Now();
void SleepMs(int milliseconds);
/// False if the variable TROUBLE is 0.
bool HasTrouble();

/// Appends a line with the time to the file record.txt.
void OpenRecord(const std::string& folder);
void Write(const std::string& line);

/// An HTTP message. Names of headers are in lower case.
struct Message {
  std::string start;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string header(const std::string& name) const;
  int status() const;
};

/// One TCP connection.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int handle) : handle_(handle) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Open(const std::string& ip, int port);
  bool Send(const std::string& text) const;
  enum class Outcome { kMessage, kClosed, kTimeout, kMalformed };
  /// Reads one request or response. `no_body`: the response has none, as to a
  /// HEAD request.
  Outcome Read(Message& message, int timeout_ms, bool no_body = false);
  /// True if the other side has closed the connection.
  bool IsClosed() const;
  void Close();
  int handle() const { return handle_; }
  /// Bytes that were read but belong to no message yet.
  const std::string& rest() const { return buffer_; }

 private:
  bool Fill(Clock::time_point deadline, Outcome& outcome);

  int handle_ = -1;
  std::string buffer_;
};

int ListenOn(const std::string& ip, int port);
/// Accepts connections on a thread of its own, each served on another thread.
void Serve(const std::string& ip, int port,
           std::function<void(Connection&)> serve);

/// The platform's store: reads and watches as in PROTOCOL.md.
class Store {
 public:
  void Start(const std::string& ip, int port);
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

 private:
  struct Item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };
  void Handle(Connection& connection);
  std::string Range(const std::string& prefix, const std::string& after);
  std::string Watch(const std::string& prefix, std::uint64_t after, int ms);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Item> history_;
  std::uint64_t revision_ = 1;
};

/// What an upstream saw of one request.
struct Run {
  double at = 0;
  std::string upstream;
  std::string id;
  std::string method;
  std::string path;
  std::string tenant;
  std::string body;
  bool finished = false;  ///< False: the connection closed during the work.
  double ended = 0;
};

/// Sound upstream: runs a request for the milliseconds after "ms=" in its path,
/// and drops it if its connection closes.
class Upstream {
 public:
  Upstream(std::string id, std::string service, int slots)
      : id_(std::move(id)), service_(std::move(service)), slots_(slots) {}
  void Start(const std::string& ip, int port);
  std::vector<Run> runs() const;
  const std::string& id() const { return id_; }
  /// Its entry in the store.
  std::string Entry(const std::string& zone, const std::string& state,
                    int sequence) const;

 private:
  void Handle(Connection& connection);
  /// False if the connection closed.
  bool Work(const Connection& connection, int ms) const;

  std::string id_;
  std::string service_;
  int slots_ = 0;
  std::string address_;
  std::int64_t born_ = 0;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<int> running_{0};
};

/// A daemon, started with the command of the deploy file.
class Daemon {
 public:
  Daemon() = default;
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  Daemon(Daemon&&) = delete;
  Daemon& operator=(Daemon&&) = delete;

  bool Start(const std::string& settings, const std::string& log);
  void Signal(int signal) const;
  /// True if the process has ended.
  bool HasEnded();
  void Kill();

 private:
  pid_t pid_ = 0;
};

/// A small deployment: a store, and machines with a daemon and an upstream.
class Deployment {
 public:
  struct Machine {
    std::string ip;
    std::string zone;
    std::string service;
    std::string store_ip;  ///< Where its daemon reaches the store.
    int store_port = 0;
    Upstream upstream;
    Daemon daemon;
    int sequence = 1;
    Machine(std::string machine_ip, std::string machine_zone,
            const std::string& id, const std::string& name, int slots)
        : ip(std::move(machine_ip)),
          zone(std::move(machine_zone)),
          service(name),
          upstream(id, name, slots) {}
  };

  /// The one deployment of this program. It is never destroyed, because the
  /// threads that serve connections use it.
  static Deployment& Create();
  /// Ends all processes and removes the temporary folder.
  static void End();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Machine& Add(const std::string& zone, const std::string& service, int slots);
  void StartStore();
  bool StartDaemon(Machine& machine);
  /// Registers all upstreams, starts all daemons and waits until each one says
  /// that it is ready.
  bool StartAll();
  /// Renews the entries of the upstreams as they would.
  void KeepRegistering();
  void Register(Machine& machine, const std::string& state);
  void Unregister(Machine& machine);
  bool IsReady(const Machine& machine) const;
  /// An address of this deployment, for a proxy.
  std::string Ip(int last) const;

  Store store;
  std::vector<std::unique_ptr<Machine>> machines;
  int store_port = 0;
  int caller_port = 0;
  int peer_port = 0;
  int operator_port = 0;
  int app_port = 0;

 private:
  Deployment();
  void Stop();
  std::string Settings(const Machine& machine) const;

  static Deployment* instance_;

  std::string net_;
  std::string folder_;
  std::atomic<bool> stopping_{false};
  std::thread heartbeats_;
  std::mutex mutex_;
  std::map<const Machine*, std::string> states_;
};

struct Route {
  std::string host;
  std::string prefix;
  std::string kind;  ///< `idempotent` or `non_idempotent`.
  std::string service;
  int timeout_ms = 5000;
  int priority = 0;
  bool is_public = false;
};

struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  double rate_per_s = 0;  ///< 0: no limit.
  double burst = 0;
};

/// The value of `op/config`. Without tenants it has no member `tenants`.
std::string Configuration(int version, const std::vector<std::string>& services,
                          const std::vector<Route>& routes,
                          const std::vector<Tenant>& tenants,
                          int idle_timeout_ms = 15000);

/// Text of a request with the usual headers.
std::string Request(const std::string& method, const std::string& host,
                    const std::string& path, const std::string& id,
                    const std::string& key, int deadline_ms,
                    const std::string& body = "");
/// An id for one client attempt.
std::string NewId();

}  // namespace lab
