// Embeds three parts of the core in a program of its own: it reads a published
// configuration, finds the organisation of a key and the targets of a path, and
// leaves out hosts that leave. The core does no input or output and reads no
// clock: the program passes text and time in.
//
//   example-01-embed-configuration-and-keys CONFIGURATION

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "lentilcross/configuration.h"
#include "lentilcross/keys.h"
#include "lentilcross/membership.h"

namespace {

using lentilcross::Configuration;
using lentilcross::HostId;
using lentilcross::Incarnation;

std::string ReadFile(const char* path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Prints what would happen to a request. True if it may run.
bool Judge(const Configuration& configuration, const lentilcross::KeyRing& keys,
           const std::string& path, const std::string& key) {
  std::cout << path << ": ";
  const auto* route = configuration.FindRoute(path);
  if (route == nullptr) {
    std::cout << ToString(lentilcross::Reason::kUnknownRoute) << "\n";
    return false;
  }
  const auto found = keys.Find(key);
  if (!route->open && found.reason != lentilcross::Reason::kNone) {
    std::cout << ToString(found.reason) << "\n";
    return false;
  }
  const auto& service = configuration.services.at(route->service);
  std::cout << ToString(route->importance) << " request to " << service.name
            << " of ";
  if (route->open) {
    std::cout << lentilcross::kPublicOrganisation << "\n";
  } else {
    std::cout << configuration.organisations.at(found.organisation).name
              << "\n";
  }
  return true;
}

/// Number of targets of a service on hosts that can take work.
int CountUsable(const Configuration& configuration,
                const lentilcross::Membership& membership,
                const std::string& service) {
  int usable = 0;
  const auto id = lentilcross::ServiceId::FromName(service);
  for (const auto& target : configuration.services.at(id).targets) {
    if (membership.IsUsable(target.host)) ++usable;
  }
  return usable;
}

int Run(const Configuration& configuration) {
  lentilcross::KeyRing keys;
  keys.Apply(configuration);
  bool good = Judge(configuration, keys, "/stock/4711", "sample-coopers-2026a");
  good = good && !Judge(configuration, keys, "/stock/4711", "a wrong key");
  good =
      good && !Judge(configuration, keys, "/deposits", "sample-coopers-2025b");
  good = good && Judge(configuration, keys, "/catalogue/seeds", "");

  lentilcross::Membership::Init init;
  init.self = HostId::FromName("stock-mb-1");
  init.incarnation = Incarnation(1);
  lentilcross::Membership membership(init);
  const auto now = std::chrono::steady_clock::now();
  const HostId leaving = HostId::FromName("stock-sk-1");
  membership.OnHello(leaving, Incarnation(2), now);
  const int before = CountUsable(configuration, membership, "stock");
  membership.OnLeave(leaving, Incarnation(2), now);
  const int after = CountUsable(configuration, membership, "stock");
  std::cout << "targets of stock: " << before
            << ", after one host leaves: " << after << "\n";
  return good && after == before - 1 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " CONFIGURATION\n";
    return 2;
  }
  const std::string text = ReadFile(argv[1]);
  return boost::leaf::try_handle_all(
      [&]() -> lentilcross::Result<int> {
        BOOST_LEAF_AUTO(configuration, Configuration::Parse(text));
        return Run(*configuration);
      },
      [&](const lentilcross::Findings& findings) {
        std::cerr << findings.Format(argv[1]);
        return 1;
      },
      [] { return 1; });
}
