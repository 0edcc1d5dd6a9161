#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace lab {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kBacklog = 128;
constexpr std::size_t kReadBytes = 65536;
constexpr int kWorkStepMs = 5;
constexpr int kHeartbeatMs = 1500;
constexpr int kMaxFill = 2000;

const Clock::time_point kStarted = Clock::now();
std::mutex record_mutex;
std::ofstream record;

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (i + j < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[i + j]);
      }
    }
    for (int shift = 18; shift >= 0; shift -= 6) {
      text += kDigits[(group >> static_cast<unsigned>(shift)) & 63U];
    }
    if (i + 1 >= bytes.size()) text[text.size() - 2] = '=';
    if (i + 2 >= bytes.size()) text[text.size() - 1] = '=';
  }
  return text;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return static_cast<char>(tolower(static_cast<unsigned char>(c)));
  });
  return text;
}

std::string Query(const std::string& target, const std::string& name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return "";
  std::size_t at = mark + 1;
  while (at < target.size()) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    if (pair.rfind(name + "=", 0) == 0) return pair.substr(name.size() + 1);
    at = end + 1;
  }
  return "";
}

std::string Word(const std::string& line, int index) {
  std::size_t at = 0;
  for (int i = 0; i < index; ++i) {
    at = line.find(' ', at);
    if (at == std::string::npos) return "";
    ++at;
  }
  return line.substr(at, line.find(' ', at) - at);
}

std::string ToText(int status, const std::string& headers,
                   const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The number that the text begins with; 0 if there is none.
std::uint64_t Number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

bool Starts(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

int FreePort(const std::string& ip) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(ip, 0);
  socklen_t size = sizeof(address);
  if (bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0) return 0;
  getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
  close(handle);
  return ntohs(address.sin_port);
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStarted).count();
}

void SleepMs(int time) { std::this_thread::sleep_for(milliseconds(time)); }

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void OpenRecord(const std::string& folder) {
  record.open(folder + "/record.txt", std::ios::trunc);
}

void Write(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", Now());
  record << time.data() << line << std::endl;
}

std::string Message::header(const std::string& name) const {
  const auto found = headers.find(LowerCase(name));
  return found == headers.end() ? "" : found->second;
}

int Message::status() const { return static_cast<int>(Number(Word(start, 1))); }

// ----- Connections

Connection::~Connection() { Close(); }

void Connection::Close() {
  if (handle_ >= 0) close(handle_);
  handle_ = -1;
}

