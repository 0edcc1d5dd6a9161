#pragma once

#include <functional>
#include <string>
#include <vector>

#include "settings.h"

namespace lentilcross {

/// Follows the settings file of a running daemon. The log levels take effect at
/// once; other members are named, because they need a new process.
class SettingsReload {
 public:
  struct Outcome {
    bool changed = false;
    Findings findings;  ///< Of a file that is not valid; nothing changed then.
    std::vector<std::string> applied;  ///< Places of members.
    std::vector<std::string> need_restart;
    LogSettings log;
  };

  /// `text` is what the daemon was started with.
  SettingsReload(std::string text, Settings::AdapterReader read_adapter);

  /// Compares the new content of the file with the last valid one.
  Outcome Apply(const std::string& text);

 private:
  std::string text_;
  Settings::AdapterReader read_adapter_;
};

}  // namespace lentilcross
