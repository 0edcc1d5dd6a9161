#include "operator_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

#include "http_server.h"
#include "metrics.h"
#include "settings.h"

namespace lentilcross {
namespace {

// A snapshot comes once per second and at each change of the readiness. The
// thread empties the ring at this interval even without requests; otherwise old
// snapshots would fill it and the newest would be dropped.
constexpr std::size_t kSnapshotRing = 16;
constexpr std::chrono::milliseconds kTakeInterval(250);
// Operators and scrapers are few. The bound keeps a client that leaks
// connections from using up the process's file descriptors.
constexpr std::size_t kMaxOperatorConnections = 64;
constexpr std::size_t kMaxOperatorBody = 4096;

constexpr std::string_view kText = "text/plain; charset=utf-8";

class Server final : public OperatorServer {
 public:
  explicit Server(Init init) : init_(std::move(init)) {}
  ~Server() override {
    context_.stop();
    if (thread_.joinable()) thread_.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start(std::string* error) {
    web::HttpServer::Init init;
    init.address = ToString(init_.address);
    init.max_body = kMaxOperatorBody;
    init.max_connections = kMaxOperatorConnections;
    init.handler = [this](const auto& exchange) {
      exchange->Reply(Answer(exchange->request()));
    };
    server_ = web::HttpServer::Create(context_, std::move(init), error);
    if (server_ == nullptr) return false;
    port_ = server_->port();
    TakeSnapshots();
    thread_ = std::thread([this] { context_.run(); });
    return true;
  }

  void Update(const DaemonStats& stats) override { (void)ring_.push(stats); }
  std::uint16_t port() const override { return port_; }

 private:
  void TakeSnapshots() {
    while (ring_.pop(latest_)) {
    }
    timer_.expires_after(kTakeInterval);
    timer_.async_wait([this](auto code) {
      if (!code) TakeSnapshots();
    });
  }

  web::HttpResponse Answer(const web::HttpRequest& request) {
    ++requests_;
    while (ring_.pop(latest_)) {
    }
    if (request.method != "GET") {
      auto response = web::MakeResponse(405, kText, "read only\n");
      response.headers.emplace_back("Allow", "GET");
      return response;
    }
    const std::string_view path = request.path();
    if (path == "/live") return Flag(latest_.live, "live");
    if (path == "/ready") {
      return Flag(latest_.ready && !latest_.draining, "ready");
    }
    if (path == "/status") {
      return web::MakeResponse(200, "application/json",
                               StatusDocument(latest_).dump(2) + "\n");
    }
    if (path == "/metrics") {
      return web::MakeResponse(200, "text/plain; version=0.0.4",
                               MetricsText(latest_, Observation()));
    }
    if (path == "/audit") return Audit(request);
    return web::MakeResponse(404, kText, "unknown path\n");
  }

  static web::HttpResponse Flag(bool value, const std::string& name) {
    return web::MakeResponse(value ? 200 : 503, kText,
                             (value ? "" : "not ") + name + "\n");
  }

  web::HttpResponse Audit(const web::HttpRequest& request) const {
    const std::string_view since = request.query("since");
    std::uint64_t after = 0;
    const auto [end, error] =
        std::from_chars(since.data(), since.data() + since.size(), after);
    const bool whole = end == since.data() + since.size();
    if (!since.empty() && (error != std::errc() || !whole)) {
      return web::MakeResponse(400, kText, "since: not a number\n");
    }
    return web::MakeResponse(200, "application/x-ndjson",
                             init_.audit->ReadAfter(after));
  }

  ObservationStats Observation() const {
    const AuditTrail::Stats audit = init_.audit->stats();
    ObservationStats stats;
    stats.log_dropped = init_.log_dropped ? init_.log_dropped() : 0;
    stats.audit_recorded = audit.recorded;
    stats.audit_dropped = audit.dropped;
    stats.operator_requests = requests_;
    stats.operator_refused_connections = server_->refused_connections();
    return stats;
  }

  Init init_;
  boost::lockfree::spsc_queue<DaemonStats,
                              boost::lockfree::capacity<kSnapshotRing>>
      ring_;
  boost::asio::io_context context_;
  boost::asio::steady_timer timer_{context_};
  std::unique_ptr<web::HttpServer> server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
  // Used on the operator thread only.
  DaemonStats latest_;
  std::uint64_t requests_ = 0;
};

}  // namespace

Result<std::unique_ptr<OperatorServer>> OperatorServer::Create(Init init) {
  auto server = std::make_unique<Server>(std::move(init));
  std::string error;
  if (!server->Start(&error)) {
    Findings findings;
    findings.Add("/operator", error);
    return boost::leaf::new_error(std::move(findings));
  }
  return std::unique_ptr<OperatorServer>(std::move(server));
}

}  // namespace lentilcross
