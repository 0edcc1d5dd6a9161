#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "lentilcross/config.h"

namespace lentilcross {

/// One fault in an input, with its place: a JSON pointer, or "line:column".
struct Finding {
  std::string location;
  std::string text;
};

/// All faults of one input, reported together. Keeps the first
/// `LENTILCROSS_CONFIG_MAX_FINDINGS` and counts the others.
class Findings {
 public:
  void Add(std::string location, std::string text) {
    if (list_.size() >= LENTILCROSS_CONFIG_MAX_FINDINGS) {
      ++omitted_;
      return;
    }
    list_.push_back({std::move(location), std::move(text)});
  }
  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }
  std::size_t omitted() const { return omitted_; }

  /// One line per finding, each `source:place: text`.
  std::string Format(const std::string& source) const;

 private:
  std::vector<Finding> list_;
  std::size_t omitted_ = 0;
};

}  // namespace lentilcross
