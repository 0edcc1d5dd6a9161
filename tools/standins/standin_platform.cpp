// Stand-in for the platform: serves the configuration document and the host
// list, read and watch only. A control endpoint publishes a new document and
// makes the platform go down, stale or slow, or answer every read at once
// whatever version the reader has.

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <list>
#include <sstream>
#include <stdexcept>

#include "published_text.h"
#include "standin.h"

namespace lentilcross::standin {
namespace {

using web::MakeResponse;
using Exchange = std::shared_ptr<HttpExchange>;

std::uint64_t VersionOf(const std::string& document) {
  Findings findings;
  const auto json = ParsePublishedText(document, findings);
  if (!json) throw std::invalid_argument(findings.Format("document"));
  return json->value("version", std::uint64_t{0});
}

std::uint64_t QueryNumber(const HttpRequest& request, std::string_view name) {
  return std::strtoull(std::string(request.query(name)).c_str(), nullptr, 10);
}

class Platform {
 public:
  explicit Platform(boost::asio::io_context& context) : context_(context) {}

  void Publish(const std::string& document) {
    version_ = VersionOf(document);
    document_ = document;
    if (!stale_) Show();
  }

  void Handle(const Exchange& exchange) {
    ++calls_;
    if (down_) return exchange->Abort();
    if (delay_.count() == 0) return Answer(exchange);
    Later(delay_, [this, exchange] { Answer(exchange); });
  }

  void Change(const nlohmann::json& change) {
    down_ = change.value("down", down_);
    delay_ = std::chrono::milliseconds(
        change.value("delay_ms", static_cast<int>(delay_.count())));
    const bool was_stale = stale_;
    stale_ = change.value("stale", stale_);
    ignore_after_ = change.value("ignore_after", ignore_after_);
    if (was_stale && !stale_) Show();
    if (down_) AbortWatches();
    if (change.contains("hosts")) hosts_ = change["hosts"];
  }

  bool Control(HttpExchange& exchange) {
    if (exchange.request().path() != "/publish") return false;
    Publish(exchange.request().body);
    exchange.Reply(JsonResponse(200, {{"version", version_}}));
    return true;
  }

  nlohmann::json ReadCounters() const {
    return {{"calls", calls_},
            {"pending_watches", watches_.size()},
            {"most_pending_watches", most_watches_},
            {"published_version", version_},
            {"served_version", shown_version_}};
  }

 private:
  struct Watch {
    Exchange exchange;
    std::uint64_t after;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Later(std::chrono::milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](auto) { action(); });
  }

  void Answer(const Exchange& exchange) {
    const HttpRequest& request = exchange->request();
    if (request.method != "GET") {
      return exchange->Reply(JsonResponse(405, {{"error", "read only"}}));
    }
    if (request.path() == "/v1/hosts") {
      return exchange->Reply(JsonResponse(200, {{"hosts", hosts_}}));
    }
    if (request.path() != "/v1/config") {
      return exchange->Reply(JsonResponse(404, {{"error", "unknown path"}}));
    }
    const std::uint64_t after = QueryNumber(request, "after");
    if (request.query("after").empty() || ignore_after_ ||
        shown_version_ > after) {
      return SendDocument(*exchange);
    }
    AddWatch(exchange, after,
             std::chrono::milliseconds(QueryNumber(request, "wait_ms")));
  }

  void AddWatch(const Exchange& exchange, std::uint64_t after,
                std::chrono::milliseconds wait) {
    auto timer = std::make_unique<boost::asio::steady_timer>(context_, wait);
    const auto watch =
        watches_.insert(watches_.end(), {exchange, after, std::move(timer)});
    most_watches_ = std::max(most_watches_, watches_.size());
    const std::weak_ptr<HttpExchange> weak = exchange;
    exchange->on_closed = [this, watch] { watches_.erase(watch); };
    watch->timer->async_wait([this, weak, watch](auto code) {
      if (code || weak.expired()) return;
      const Exchange waiting = watch->exchange;
      watches_.erase(watch);
      waiting->on_closed = nullptr;
      waiting->Reply(
          {304, {{"X-Version", std::to_string(shown_version_)}}, {}});
    });
  }

  void SendDocument(HttpExchange& exchange) {
    auto response = MakeResponse(200, "application/json", shown_);
    response.headers.emplace_back("X-Version", std::to_string(shown_version_));
    exchange.Reply(std::move(response));
  }

  void Show() {
    shown_ = document_;
    shown_version_ = version_;
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      if (shown_version_ <= watch->after && !ignore_after_) {
        ++watch;
        continue;
      }
      watch->exchange->on_closed = nullptr;
      SendDocument(*watch->exchange);
      watch = watches_.erase(watch);
    }
  }

  void AbortWatches() {
    for (auto& watch : watches_) {
      watch.exchange->on_closed = nullptr;
      watch.exchange->Abort();
    }
    watches_.clear();
  }

  boost::asio::io_context& context_;
  std::string document_;
  std::string shown_;
  std::uint64_t version_ = 0;
  std::uint64_t shown_version_ = 0;
  nlohmann::json hosts_ = nlohmann::json::array();
  bool down_ = false;
  bool stale_ = false;
  bool ignore_after_ = false;
  std::chrono::milliseconds delay_{0};
  std::list<Watch> watches_;
  std::size_t most_watches_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace
}  // namespace lentilcross::standin

int main(int argc, char** argv) {
  using namespace lentilcross::standin;  // NOLINT(google-build-using-namespace)
  const Options options(
      argc, argv,
      "standin_platform --listen IP:PORT --control IP:PORT --config FILE");
  boost::asio::io_context context;
  Platform platform(context);
  std::stringstream document;
  document << std::ifstream(options.required("config")).rdbuf();
  platform.Publish(document.str());
  Serve(context, options, platform);
}
