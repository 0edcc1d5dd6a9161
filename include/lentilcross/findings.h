#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lentilcross {

/// One fault in an input, with its place: a JSON pointer, or "line:column".
struct Finding {
  std::string place;
  std::string text;
};

/// All faults of one input, reported together.
class Findings {
 public:
  void Add(std::string place, std::string text) {
    list_.push_back({std::move(place), std::move(text)});
  }
  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }

  /// One line per finding, each `source:place: text`.
  std::string Format(const std::string& source) const;

 private:
  std::vector<Finding> list_;
};

}  // namespace lentilcross