bool Connection::Open(const std::string& ip, int port) {
  Close();
  buffer_.clear();
  handle_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(ip, port);
  return connect(handle_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0;
}

bool Connection::Send(const std::string& text) const {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(handle_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::Fill(Clock::time_point deadline, Outcome& outcome) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
  pollfd wait{handle_, POLLIN, 0};
  const int ready = left <= 0 ? 0
                              : poll(&wait, 1,
                                     static_cast<int>(std::min<long>(  // NOLINT
                                         left, kMaxFill)));
  if (ready == 0 && left > kMaxFill) return true;
  if (ready <= 0) {
    outcome = Outcome::kTimeout;
    return false;
  }
  std::string bytes(kReadBytes, '\0');
  const ssize_t count = recv(handle_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    outcome = Outcome::kClosed;
    return false;
  }
  buffer_.append(bytes, 0, static_cast<std::size_t>(count));
  return true;
}

Connection::Outcome Connection::Read(Message& message, int timeout_ms,
                                     bool no_body) {
  const auto deadline = Clock::now() + milliseconds(timeout_ms);
  Outcome outcome = Outcome::kMessage;
  message = {};
  while (buffer_.find("\r\n\r\n") == std::string::npos) {
    if (!Fill(deadline, outcome)) return outcome;
  }
  const std::size_t end = buffer_.find("\r\n\r\n");
  std::size_t at = buffer_.find("\r\n");
  message.start = buffer_.substr(0, at);
  const bool is_answer = Starts(message.start, "HTTP/1.1 ");
  const std::string request_end = " HTTP/1.1";
  const std::size_t tail = message.start.rfind(request_end);
  const bool is_request = tail != std::string::npos &&
                          tail + request_end.size() == message.start.size();
  if (!is_answer && !is_request) return Outcome::kMalformed;
  while (at < end) {
    at += 2;
    const std::size_t line_end = buffer_.find("\r\n", at);
    const std::string line = buffer_.substr(at, line_end - at);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
      message.headers[LowerCase(line.substr(0, colon))] =
          line.substr(colon + 2);
    }
    at = line_end;
  }
  buffer_.erase(0, end + 4);
  const std::string length = message.header("Content-Length");
  const std::size_t size = no_body ? 0 : Number(length);
  while (buffer_.size() < size) {
    if (!Fill(deadline, outcome)) return outcome;
  }
  message.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return Outcome::kMessage;
}

bool Connection::IsClosed() const {
  char byte = 0;
  const ssize_t count = recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

int ListenOn(const std::string& ip, int port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(ip, port);
  const bool good = bind(handle, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0 &&
                    listen(handle, kBacklog) == 0;
  if (good) return handle;
  std::cerr << "cannot listen on " << ip << ":" << port << "\n";
  std::exit(kCannotRun);
}

void Serve(const std::string& ip, int port,
           std::function<void(Connection&)> serve) {
  const int listener = ListenOn(ip, port);
  std::thread([listener, serve = std::move(serve)] {
    while (true) {
      const int handle = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) continue;
      std::thread([handle, serve] {
        Connection connection(handle);
        serve(connection);
      }).detach();
    }
  }).detach();
}

// ----- The store

void Store::Start(const std::string& ip, int port) {
  Serve(ip, port, [this](Connection& connection) { Handle(connection); });
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  history_.push_back({key, value, ++revision_, false});
  changed_.notify_all();
}

void Store::Delete(const std::string& key) {
  const std::lock_guard lock(mutex_);
  history_.push_back({key, "", ++revision_, true});
  changed_.notify_all();
}

std::string Store::Range(const std::string& prefix, const std::string& after) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, const Item*> newest;
  for (const Item& item : history_) {
    if (Starts(item.key, prefix) && item.key > after) newest[item.key] = &item;
  }
  Json items = Json::array();
  for (const auto& [key, item] : newest) {
    if (item->deleted) continue;
    items.push_back({{"key", key},
                     {"value", Base64(item->value)},
                     {"rev", item->revision},
                     {"created", item->revision},
                     {"lease", 0}});
  }
  return Json{
      {"items", items}, {"truncated", false}, {"store-revision", revision_}}
      .dump();
}

std::string Store::Watch(const std::string& prefix, std::uint64_t after,
                         int ms) {
  std::unique_lock lock(mutex_);
  Json events = Json::array();
  const auto deadline = Clock::now() + milliseconds(ms);
  while (true) {
    for (const Item& item : history_) {
      if (item.revision <= after || !Starts(item.key, prefix)) continue;
      Json event = {{"key", item.key}, {"rev", item.revision}};
      if (item.deleted) {
        event["deleted"] = true;
      } else {
        event["value"] = Base64(item.value);
        event["created"] = item.revision;
        event["lease"] = 0;
      }
      events.push_back(event);
    }
    const bool done = !events.empty() || changed_.wait_until(lock, deadline) ==
                                             std::cv_status::timeout;
    if (done) break;
  }
  return Json{{"events", events}, {"store-revision", revision_}}.dump();
}

void Store::Handle(Connection& connection) {
  Message request;
  while (connection.Read(request, 600000) == Connection::Outcome::kMessage) {
    const std::string target = Word(request.start, 1);
    std::string body;
    if (Starts(target, "/kv-range")) {
      body = Range(Query(target, "prefix"), Query(target, "after"));
    } else if (Starts(target, "/kv-watch")) {
      body = Watch(Query(target, "prefix"), Number(Query(target, "after")),
                   static_cast<int>(Number(Query(target, "wait-ms"))));
    }
    const int status = body.empty() ? 404 : 200;
    if (!connection.Send(
            ToText(status, "Content-Type: application/json\r\n", body))) {
      return;
    }
  }
}

// ----- Upstreams

void Upstream::Start(const std::string& ip, int port) {
  address_ = ip + ":" + std::to_string(port);
  born_ = std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  Serve(ip, port, [this](Connection& connection) { Handle(connection); });
}

std::vector<Run> Upstream::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::string Upstream::Entry(const std::string& zone, const std::string& state,
                            int sequence) const {
  const Json entry = {
      {"address", address_},
      {"born", born_},
      {"details",
       {{"service", service_},
        {"version", "v1"},
        {"zone", zone},
        {"slots", slots_}}},
      {"status",
       {{"state", state}, {"sequence", sequence}, {"cold-left-ms", 0}}}};
  return entry.dump();
}

bool Upstream::Work(const Connection& connection, int ms) const {
  const auto end = Clock::now() + milliseconds(ms);
  while (Clock::now() < end) {
    if (connection.IsClosed()) return false;
    SleepMs(kWorkStepMs);
  }
  return true;
}

void Upstream::Handle(Connection& connection) {
  Message request;
  while (connection.Read(request, 600000) == Connection::Outcome::kMessage) {
    const std::string id = request.header("X-Lentilcross-Request-Id");
    const std::string expected =
        request.header("X-Lentilcross-Expect-Instance");
    const std::string path = Word(request.start, 1);
    const std::string echo = "X-Lentilcross-Request-Id: " + id + "\r\n";
    const std::string own = "X-Lentilcross-Instance-Id: " + id_ + "\r\n";
    if (Starts(path, "/healthz")) {
      if (!connection.Send(ToText(200, own, "ok"))) return;
      continue;
    }
    if (!expected.empty() && expected != id_) {
      if (!connection.Send(ToText(421, echo + own, ""))) return;
      continue;
    }
    if (id.empty()) {
      const std::string headers = "X-Lentilcross-Not-Executed: 1\r\n";
      if (!connection.Send(ToText(400, headers, ""))) return;
      continue;
    }
    std::size_t index = 0;
    Run run;
    run.at = Now();
    run.upstream = id_;
    run.id = id;
    run.method = Word(request.start, 0);
    run.path = path;
    run.tenant = request.header("X-Lentilcross-Tenant");
    run.body = request.body;
    {
      const std::lock_guard lock(mutex_);
      index = runs_.size();
      runs_.push_back(run);
    }
    Write("upstream " + id_ + " begins " + run.method + " " + path +
          " id=" + id + " tenant=" + run.tenant + " body of " +
          std::to_string(run.body.size()) + " bytes");
    const std::string time = Query(path, "ms");
    ++running_;
    const bool finished =
        Work(connection, time.empty() ? 5 : static_cast<int>(Number(time)));
    const int running = running_--;
    {
      const std::lock_guard lock(mutex_);
      runs_[index].finished = finished;
      runs_[index].ended = Now();
    }
    Write("upstream " + id_ + (finished ? " finishes id=" : " drops id=") + id +
          (finished ? "" : " (connection closed during the work)"));
    if (!finished) return;
    const std::string body = "body of " + id + " from " + id_ + "\n";
    const std::string headers =
        echo + "X-Lentilcross-Server-Seal: seal." + id_ + "." + id + "\r\n" +
        "X-Lentilcross-Server-Load: " + std::to_string(running) + ",0," +
        std::to_string(slots_) + "\r\n";
    std::string answer = ToText(200, headers, body);
    if (run.method == "HEAD") answer.resize(answer.size() - body.size());
    if (!connection.Send(answer)) return;
  }
}

// ----- Daemons

Daemon::~Daemon() { Kill(); }

bool Daemon::Start(const std::string& settings, const std::string& log) {
  pid_ = fork();
  if (pid_ != 0) return pid_ > 0;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execl("target/lentilcross", "target/lentilcross", "daemon", "--settings",
        settings.c_str(), nullptr);
  _exit(kCannotRun);
}

void Daemon::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool Daemon::HasEnded() {
  if (pid_ <= 0) return true;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

void Daemon::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = 0;
}

// ----- Deployment

Deployment::Deployment() {
  std::random_device random;
  net_ = "127." + std::to_string(10 + random() % 200) + "." +
         std::to_string(1 + random() % 250) + ".";
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  const char* const made = mkdtemp(pattern.data());
  if (made == nullptr) std::exit(kCannotRun);
  folder_ = made;
  for (int* port :
       {&store_port, &caller_port, &peer_port, &operator_port, &app_port}) {
    *port = FreePort(Ip(1));
    if (*port == 0) std::exit(kCannotRun);
  }
}

Deployment* Deployment::instance_ = nullptr;

Deployment& Deployment::Create() {
  instance_ = new Deployment();
  return *instance_;
}

void Deployment::End() {
  if (instance_ != nullptr) instance_->Stop();
}

void Deployment::Stop() {
  stopping_ = true;
  if (heartbeats_.joinable()) heartbeats_.join();
  for (auto& machine : machines) machine->daemon.Kill();
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_, ignored);
  } else {
    std::cerr << "logs in " << folder_ << "\n";
  }
}

