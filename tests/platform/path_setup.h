#pragma once

#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "adapter.h"
#include "daemon/fleet.h"
#include "platform/documents.h"
#include "platform/fake_store.h"

namespace lentilcross::testing {

inline constexpr const char* kKey = "key-of-coopers";

/// A target of the platform: echoes the request's id and signs its answers.
inline FakeTarget::Handler Signed(int status = 200) {
  return [status](FakeTarget&, const FakeServer::Exchange& exchange) {
    web::HttpResponse response =
        web::MakeResponse(status, "text/plain", "body of the target");
    response.headers.emplace_back(
        "X-Lentilcross-Request-Id",
        std::string(exchange->request().header("X-Lentilcross-Request-Id")));
    response.headers.emplace_back("X-Lentilcross-Server-Seal", "seal-1");
    exchange->Reply(std::move(response));
  };
}

/// One host on an address of its own, as each machine of the platform has one.
struct Host {
  Host(const std::string& ip, const std::string& service, const Endpoint& store,
       std::uint16_t peer_port, FakeTarget::Handler handler,
       const Json& bounds = {{"grace-s", 6}})
      : target(std::move(handler)) {
    DaemonInit init;
    init.host = ip;
    init.failure_domain = "zone-a";
    init.region = "east";
    init.caller = {ip, 0};
    init.onward.reset();
    init.peer = {ip, peer_port};
    init.platform = {store};
    init.peer_authentication = false;
    init.startup_wait = std::chrono::milliseconds(200);
    init.targets = {{"target-" + ip, service, target.server().endpoint()}};
    Findings findings;
    platform::Configure(Json{{"bounds", bounds}, {"failure_domains", kDomains}},
                        "/adapter", init, findings);
    BOOST_REQUIRE(findings.empty());
    init.drain_notice = {};  // keeps the end of each test short
    daemon = std::make_unique<RunningDaemon>(std::move(init));
    daemon->Start();
  }

  inline static const Json kDomains = {{"zone-a", "east"}};
  FakeTarget target;
  std::unique_ptr<RunningDaemon> daemon;
};

/// Sends an idempotent request to the daemon of `host`.
inline web::HttpResponse Look(Host& host, const std::string& key) {
  web::HttpRequest request;
  request.target = "/look/1";
  request.headers = {{"Host", "shop.example"},
                     {"X-Lentilcross-Request-Id", "9c41d07be2a35f68"},
                     {"X-Lentilcross-Deadline-Ms", "3000"},
                     {"X-Lentilcross-Key", key}};
  return web::HttpCall(ToText(host.daemon->daemon().caller()), request,
                       std::chrono::seconds(10))
      .response;
}

/// A store and two hosts in one failure domain: `stock` and `ledger`.
struct PathSetup {
  explicit PathSetup(FakeTarget::Handler ledger = Signed(),
                     std::uint16_t peer_port = kPeerPort,
                     const Json& configuration = MakeOperatorConfiguration(3),
                     const Json& bounds = {{"grace-s", 6}}) {
    store.Put("op/config", configuration.dump());
    // The peer port is equal on all machines; the first free one of the range.
    stock = std::make_unique<Host>("127.0.0.2", "stock", store.endpoint(),
                                   peer_port, Signed(), bounds);
    ledger_host =
        std::make_unique<Host>("127.0.0.3", "ledger", store.endpoint(),
                               peer_port, std::move(ledger), bounds);
    Register("i-stock", "stock", "127.0.0.2");
    Register("i-ledger", "ledger", "127.0.0.3");
    for (Host* host : {stock.get(), ledger_host.get()}) {
      BOOST_REQUIRE(host->daemon->WaitStats([](const DaemonStats& stats) {
        return stats.ready && stats.members.size() == 2;
      }));
    }
  }

  void Register(const std::string& name, const std::string& service,
                const std::string& ip, const std::string& state = "ready") {
    Json entry = MakeRegistration(service, ip + ":8547");
    entry["status"]["state"] = state;
    store.Put("servers/" + name, entry.dump());
  }

  /// Sends a request to the daemon beside `stock`.
  web::HttpResponse Send(const std::string& method, const std::string& path,
                         const web::HttpHeaders& extra = {}) {
    web::HttpRequest request;
    request.method = method;
    request.target = path;
    request.headers = {{"Host", "shop.example"},
                       {"X-Lentilcross-Request-Id", "9c41d07be2a35f68"},
                       {"X-Lentilcross-Deadline-Ms", "3000"},
                       {"X-Lentilcross-Key", kKey}};
    for (const auto& [name, value] : extra) {
      for (auto& [known, old] : request.headers) {
        if (known == name) old = value;
      }
    }
    return web::HttpCall(ToText(stock->daemon->daemon().caller()), request,
                         std::chrono::seconds(10))
        .response;
  }

  /// Status of the first booking that is not answered by the target.
  int StatusOnceRefused() {
    int status = 200;
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (status == 200 && std::chrono::steady_clock::now() < end) {
      status = Send("POST", "/book/1").status;
    }
    return status;
  }

  static constexpr std::uint16_t kPeerPort = 17543;
  FakeStore store;
  std::unique_ptr<Host> stock;
  std::unique_ptr<Host> ledger_host;
};

}  // namespace lentilcross::testing
