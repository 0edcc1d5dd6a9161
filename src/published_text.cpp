#include "published_text.h"

#include <string>

#include "gzip.h"
#include "json_reader.h"
#include "lentilcross/config.h"

namespace lentilcross {
namespace {

void ReportSize(const char* what, std::size_t limit, Findings& findings) {
  findings.Add("", std::string("out of range: ") + what + " larger than " +
                       std::to_string(limit) + " bytes");
}

}  // namespace

std::optional<nlohmann::json> ParsePublishedText(std::string_view value,
                                                 Findings& findings) {
  if (value.size() > LENTILCROSS_CONFIG_MAX_PUBLISHED_VALUE) {
    ReportSize("published value", LENTILCROSS_CONFIG_MAX_PUBLISHED_VALUE,
               findings);
    return std::nullopt;
  }
  if (!IsGzip(value)) return ParseJsonDocument(value, findings);
  std::string text;
  switch (Decompress(value, LENTILCROSS_CONFIG_MAX_CONFIGURATION, text)) {
    case GzipStatus::kOk:
      return ParseJsonDocument(text, findings);
    case GzipStatus::kTooLarge:
      ReportSize("document", LENTILCROSS_CONFIG_MAX_CONFIGURATION, findings);
      return std::nullopt;
    case GzipStatus::kMalformed:
      break;
  }
  findings.Add("", "malformed gzip");
  return std::nullopt;
}

}  // namespace lentilcross
