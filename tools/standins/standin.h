#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "http_server.h"

namespace lentilcross::standin {

using web::HttpExchange;
using web::HttpRequest;
using web::HttpResponse;
using web::HttpServer;

/// Values of `--name value` options; exits with status 2 on any other argument
/// or when a required option is missing.
class Options {
 public:
  Options(int argc, char** argv, const char* usage);
  std::string required(const std::string& name) const;
  std::string value(const std::string& name, const std::string& fallback) const;

 private:
  [[noreturn]] void Fail(const std::string& text) const;

  const char* usage_;
  nlohmann::json values_;
};

/// Listens or exits with status 2.
std::unique_ptr<HttpServer> Listen(
    boost::asio::io_context& context, const std::string& address,
    std::function<void(std::shared_ptr<HttpExchange>)> handler);

/// Answers `GET /counters` with `counters()` and `POST /behaviour` by passing
/// the JSON body to `change`. An unusable body is answered with 400.
struct Control {
  std::function<nlohmann::json()> counters;
  std::function<void(const nlohmann::json&)> change;
  /// Further requests; returns false if it does not know the path.
  std::function<bool(HttpExchange&)> other;
};
std::unique_ptr<HttpServer> ListenControl(boost::asio::io_context& context,
                                          const std::string& address,
                                          Control control);

HttpResponse JsonResponse(int status, const nlohmann::json& body);

/// Runs until SIGTERM or SIGINT.
void RunUntilSignal(boost::asio::io_context& context);

/// Serves `system` on the addresses `listen` and `control` of the options until
/// SIGTERM or SIGINT.
template <typename System>
void Serve(boost::asio::io_context& context, const Options& options,
           System& system) {
  const auto server =
      Listen(context, options.required("listen"),
             [&system](const auto& exchange) { system.Handle(exchange); });
  const auto control = ListenControl(
      context, options.required("control"),
      {[&system] { return system.ReadCounters(); },
       [&system](const auto& change) { system.Change(change); },
       [&system](auto& exchange) { return system.Control(exchange); }});
  RunUntilSignal(context);
}

}  // namespace lentilcross::standin
