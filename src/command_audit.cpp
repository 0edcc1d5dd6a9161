#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "command.h"
#include "http_client.h"
#include "tcp_endpoint.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kTimeout(5'000);
constexpr std::chrono::milliseconds kFollowInterval(500);

void PrintText(const Json& record) {
  std::cout << record.value("number", 0) << " " << record.value("time", "")
            << " version " << record.value("version", 0) << " preset "
            << record.value("preset", "") << " from "
            << record.value("source", "") << ", "
            << record.value("key_count", 0) << " keys, "
            << record.value("withdrawn_count", 0) << " withdrawn\n";
}

// Prints the records after `since` and moves it forward. False if the daemon
// cannot be reached.
bool PrintRecords(const std::string& address, bool json, std::uint64_t* since) {
  web::HttpRequest request;
  request.target = "/audit?since=" + std::to_string(*since);
  const auto result = web::HttpCall(address, request, kTimeout);
  if (result.failure != web::HttpFailure::kNone ||
      result.response.status != 200) {
    std::cerr << address << ": " << web::ToString(result.failure) << "\n";
    return false;
  }
  std::istringstream lines(result.response.body);
  for (std::string line; std::getline(lines, line);) {
    const Json record = Json::parse(line, nullptr, false);
    if (!record.is_object()) continue;
    *since = record.value("number", *since);
    if (json) {
      std::cout << line << "\n";
    } else {
      PrintText(record);
    }
  }
  std::cout.flush();
  return true;
}

}  // namespace

int CommandAudit(int argc, char** argv) {
  cxxopts::Options options(
      "lentilcross audit",
      "Shows the configuration versions that a daemon has taken over.");
  options.add_options()("address", "operator listener of the daemon, ip:port",
                        cxxopts::value<std::string>())(
      "since", "only records with a number above this",
      cxxopts::value<std::uint64_t>()->default_value("0"))(
      "follow", "wait for further records until the daemon is gone")(
      "json", "print JSON lines");
  int status = kExitSuccess;
  const auto arguments = ParseArguments(
      options, "lentilcross audit --address 127.0.0.1:7103 --since 3 --follow",
      argc, argv, &status);
  if (!arguments) return status;
  if (arguments->count("address") == 0)
    return Unusable("audit needs --address");
  const auto address = (*arguments)["address"].as<std::string>();
  if (!web::ParseTcpEndpoint(address)) {
    return Unusable("--address: not an ip:port: " + address);
  }
  const bool json = arguments->count("json") > 0;
  auto since = (*arguments)["since"].as<std::uint64_t>();
  if (!PrintRecords(address, json, &since)) return kExitFindings;
  while (arguments->count("follow") > 0) {
    std::this_thread::sleep_for(kFollowInterval);
    if (!PrintRecords(address, json, &since)) break;
  }
  return kExitSuccess;
}

}  // namespace lentilcross
