#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilcross::scenario {

/// One line of a script, matched to a statement.
struct Step {
  int line = 0;
  std::string text;
  std::size_t statement = 0;  ///< Index into the patterns.
  std::vector<std::string>
      arguments;  ///< Values of the placeholders, in order.

  const std::string& at(std::size_t index) const { return arguments[index]; }
  /// Arguments from `first` on, for a repeated last placeholder.
  std::vector<std::string> from(std::size_t first) const;
};

struct Script {
  std::vector<Step> steps;
  std::vector<std::string> errors;  ///< "LINE: text", for all lines.
};

/// Reads a script. A pattern is a list of words: a literal, or a placeholder.
/// `<new-KIND>` declares a name, `<KIND>` refers to a declared one. The kinds
/// `number`, `duration` (seconds or milliseconds, "4s", "300ms"), `word` and
/// `path` need no declaration. "..." after the last placeholder allows
/// repetition.
Script ParseScript(const std::string& text,
                   const std::vector<std::string>& patterns);

/// Milliseconds of a duration that the parser accepted.
int Milliseconds(const std::string& duration);

}  // namespace lentilcross::scenario
