#include "script.h"

#include <cstdlib>
#include <sstream>

namespace lentilcross::scenario {
namespace {

using Words = std::vector<std::string>;
using Names = std::map<std::string, std::set<std::string>>;

constexpr std::string_view kNew = "new-";
constexpr std::string_view kRepeat = "...";

Words Split(const std::string& text) {
  std::istringstream stream(text);
  Words words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

bool EndsWith(const std::string& text, std::string_view end) {
  return text.size() >= end.size() &&
         text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// Kind of a placeholder; empty for a literal.
std::string KindOf(std::string word) {
  if (EndsWith(word, kRepeat)) word.resize(word.size() - kRepeat.size());
  if (word.front() != '<') return "";
  return word.substr(1, word.size() - 2);
}

bool IsNumber(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0' && value >= 0;
}

bool IsDuration(const std::string& text) {
  if (EndsWith(text, "ms")) return IsNumber(text.substr(0, text.size() - 2));
  return EndsWith(text, "s") && IsNumber(text.substr(0, text.size() - 1));
}

// Words that agree with the literals of a pattern; -1 if its length differs.
// Selects the pattern whose errors are reported.
int MatchLiterals(const Words& pattern, const Words& words) {
  const bool repeats = EndsWith(pattern.back(), kRepeat);
  const bool length =
      repeats ? words.size() >= pattern.size() : words.size() == pattern.size();
  if (!length) return -1;
  int literals = 0;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (!KindOf(pattern[i]).empty()) continue;
    if (pattern[i] != words[i]) return -1;
    ++literals;
  }
  return literals;
}

// Error in one argument; empty if it is usable. Declares new names.
std::string CheckArgument(const std::string& kind, const std::string& value,
                          Names& names) {
  if (kind == "word") return "";
  if (kind == "number") return IsNumber(value) ? "" : "not a number: " + value;
  if (kind == "duration") {
    return IsDuration(value) ? "" : "not a duration: " + value;
  }
  if (kind == "path") {
    return value.front() == '/' ? "" : "not a path: " + value;
  }
  if (kind.compare(0, kNew.size(), kNew) == 0) {
    const std::string plain = kind.substr(kNew.size());
    return names[plain].insert(value).second
               ? ""
               : plain + " declared twice: " + value;
  }
  return names[kind].count(value) > 0 ? "" : "unknown " + kind + ": " + value;
}

class Parser {
 public:
  explicit Parser(const std::vector<std::string>& patterns) {
    for (const std::string& pattern : patterns) {
      patterns_.push_back(Split(pattern));
    }
  }

  Script Parse(const std::string& text) {
    std::istringstream stream(text);
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
      const Words words = Split(line.substr(0, line.find('#')));
      if (!words.empty()) ParseLine(number, line, words);
    }
    return std::move(script_);
  }

 private:
  void ParseLine(int number, const std::string& line, const Words& words) {
    int best = -1;
    std::size_t statement = 0;
    for (std::size_t i = 0; i < patterns_.size(); ++i) {
      const int literals = MatchLiterals(patterns_[i], words);
      if (literals <= best) continue;
      best = literals;
      statement = i;
    }
    if (best < 0) return Fail(number, "not a statement: " + line);
    Step step{number, line, statement, {}};
    const Words& pattern = patterns_[statement];
    for (std::size_t i = 0; i < words.size(); ++i) {
      const auto kind = KindOf(pattern[std::min(i, pattern.size() - 1)]);
      if (kind.empty()) continue;
      const std::string error = CheckArgument(kind, words[i], names_);
      if (!error.empty()) Fail(number, error);
      step.arguments.push_back(words[i]);
    }
    script_.steps.push_back(std::move(step));
  }

  void Fail(int number, const std::string& text) {
    script_.errors.push_back(std::to_string(number) + ": " + text);
  }

  std::vector<Words> patterns_;
  Names names_;
  Script script_;
};

}  // namespace

std::vector<std::string> Step::from(std::size_t first) const {
  std::vector<std::string> rest;
  for (std::size_t i = first; i < arguments.size(); ++i) {
    rest.push_back(arguments[i]);
  }
  return rest;
}

Script ParseScript(const std::string& text,
                   const std::vector<std::string>& patterns) {
  return Parser(patterns).Parse(text);
}

int Milliseconds(const std::string& duration) {
  const double value = std::strtod(duration.c_str(), nullptr);
  return static_cast<int>(EndsWith(duration, "ms") ? value : value * 1000);
}

}  // namespace lentilcross::scenario
