#include "command.h"

#include <iostream>

namespace lentilcross {

std::optional<cxxopts::ParseResult> ParseArguments(cxxopts::Options& options,
                                                   const std::string& example,
                                                   int argc, char** argv,
                                                   int* status) {
  options.add_options()("h,help", "show this help");
  try {
    auto result = options.parse(argc, argv);
    if (result.count("help") > 0) {
      std::cout << options.help() << "\nExample:\n  " << example << "\n";
      *status = kExitSuccess;
      return std::nullopt;
    }
    if (!result.unmatched().empty()) {
      *status = Unusable("unexpected argument: " + result.unmatched().front());
      return std::nullopt;
    }
    return result;
  } catch (const cxxopts::exceptions::exception& error) {
    *status = Unusable(error.what());
    return std::nullopt;
  }
}

int Unusable(const std::string& text) {
  std::cerr << "lentilcross: " << text << "\n";
  return kExitUnusable;
}

}  // namespace lentilcross
