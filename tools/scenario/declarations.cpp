#include "runner.h"

namespace lentilcross::scenario {
namespace {

int Integer(const std::string& text) { return std::atoi(text.c_str()); }

Failure AddHost(Runner& runner, const Step& step, bool late, bool outsider) {
  Host host;
  host.name = step.at(0);
  host.domain = step.at(1);
  host.service = step.at(2);
  host.index = static_cast<int>(runner.fleet.hosts.size());
  host.late = late;
  host.outsider = outsider;
  runner.fleet.hosts.push_back(host);
  return "";
}

// A service of the deployment that is measured.
Failure AddDeployedService(Runner& runner, const Step& step, int slots) {
  Service& service = runner.fleet.services[step.at(0)];
  service.slots = slots;
  service.service_ms = Milliseconds(step.at(1));
  service.phases = runner.fleet.deployment.phases;
  return "";
}

Failure AddOrganisation(Runner& runner, const Step& step) {
  Organisation organisation;
  organisation.rate = std::strtod(step.at(1).c_str(), nullptr);
  organisation.burst = std::strtod(step.at(2).c_str(), nullptr);
  organisation.key = "secret-of-" + step.at(0);
  runner.fleet.organisations[step.at(0)] = organisation;
  return "";
}

}  // namespace

std::vector<Statement> Declarations() {
  return {
      {"domain <new-domain>...",
       [](Runner& r, const Step& s) {
         r.fleet.domains = s.arguments;
         return Failure();
       }},
      {"organisation <new-organisation> rate <number> burst <number>",
       AddOrganisation},
      {"service <new-service> slots <number> time <duration>",
       [](Runner& r, const Step& s) {
         Service& service = r.fleet.services[s.at(0)];
         service.slots = Integer(s.at(1));
         service.service_ms = Milliseconds(s.at(2));
         return Failure();
       }},
      {"service <new-service> slots <number> queue <number> time <duration>",
       [](Runner& r, const Step& s) {
         Service& service = r.fleet.services[s.at(0)];
         service.slots = Integer(s.at(1));
         service.queue = Integer(s.at(2));
         service.service_ms = Milliseconds(s.at(3));
         return Failure();
       }},
      {"service <new-service> narrow time <duration>",
       [](Runner& r, const Step& s) {
         return AddDeployedService(r, s, r.fleet.deployment.narrow_slots);
       }},
      {"service <new-service> wide time <duration>",
       [](Runner& r, const Step& s) {
         return AddDeployedService(r, s, r.fleet.deployment.wide_slots);
       }},
      {"bottleneck <service>",
       [](Runner& r, const Step& s) {
         r.fleet.bottleneck = s.at(0);
         return Failure();
       }},
      {"route <new-route> to <service>",
       [](Runner& r, const Step& s) {
         r.fleet.routes[s.at(0)] = {s.at(1), false};
         return Failure();
       }},
      {"route <new-route> to <service> once",
       [](Runner& r, const Step& s) {
         r.fleet.routes[s.at(0)] = {s.at(1), true};
         return Failure();
       }},
      {"calls <service> <route>...",
       [](Runner& r, const Step& s) {
         r.fleet.services[s.at(0)].calls = s.from(1);
         return Failure();
       }},
      {"host <new-host> in <domain> serves <service>",
       [](Runner& r, const Step& s) { return AddHost(r, s, false, false); }},
      {"late host <new-host> in <domain> serves <service>",
       [](Runner& r, const Step& s) { return AddHost(r, s, true, false); }},
      {"outsider host <new-host> in <domain> serves <service>",
       [](Runner& r, const Step& s) { return AddHost(r, s, true, true); }},
      {"preset <new-preset> extra <number>",
       [](Runner& r, const Step& s) {
         if (r.fleet.preset.empty()) r.fleet.preset = s.at(0);
         r.fleet.presets[s.at(0)] = Integer(s.at(1));
         return Failure();
       }},
      {"setting <word> <number>",
       [](Runner& r, const Step& s) {
         r.fleet.settings[s.at(0)] = Integer(s.at(1));
         return Failure();
       }},
      {"platform only for <host>...",
       [](Runner& r, const Step& s) {
         r.fleet.platform_readers = {s.arguments.begin(), s.arguments.end()};
         return Failure();
       }},
  };
}

}  // namespace lentilcross::scenario
