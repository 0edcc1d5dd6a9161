#include "daemon/fleet.h"

#include <boost/leaf/handle_errors.hpp>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "lentilcross/keys.h"
#include "result.h"

namespace lentilcross::testing {
namespace {

std::string Hex(const Sha256Digest& digest) {
  std::ostringstream text;
  for (const std::uint8_t byte : digest) {
    text << std::hex << std::setw(2) << std::setfill('0') << int{byte};
  }
  return text.str();
}

std::unique_ptr<Daemon> MakeDaemon(const DaemonInit& init) {
  auto captured =
      Capture<std::unique_ptr<Daemon>>([&] { return Daemon::Create(init); });
  if (!captured.value) {
    throw std::runtime_error(captured.findings.Format("daemon") +
                             captured.decode_error);
  }
  return std::move(*captured.value);
}

}  // namespace

// ----- RunningDaemon

RunningDaemon::RunningDaemon(DaemonInit init) {
  init.on_stats = [this](const DaemonStats& stats) {
    const std::lock_guard<std::mutex> lock(mutex_);
    stats_ = stats;
    changed_.notify_all();
  };
  init.on_log = [this](LogLevel, const std::string& event, const LogFields&) {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(event);
    changed_.notify_all();
  };
  daemon_ = MakeDaemon(init);
}

RunningDaemon::~RunningDaemon() {
  if (!thread_.joinable()) return;
  daemon_->RequestShutdown();
  thread_.join();
}

void RunningDaemon::Start() {
  thread_ = std::thread([this] { status_ = daemon_->Run(); });
}

bool RunningDaemon::WaitStats(
    const std::function<bool(const DaemonStats&)>& fits) const {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, kPatience, [&] { return fits(stats_); });
}

DaemonStats RunningDaemon::stats() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stats_;
}

bool RunningDaemon::WaitLog(const std::string& event) const {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, kPatience, [&] {
    return std::find(events_.begin(), events_.end(), event) != events_.end();
  });
}

int RunningDaemon::Join() {
  thread_.join();
  return status_;
}

// ----- Fleet

void Fleet::AddHost(const std::string& host, const std::string& domain,
                    std::vector<TargetSpec> targets,
                    const std::function<void(DaemonInit&)>& change) {
  DaemonInit init;
  init.host = host;
  init.failure_domain = domain;
  init.region = "region";
  init.platform = {platform_.endpoint()};
  init.peer_keys = {kPeerKey};
  init.startup_wait = std::chrono::milliseconds(200);
  init.loan_term = std::chrono::milliseconds(500);
  init.rate_handover = std::chrono::seconds(5);
  for (TargetSpec& target : targets) {
    auto fake = std::make_unique<FakeTarget>(std::move(target.handler));
    init.targets.push_back(
        {target.name, target.service, fake->server().endpoint()});
    targets_of_[host].push_back(target.name);
    targets_[target.name] = std::move(fake);
    document_["services"][target.service]["targets"].push_back(
        {{"name", target.name}, {"host", host}});
  }
  if (change) change(init);
  daemons_[host] = std::make_unique<RunningDaemon>(std::move(init));
  document_["failure_domains"][domain] = {{"region", "region"}};
  document_["hosts"][host] = {
      {"failure_domain", domain},
      {"peer", ToText(daemons_[host]->daemon().peer())}};
}

void Fleet::SetOwnersPerDomain(int owners) {
  document_["rate_owners_per_domain"] = owners;
}

void Fleet::SetPeerAddress(const std::string& host, const Endpoint& endpoint) {
  document_["hosts"][host]["peer"] = ToText(endpoint);
}

void Fleet::AddRoute(const std::string& prefix, const std::string& service,
                     const Json& fields) {
  Json route = {{"service", service},
                {"importance", "lookup"},
                {"idempotent", true},
                {"open", true},
                {"timeout_ms", 5000}};
  route.update(fields);
  document_["routes"][prefix] = route;
}

void Fleet::AddKey(const std::string& organisation, const std::string& key) {
  document_["organisations"][organisation] = {{"rate", 1000}, {"burst", 1000}};
  document_["keys"][organisation] = {{"organisation", organisation},
                                     {"sha256", Hex(Sha256(key))}};
}

void Fleet::Start() {
  platform_.Publish(document_);
  for (auto& [host, daemon] : daemons_) {
    for (const std::string& target : targets_of_[host]) {
      targets_[target]->SetOnward(daemon->daemon().onward());
    }
    daemon->Start();
  }
  for (auto& [host, daemon] : daemons_) {
    if (!daemon->WaitStats([](const DaemonStats& s) { return s.ready; })) {
      throw std::runtime_error(host + " did not become ready");
    }
  }
}

void Fleet::Publish(const std::function<void(Json&)>& change) {
  change(document_);
  document_["version"] = version() + 1;
  platform_.Publish(document_);
}

web::HttpResult Fleet::Call(const std::string& host, const std::string& path,
                            web::HttpHeaders headers,
                            const std::string& method) {
  web::HttpRequest request;
  request.method = method;
  request.target = path;
  request.headers = std::move(headers);
  return web::HttpCall(ToText(at(host).daemon().caller()), std::move(request),
                       std::chrono::seconds(10));
}

std::string ProblemMember(const web::HttpResponse& response,
                          const std::string& name) {
  const Json problem = Json::parse(response.body, nullptr, false);
  if (!problem.is_object() || !problem.contains(name)) return "";
  return problem.at(name).is_string() ? problem.at(name).get<std::string>()
                                      : problem.at(name).dump();
}

}  // namespace lentilcross::testing
