#include "http_dialect.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace lentilcross {
namespace {

std::string RetryAfterText(Duration retry_after, bool precise) {
  if (!precise) {
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(retry_after).count());
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                std::chrono::duration<double>(retry_after).count());
  return text.data();
}

}  // namespace

HttpResponse MakeProblem(const Refusal& refusal, const HttpDialect& dialect) {
  const int status = dialect.status_of(refusal);
  const std::string reason(ToString(refusal.reason));
  const nlohmann::json problem = {
      {"type", "urn:lentilcross:" + reason},
      {"title", reason},
      {"status", status},
      {"reason", reason},
      {"outcome", std::string(ToString(refusal.outcome))},
      {"detail", refusal.detail}};
  HttpResponse response;
  response.status = status;
  response.headers.emplace_back(header::kContentType,
                                "application/problem+json");
  if (refusal.retry_after > Duration::zero()) {
    response.headers.emplace_back(
        header::kRetryAfter,
        RetryAfterText(refusal.retry_after, dialect.precise_retry_after));
  }
  response.body =
      problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace lentilcross
