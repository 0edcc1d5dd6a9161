#include <iostream>
#include <nlohmann/json.hpp>

#include "command.h"
#include "http_client.h"
#include "tcp_endpoint.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kTimeout(5'000);

std::string YesNo(const Json& value) {
  return value.is_boolean() && value.get<bool>() ? "yes" : "no";
}

void PrintText(const Json& status) {
  std::cout << "host            " << status.value("host", "") << "\n"
            << "failure domain  " << status.value("failure_domain", "") << "\n"
            << "ready           " << YesNo(status["ready"]) << "\n"
            << "draining        " << YesNo(status["draining"]) << "\n"
            << "stale           " << YesNo(status["stale"]) << "\n"
            << "version         " << status.value("version", 0) << "\n"
            << "preset          " << status.value("preset", "") << "\n"
            << "requests        " << status.value("running_requests", 0)
            << "\n";
  if (const auto refused = status.find("refused_version");
      refused != status.end() && refused->is_number_unsigned()) {
    const auto version = refused->get<std::uint64_t>();
    std::cout << "refused version "
              << (version == 0 ? "unknown" : std::to_string(version)) << "\n";
  }
  for (const Json& target : status["targets"]) {
    std::cout << "target          " << target.value("name", "") << " limit "
              << target.value("limit", 0) << " in-flight "
              << target.value("in_flight", 0) << " queued "
              << target.value("queued", 0) << " level "
              << target.value("level", 0) << "\n";
  }
  for (const Json& member : status["members"]) {
    std::cout << "member          " << member.value("host", "") << " "
              << member.value("state", "")
              << (member.value("linked", false) ? " linked" : "") << "\n";
  }
  for (const Json& finding : status["findings"]) {
    std::cout << "finding         " << finding.value("place", "") << ": "
              << finding.value("text", "") << "\n";
  }
}

}  // namespace

int CommandStatus(int argc, char** argv) {
  cxxopts::Options options("lentilcross status",
                           "Shows the state of a daemon. Exit status 1 if the "
                           "daemon cannot be reached or is not ready.");
  options.add_options()("address", "operator listener of the daemon, ip:port",
                        cxxopts::value<std::string>())(
      "json", "print the JSON document");
  int exit_status = kExitSuccess;
  const auto arguments = ParseArguments(
      options, "lentilcross status --address 127.0.0.1:7103 --json", argc, argv,
      &exit_status);
  if (!arguments) return exit_status;
  if (arguments->count("address") == 0) {
    return Unusable("status needs --address");
  }
  const auto address = (*arguments)["address"].as<std::string>();
  if (!web::ParseTcpEndpoint(address)) {
    return Unusable("--address: not an ip:port: " + address);
  }
  web::HttpRequest request;
  request.target = "/status";
  const auto result = web::HttpCall(address, request, kTimeout);
  const Json status = Json::parse(result.response.body, nullptr, false);
  if (result.failure != web::HttpFailure::kNone || !status.is_object()) {
    std::cerr << address << ": " << web::ToString(result.failure) << "\n";
    return kExitFindings;
  }
  if (arguments->count("json") > 0) {
    std::cout << status.dump(2) << "\n";
  } else {
    PrintText(status);
  }
  return status.value("ready", false) ? kExitSuccess : kExitFindings;
}

}  // namespace lentilcross
