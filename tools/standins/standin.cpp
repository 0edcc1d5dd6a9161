#include "standin.h"

#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <iostream>

namespace lentilcross::standin {
namespace {

void HandleControl(const Control& control, HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  try {
    if (request.path() == "/counters") {
      exchange.Reply(JsonResponse(200, control.counters()));
    } else if (request.path() == "/behaviour" && request.method == "POST") {
      control.change(nlohmann::json::parse(request.body));
      exchange.Reply(JsonResponse(200, {{"changed", true}}));
    } else if (!control.other || !control.other(exchange)) {
      exchange.Reply(JsonResponse(404, {{"error", "unknown path"}}));
    }
  } catch (const nlohmann::json::exception& error) {
    exchange.Reply(JsonResponse(400, {{"error", error.what()}}));
  }
}

}  // namespace

Options::Options(int argc, char** argv, const char* usage)
    : usage_(usage), values_(nlohmann::json::object()) {
  for (int i = 1; i < argc; i += 2) {
    const std::string name = argv[i];
    if (name.rfind("--", 0) != 0 || i + 1 >= argc) Fail("argument " + name);
    values_[name.substr(2)] = argv[i + 1];
  }
}

std::string Options::required(const std::string& name) const {
  if (!values_.contains(name)) Fail("--" + name + " is missing");
  return values_[name];
}

std::string Options::value(const std::string& name,
                           const std::string& fallback) const {
  return values_.value(name, fallback);
}

void Options::Fail(const std::string& text) const {
  std::cerr << text << "\nusage: " << usage_ << "\n";
  std::exit(2);
}

std::unique_ptr<HttpServer> Listen(
    boost::asio::io_context& context, const std::string& address,
    std::function<void(std::shared_ptr<HttpExchange>)> handler) {
  HttpServer::Init init;
  init.address = address;
  init.handler = std::move(handler);
  std::string error;
  auto server = HttpServer::Create(context, std::move(init), &error);
  if (server == nullptr) {
    std::cerr << error << "\n";
    std::exit(2);
  }
  return server;
}

std::unique_ptr<HttpServer> ListenControl(boost::asio::io_context& context,
                                          const std::string& address,
                                          Control control) {
  return Listen(context, address,
                [control = std::move(control)](
                    const std::shared_ptr<HttpExchange>& exchange) {
                  HandleControl(control, *exchange);
                });
}

HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  return web::MakeResponse(status, "application/json", body.dump());
}

void RunUntilSignal(boost::asio::io_context& context) {
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
}

}  // namespace lentilcross::standin
