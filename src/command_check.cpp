#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "adapter.h"
#include "command.h"
#include "lentilcross/configuration.h"
#include "settings.h"

namespace lentilcross {
namespace {

// A settings document names its host, a configuration document its version. A
// document that does not parse has the same finding either way.
bool IsSettings(const std::string& text) {
  const auto document =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false,
                            /*ignore_comments=*/true);
  return document.is_object() && !document.contains("version") &&
         (document.contains("host") || document.contains("caller") ||
          document.contains("peer_keys"));
}

template <typename Parse>
Findings FindingsOf(Parse parse) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<Findings> {
        if (auto parsed = parse(); !parsed) return parsed.error();
        return Findings();
      },
      [](const Findings& findings) { return findings; },
      [] {
        Findings findings;
        findings.Add("0:0", "the document cannot be parsed");
        return findings;
      });
}

Findings CheckFile(const std::string& path) {
  Findings findings;
  const std::string text = ReadFile(path, findings);
  if (!findings.empty()) return findings;
  if (IsSettings(text)) {
    return FindingsOf(
        [&] { return Settings::Parse(text, platform::Configure); });
  }
  return FindingsOf([&] { return Configuration::Parse(text); });
}

}  // namespace

int CommandCheck(int argc, char** argv) {
  cxxopts::Options options(
      "lentilcross check",
      "Checks settings and configuration documents and prints every finding "
      "as FILE:PLACE: text.");
  options.positional_help("FILE...");
  options.add_options()("files", "documents to check",
                        cxxopts::value<std::vector<std::string>>());
  options.parse_positional("files");
  int status = kExitSuccess;
  const auto arguments = ParseArguments(
      options, "lentilcross check settings.json configuration.json", argc, argv,
      &status);
  if (!arguments) return status;
  if (arguments->count("files") == 0) return Unusable("check needs a FILE");
  for (const auto& path :
       (*arguments)["files"].as<std::vector<std::string>>()) {
    const Findings findings = CheckFile(path);
    std::cout << findings.Format(path);
    if (!findings.empty()) status = kExitFindings;
  }
  return status;
}

}  // namespace lentilcross
