#include "settings_reload.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace lentilcross {
namespace {

using Json = nlohmann::json;

Json ParseLenient(const std::string& text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false,
                     /*ignore_comments=*/true);
}

/// Names of the members that differ between two objects.
std::set<std::string> ChangedMembers(const Json& before, const Json& after) {
  std::set<std::string> changed;
  for (const auto& [name, value] : before.items()) {
    if (!after.contains(name) || after.at(name) != value) changed.insert(name);
  }
  for (const auto& [name, value] : after.items()) {
    if (!before.contains(name)) changed.insert(name);
  }
  return changed;
}

}  // namespace

SettingsReload::SettingsReload(std::string text,
                               Settings::AdapterReader read_adapter)
    : text_(std::move(text)), read_adapter_(std::move(read_adapter)) {}

SettingsReload::Outcome SettingsReload::Apply(const std::string& text) {
  Outcome outcome;
  if (text == text_) return outcome;
  const bool valid = boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(settings, Settings::Parse(text, read_adapter_));
        outcome.log = settings.log;
        return true;
      },
      [&](const Findings& findings) {
        outcome.findings = findings;
        return false;
      },
      [&] {
        outcome.findings.Add("0:0", "the file cannot be parsed");
        return false;
      });
  if (!valid) return outcome;
  outcome.changed = true;
  for (const std::string& name :
       ChangedMembers(ParseLenient(text_), ParseLenient(text))) {
    (name == "log" ? outcome.applied : outcome.need_restart)
        .push_back("/" + name);
  }
  text_ = text;
  return outcome;
}

}  // namespace lentilcross
