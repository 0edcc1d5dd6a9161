#include "lentilcross/findings.h"

namespace lentilcross {

std::string Findings::Format(const std::string& source) const {
  std::string lines;
  for (const auto& [place, text] : list_) {
    lines += source + ":" + place + ": " + text + "\n";
  }
  return lines;
}

}  // namespace lentilcross
