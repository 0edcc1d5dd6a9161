#include "daemon/fakes.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <stdexcept>
#include <utility>

namespace lentilcross::testing {

std::string ToText(const Endpoint& endpoint) {
  return endpoint.ip + ":" + std::to_string(endpoint.port);
}

// ----- FakeServer

FakeServer::FakeServer(std::function<void(Exchange)> handler)
    : io_(std::make_unique<boost::asio::io_context>()),
      work_(boost::asio::make_work_guard(*io_)) {
  web::HttpServer::Init init;
  init.address = "127.0.0.1:0";
  init.handler = std::move(handler);
  std::string error;
  server_ = web::HttpServer::Create(*io_, std::move(init), &error);
  if (!server_) throw std::runtime_error(error);
  port_ = server_->port();
  thread_ = std::thread([this] { io_->run(); });
}

FakeServer::~FakeServer() { Stop(); }

void FakeServer::Stop() {
  if (!thread_.joinable()) return;
  io_->stop();
  thread_.join();
  server_.reset();
  work_.reset();
  io_.reset();  // destroys the connections with their handlers
}

// ----- FakePlatform

FakePlatform::FakePlatform()
    : server_([this](const FakeServer::Exchange& e) { OnRequest(e); }) {}

void FakePlatform::Publish(const Json& document) {
  std::promise<void> done;
  boost::asio::post(server_.io(), [&] {
    document_ = document.dump();
    version_ = document.at("version").get<std::uint64_t>();
    for (const Waiting& waiting : std::exchange(waiting_, {})) {
      waiting.timer->cancel();
      AnswerConfig(waiting.exchange);
    }
    done.set_value();
  });
  done.get_future().wait();
}

void FakePlatform::AnswerConfig(const FakeServer::Exchange& exchange) {
  web::HttpResponse response =
      web::MakeResponse(200, "application/json", document_);
  response.headers.emplace_back("X-Version", std::to_string(version_));
  exchange->Reply(std::move(response));
}

void FakePlatform::OnRequest(const FakeServer::Exchange& exchange) {
  const web::HttpRequest& request = exchange->request();
  if (request.path() == "/v1/hosts") {
    exchange->Reply(
        web::MakeResponse(200, "application/json", R"({"hosts":[]})"));
    return;
  }
  const std::string after(request.query("after"));
  if (after.empty() || std::stoull(after) < version_) {
    AnswerConfig(exchange);
    return;
  }
  const std::string wait(request.query("wait_ms"));
  auto timer = std::make_shared<boost::asio::steady_timer>(
      server_.io(), std::chrono::milliseconds(std::stoi(wait)));
  waiting_.push_back({exchange, timer});
  timer->async_wait([exchange, timer](boost::system::error_code error) {
    if (!error) exchange->Reply({304, {}, {}});
  });
}

// ----- FakeTarget

FakeTarget::FakeTarget(Handler handler)
    : handler_(std::move(handler)),
      server_([this](const FakeServer::Exchange& e) { OnRequest(e); }) {}

void FakeTarget::OnRequest(const FakeServer::Exchange& exchange) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    received_.push_back(exchange->request());
  }
  exchange->on_closed = [this] {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++closed_;
    changed_.notify_all();
  };
  changed_.notify_all();
  handler_(*this, exchange);
}

void FakeTarget::SetOnward(const Endpoint& onward) {
  onward_ = web::HttpClient::Create(server_.io(), ToText(onward));
}

void FakeTarget::CallOnward(const FakeServer::Exchange& exchange,
                            web::HttpRequest request,
                            std::function<void(web::HttpResult)> done) {
  request.headers.emplace_back(
      "Lentilcross-Context",
      std::string(exchange->request().header("Lentilcross-Context")));
  const auto cancel = onward_->Send(std::move(request),
                                    std::chrono::seconds(10), std::move(done));
  const auto count_closed = exchange->on_closed;
  exchange->on_closed = [cancel, count_closed] {
    count_closed();
    cancel();
  };
}

std::vector<web::HttpRequest> FakeTarget::received() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return received_;
}

bool FakeTarget::WaitReceived(std::size_t count) const {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, kPatience,
                           [&] { return received_.size() >= count; });
}

bool FakeTarget::WaitClosed(std::size_t count) const {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, kPatience, [&] { return closed_ >= count; });
}

FakeTarget::Handler AnswerWith(const std::string& body) {
  return [body](FakeTarget&, const FakeServer::Exchange& exchange) {
    exchange->Reply(web::MakeResponse(200, "text/plain", body));
  };
}

}  // namespace lentilcross::testing