std::string Deployment::Ip(int last) const {
  return net_ + std::to_string(last);
}

Deployment::Machine& Deployment::Add(const std::string& zone,
                                     const std::string& service, int slots) {
  const int number = static_cast<int>(machines.size()) + 1;
  machines.push_back(std::make_unique<Machine>(
      Ip(number + 1), zone, "i-" + std::to_string(number), service, slots));
  Machine& machine = *machines.back();
  machine.store_ip = Ip(1);
  machine.store_port = store_port;
  return machine;
}

void Deployment::StartStore() { store.Start(Ip(1), store_port); }

std::string Deployment::Settings(const Machine& machine) const {
  const auto at = [&machine](int port) {
    return machine.ip + ":" + std::to_string(port);
  };
  const Json settings = {
      {"host", machine.ip},
      {"failure_domain", machine.zone},
      {"region", "manitoba"},
      {"caller", at(caller_port)},
      {"onward_on_caller", true},
      {"peer", at(peer_port)},
      {"operator", at(operator_port)},
      {"targets",
       {{{"name", "sidecar-" + machine.upstream.id()},
         {"service", machine.service},
         {"address", at(app_port)}}}},
      {"platform",
       {machine.store_ip + ":" + std::to_string(machine.store_port)}},
      {"peer_authentication", "none"},
      {"startup_wait_ms", 500},
      {"adapter",
       {{"bounds",
         {{"seed-lag-s", 3},
          {"addr-reuse-s", 2},
          {"stable-ms", 3000},
          {"ack-ms", 4000},
          {"catch-up-s", 4},
          {"drain-ms", 2000},
          {"grace-s", 6},
          {"loss-slack-ms", 200},
          {"config-apply-ms", 2000},
          {"rollback-slack-ms", 250},
          {"stretch-max-ms", 5000},
          {"revoke-strict", false},
          {"revoke-ms", 5000},
          {"retry-ratio", 0.2},
          {"retry-window-s", 10},
          {"retry-slack", 49},
          {"quota-window-s", 5},
          {"quota-excess", 0.25},
          {"quota-slack", 20},
          {"recovery-s", 15}}},
        {"failure_domains",
         {{"mb-winnipeg", "manitoba"}, {"mb-brandon", "manitoba"}}}}}};
  return settings.dump(2);
}

