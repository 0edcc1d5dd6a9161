#include "documents.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>
#include <stdexcept>

#include "lentilcross/keys.h"

namespace lentilcross::matrix {
namespace {

using std::chrono::milliseconds;

std::string Hex(const Sha256Digest& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

void AddService(Json& document, const std::string& name,
                const std::string& importance, bool idempotent) {
  for (const std::string host : {"one", "two"}) {
    document["services"][name]["targets"].push_back(
        {{"name", name + "-" + host}, {"host", host}});
  }
  document["routes"]["/" + name] = {
      {"service", name},
      {"importance", importance},
      {"idempotent", idempotent},
      {"open", false},
      {"timeout_ms", kRouteTimeout / milliseconds(1)}};
}

void AddOrganisation(Json& document, const std::string& name, double rate,
                     double burst, std::string_view key) {
  document["organisations"][name] = {
      {"rate", rate}, {"burst", burst}, {"weight", 1}};
  document["keys"][name] = {{"organisation", name},
                            {"sha256", Hex(Sha256(key))},
                            {"withdrawn", false}};
}

Json Preset(int extra_attempts, int queue_ms, const std::string& refuse_below) {
  return {{"rate_factor", 1.0},
          {"extra_attempts", extra_attempts},
          {"queue_ms", queue_ms},
          {"refuse_importance_below", refuse_below}};
}

}  // namespace

Json RequestDocument() {
  Json document = {{"version", 1}, {"preset", "ordinary"}};
  int port = 7101;
  for (const std::string host : {"entry", "one", "two"}) {
    const std::string domain = host == "two" ? "domain-2" : "domain-1";
    document["failure_domains"][domain] = {{"region", "region"}};
    document["hosts"][host] = {{"failure_domain", domain},
                               {"peer", "127.0.0.1:" + std::to_string(port++)}};
  }
  AddService(document, "stock", "lookup", true);
  AddService(document, "prices", "lookup", true);
  AddService(document, "deposits", "critical", false);
  AddService(document, "ledger", "critical", false);
  AddOrganisation(document, "coopers", 100, 50, kKey);
  AddOrganisation(document, "flood", 5, 4, kFloodKey);
  document["presets"]["ordinary"] = Preset(2, 50, "background");
  document["presets"]["peak"] = Preset(0, 5, "standard");
  return document;
}

Json ControlDocument(const std::vector<std::string>& hosts) {
  Json document = {{"version", 1}, {"preset", "ordinary"}};
  int port = 7101;
  for (const std::string& host : hosts) {
    const std::string domain = DomainOfControlHost(host);
    document["failure_domains"][domain] = {{"region", "region"}};
    document["hosts"][host] = {{"failure_domain", domain},
                               {"peer", "127.0.0.1:" + std::to_string(port++)}};
  }
  document["services"] = Json::object();
  document["routes"] = Json::object();
  AddOrganisation(document, "coopers", 100, 50, kKey);
  AddOrganisation(document, "flood", 5, 4, kFloodKey);
  document["presets"]["ordinary"] = Preset(2, 50, "background");
  document["presets"]["peak"] = Preset(0, 5, "standard");
  return document;
}

std::string DomainOfControlHost(const std::string& host) {
  return host.front() == 'a' ? "domain-1" : "domain-2";
}

std::shared_ptr<const Configuration> ParseDocument(const Json& document) {
  return boost::leaf::try_handle_all(
      [&] { return Configuration::Parse(document.dump()); },
      [](const Findings& findings) -> std::shared_ptr<const Configuration> {
        throw std::logic_error(findings.Format("configuration"));
      },
      []() -> std::shared_ptr<const Configuration> {
        throw std::logic_error("configuration");
      });
}

}  // namespace lentilcross::matrix
