#include "lentilcross/findings.h"

namespace lentilcross {

std::string Findings::Format(const std::string& source) const {
  std::string lines;
  for (const auto& [location, text] : list_) {
    lines += source + ":" + location + ": " + text + "\n";
  }
  if (omitted_ > 0) {
    lines += source + ":: " + std::to_string(omitted_) + " more findings\n";
  }
  return lines;
}

}  // namespace lentilcross
