#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "lentilcross/config.h"

namespace lentilcross {

/// One error in an input document.
struct Finding {
  std::string location;  ///< A JSON pointer, or "line:column".
  std::string text;
};

/// All errors of one input document, so that they are reported together. Keeps
/// the first `LENTILCROSS_CONFIG_MAX_FINDINGS` and counts the rest.
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

  /// One line per finding: `source:location: text`.
  std::string Format(const std::string& source) const;

 private:
  std::vector<Finding> list_;
  std::size_t omitted_ = 0;
};

}  // namespace lentilcross
