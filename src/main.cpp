#include <array>
#include <iostream>
#include <string_view>

#include "command.h"

namespace lentilcross {
namespace {

struct Subcommand {
  std::string_view name;
  int (*run)(int argc, char** argv);
  std::string_view summary;
};

constexpr std::array<Subcommand, 5> kSubcommands = {{
    {"daemon", CommandDaemon, "run a daemon with a settings file"},
    {"check", CommandCheck, "check settings and configuration documents"},
    {"status", CommandStatus, "show the state of a daemon"},
    {"audit", CommandAudit, "show the configuration changes of a daemon"},
    {"load", CommandLoad, "send a load to daemons and check the result"},
}};

void PrintHelp(std::ostream& out) {
  out << "Overload control layer for service call graphs.\n\n"
         "Usage:\n  lentilcross SUBCOMMAND [OPTION...]\n\nSubcommands:\n";
  for (const auto& [name, run, summary] : kSubcommands) {
    out << "  " << name << std::string(10 - name.size(), ' ') << summary
        << "\n";
  }
  out << "\nOptions:\n  --help     show this help; with a subcommand, its "
         "help\n"
         "  --version  show the version\n\n"
         "Exit status: 0 success, 1 findings or failed expectations, 2 "
         "unusable arguments.\n\n"
         "Example:\n  lentilcross check settings.json configuration.json\n";
}

int Run(int argc, char** argv) {
  const std::string_view word = argc > 1 ? argv[1] : "";
  if (word == "--help" || word == "-h") {
    PrintHelp(std::cout);
    return kExitSuccess;
  }
  if (word == "--version") {
    std::cout << "lentilcross " << LENTILCROSS_VERSION << "\n";
    return kExitSuccess;
  }
  for (const auto& [name, run, summary] : kSubcommands) {
    if (word == name) return run(argc - 1, argv + 1);
  }
  PrintHelp(std::cerr);
  return kExitUnusable;
}

}  // namespace
}  // namespace lentilcross

int main(int argc, char** argv) { return lentilcross::Run(argc, argv); }
