#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "daemon_init.h"
#include "http_client.h"
#include "http_server.h"

namespace lentilcross::testing {

using Json = nlohmann::json;

/// Longest wait for an event; far above what any of them takes.
inline constexpr std::chrono::seconds kPatience{20};

std::string ToText(const Endpoint& endpoint);

/// HTTP server on its own thread, on a free port of the loopback interface.
class FakeServer {
 public:
  using Exchange = std::shared_ptr<web::HttpExchange>;

  explicit FakeServer(std::function<void(Exchange)> handler);
  ~FakeServer();

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  boost::asio::io_context& io() { return *io_; }
  /// Closes the listener and all connections, as a killed process would.
  void Stop();

 private:
  std::unique_ptr<boost::asio::io_context> io_;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_;
  std::unique_ptr<web::HttpServer> server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

/// The platform's configuration service: versioned reads and watches.
class FakePlatform {
 public:
  FakePlatform();

  Endpoint endpoint() const { return server_.endpoint(); }
  /// Publishes a document and answers the watches that wait for it.
  void Publish(const Json& document);

 private:
  struct Waiting {
    FakeServer::Exchange exchange;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  void OnRequest(const FakeServer::Exchange& exchange);
  void AnswerConfig(const FakeServer::Exchange& exchange);

  std::string document_;
  std::uint64_t version_ = 0;
  std::vector<Waiting> waiting_;
  FakeServer server_;
};

/// A target: answers by a handler and keeps what it received.
class FakeTarget {
 public:
  using Handler = std::function<void(FakeTarget&, FakeServer::Exchange)>;

  explicit FakeTarget(Handler handler);

  FakeServer& server() { return server_; }
  /// Sends an onward call with the context of `exchange` and passes its
  /// response to `done`.
  void CallOnward(const FakeServer::Exchange& exchange,
                  web::HttpRequest request,
                  std::function<void(web::HttpResult)> done);
  /// Set before the first onward call.
  void SetOnward(const Endpoint& onward);

  std::vector<web::HttpRequest> received() const;
  /// Waits until this many requests have arrived.
  bool WaitReceived(std::size_t count) const;
  /// Waits until a client has closed its connection before the answer.
  bool WaitClosed(std::size_t count) const;

 private:
  void OnRequest(const FakeServer::Exchange& exchange);

  Handler handler_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::vector<web::HttpRequest> received_;
  std::size_t closed_ = 0;
  std::unique_ptr<web::HttpClient> onward_;
  FakeServer server_;
};

/// Handler that answers 200 with `body`.
FakeTarget::Handler AnswerWith(const std::string& body);

}  // namespace lentilcross::testing
