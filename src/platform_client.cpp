#include "platform_client.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "http_client.h"
#include "lentilcross/config.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using web::HttpClient;
using web::HttpFailure;
using web::HttpRequest;
using web::HttpResponse;
using web::HttpResult;

milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

std::vector<PlatformSource::HostState> ParseHosts(const std::string& text) {
  std::vector<PlatformSource::HostState> hosts;
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object()) return hosts;
  const auto list = document.find("hosts");
  if (list == document.end() || !list->is_array()) return hosts;
  for (const auto& item : *list) {
    if (!item.is_object()) continue;
    const auto name = item.find("name");
    const auto state = item.find("state");
    if (name == item.end() || !name->is_string()) continue;
    if (state == item.end() || !state->is_string()) continue;
    hosts.push_back(
        {name->get<std::string>(), state->get<std::string>() == "leaving"});
  }
  return hosts;
}

}  // namespace

struct PlatformClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(boost::asio::io_context& context, const Init& client_init,
       Hooks client_hooks)
      : io(context), init(client_init), hooks(std::move(client_hooks)) {
    for (const Endpoint& endpoint : init.endpoints) {
      addresses.push_back(endpoint.ip + ":" + std::to_string(endpoint.port));
      clients.push_back(HttpClient::Create(io, addresses.back()));
    }
  }

  void Read(Version after, Duration wait) {
    reading = true;
    if (clients.empty()) {
      boost::asio::post(io, [weak = weak_from_this()] {
        if (auto self = weak.lock()) self->Fail("no platform address is set");
      });
      return;
    }
    HttpRequest request;
    request.target = "/v1/config";
    if (after.valid()) {
      request.target +=
          "?after=" + std::to_string(after.value()) +
          "&wait_ms=" + std::to_string(ToMilliseconds(wait).count());
    }
    ++(wait > Duration::zero() ? stats.watches : stats.reads);
    const Instant began = steady_clock::now();
    clients[current]->Send(
        std::move(request), ToMilliseconds(wait + init.timeout),
        [weak = weak_from_this(), began](const HttpResult& result) {
          if (auto self = weak.lock()) self->OnRead(result, began);
        });
  }

  void OnRead(const HttpResult& result, Instant began) {
    if (result.failure != HttpFailure::kNone) {
      Fail(std::string(ToString(result.failure)));
      return;
    }
    const HttpResponse& response = result.response;
    if (response.status == 304) {
      reading = false;
      hooks.on_unchanged(began);
      return;
    }
    if (response.status != 200 ||
        response.body.size() > LENTILCROSS_CONFIG_MAX_PUBLISHED_VALUE) {
      Fail("status " + std::to_string(response.status) + " with " +
           std::to_string(response.body.size()) + " bytes");
      return;
    }
    reading = false;
    hooks.on_document(response.body, addresses[current], began);
  }

  void Fail(const std::string& cause) {
    reading = false;
    ++stats.failures;
    if (!clients.empty()) current = (current + 1) % clients.size();
    hooks.on_failure(cause);
  }

  void ReadHosts() {
    if (clients.empty() || reading_hosts) return;
    reading_hosts = true;
    ++stats.host_lists;
    HttpRequest request;
    request.target = "/v1/hosts";
    clients[current]->Send(std::move(request), ToMilliseconds(init.timeout),
                           [weak = weak_from_this()](const HttpResult& result) {
                             if (auto self = weak.lock()) self->OnHosts(result);
                           });
  }

  void OnHosts(const HttpResult& result) {
    reading_hosts = false;
    if (result.failure != HttpFailure::kNone || result.response.status != 200) {
      ++stats.failures;
      return;
    }
    hooks.on_hosts(ParseHosts(result.response.body));
  }

  boost::asio::io_context& io;
  Init init;
  Hooks hooks;
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::size_t current = 0;
  bool reading = false;
  bool reading_hosts = false;
  PlatformClientStats stats;
};

PlatformClient::PlatformClient(boost::asio::io_context& io, const Init& init,
                               Hooks hooks)
    : impl_(std::make_shared<Impl>(io, init, std::move(hooks))) {}

PlatformClient::~PlatformClient() = default;

void PlatformClient::Read(Version after, Duration wait) {
  impl_->Read(after, wait);
}

bool PlatformClient::reading() const { return impl_->reading; }

void PlatformClient::ReadHosts() { impl_->ReadHosts(); }

const PlatformClientStats& PlatformClient::stats() const {
  return impl_->stats;
}

}  // namespace lentilcross