bool Deployment::StartDaemon(Machine& machine) {
  const std::string path = folder_ + "/" + machine.upstream.id() + ".json";
  std::ofstream(path) << Settings(machine);
  return machine.daemon.Start(path,
                              folder_ + "/" + machine.upstream.id() + ".log");
}

void Deployment::Register(Machine& machine, const std::string& state) {
  const std::lock_guard lock(mutex_);
  states_[&machine] = state;
  store.Put("servers/" + machine.upstream.id(),
            machine.upstream.Entry(machine.zone, state, machine.sequence++));
}

void Deployment::Unregister(Machine& machine) {
  const std::lock_guard lock(mutex_);
  states_.erase(&machine);
  store.Delete("servers/" + machine.upstream.id());
}

void Deployment::KeepRegistering() {
  heartbeats_ = std::thread([this] {
    int elapsed = 0;
    while (!stopping_) {
      SleepMs(50);
      elapsed += 50;
      if (elapsed < kHeartbeatMs) continue;
      elapsed = 0;
      const std::lock_guard lock(mutex_);
      for (auto& machine : machines) {
        const auto state = states_.find(machine.get());
        if (state == states_.end()) continue;
        store.Put("servers/" + machine->upstream.id(),
                  machine->upstream.Entry(machine->zone, state->second,
                                          machine->sequence++));
      }
    }
  });
}

bool Deployment::IsReady(const Machine& machine) const {
  Connection connection;
  Message answer;
  return connection.Open(machine.ip, operator_port) &&
         connection.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         connection.Read(answer, 1000) == Connection::Outcome::kMessage &&
         answer.status() == 200;
}

bool Deployment::StartAll() {
  for (auto& machine : machines) {
    machine->upstream.Start(machine->ip, app_port);
    Register(*machine, "ready");
  }
  KeepRegistering();
  for (auto& machine : machines) {
    if (!StartDaemon(*machine)) return false;
  }
  const double limit = Now() + 15;
  for (auto& machine : machines) {
    while (!IsReady(*machine)) {
      if (Now() > limit || machine->daemon.HasEnded()) return false;
      SleepMs(50);
    }
  }
  return true;
}

std::string Configuration(int version, const std::vector<std::string>& services,
                          const std::vector<Route>& routes,
                          const std::vector<Tenant>& tenants,
                          int idle_timeout_ms) {
  Json document = {{"version", "r" + std::to_string(version)},
                   {"services", Json::array()},
                   {"limits",
                    {{"max-header-bytes", 16384},
                     {"max-body-bytes", 67108864},
                     {"header-timeout-ms", 3000},
                     {"idle-timeout-ms", idle_timeout_ms}}},

                   {"virtual-hosts", Json::array()}};
  for (const std::string& service : services) {
    document["services"].push_back({{"name", service},
                                    {"health-path", "/healthz"},
                                    {"max-conns", 526},
                                    {"protocol", "h1"},
                                    {"tls-mode", false}});
  }
  for (const Tenant& tenant : tenants) {
    Json entry = {
        {"name", tenant.name}, {"api-keys", tenant.keys}, {"priority", 1}};
    if (tenant.rate_per_s > 0) {
      entry["rate-per-s"] = tenant.rate_per_s;
      entry["burst"] = tenant.burst;
    }
    document["tenants"].push_back(entry);
  }
  for (const Route& route : routes) {
    const Json path = {
        {"name", "r-" + route.service}, {"prefix", route.prefix},
        {"kind", route.kind},           {"timeout-ms", route.timeout_ms},
        {"target-latency-ms", 1500},    {"priority", route.priority},
        {"service", route.service},     {"max-attempts", 2},
        {"public", route.is_public}};
    document["virtual-hosts"].push_back(
        {{"host", route.host}, {"paths", Json::array({path})}});
  }
  return document.dump();
}

std::string NewId() {
  static std::atomic<std::uint64_t> last{0x9c41d07be2a30000};
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(++last));  // NOLINT
  return text.data();
}

std::string Request(const std::string& method, const std::string& host,
                    const std::string& path, const std::string& id,
                    const std::string& key, int deadline_ms,
                    const std::string& body) {
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: " + host +
      "\r\nX-Lentilcross-Request-Id: " + id +
      "\r\nX-Lentilcross-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (!key.empty()) text += "X-Lentilcross-Key: " + key + "\r\n";
  if (method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

}  // namespace lab
