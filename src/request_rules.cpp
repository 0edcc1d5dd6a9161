#include "request_rules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "call_replies.h"
#include "lentilcross/config.h"

namespace lentilcross {
namespace {

constexpr Duration kMinJitter = std::chrono::seconds(2);

constexpr std::array<std::string_view, 5> kOwnHeaders = {
    header::kApiKey, header::kContext, header::kTimeout, header::kOrganisation,
    header::kImportance};

std::optional<int> ParsePositive(std::string_view text) {
  int value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || value <= 0) return std::nullopt;
  return value;
}

}  // namespace

std::optional<Duration> TimeoutOf(const HttpRequest& request,
                                  const RouteEntry& route) {
  const std::string_view text = request.header(header::kTimeout);
  if (text.empty()) return route.timeout;
  const auto value = ParsePositive(text);
  if (!value) return std::nullopt;
  return std::min<Duration>(std::chrono::milliseconds(*value), route.timeout);
}

std::optional<int> TicketCountOf(const HttpRequest& request) {
  const std::string_view text = request.query("count");
  if (text.empty()) return 1;
  const auto value = ParsePositive(text);
  if (!value || *value > LENTILCROSS_CONFIG_MAX_TICKETS_PER_REQUEST) {
    return std::nullopt;
  }
  return value;
}

HttpResponse MakeTicketResponse(const std::vector<std::string>& tickets,
                                Duration lifetime) {
  const auto lifetime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count();
  const nlohmann::json body = {{"tickets", tickets},
                               {"lifetime_ms", lifetime_ms}};
  return MakeResponse(200, "application/json", body.dump());
}

void RemoveOwnHeaders(Headers& headers) {
  for (const std::string_view name : kOwnHeaders) RemoveHeader(headers, name);
}

HttpResponse ToHttpResponse(Reply&& reply) {
  if (!IsAnswer(reply)) return MakeProblem(reply.refusal);
  HttpResponse response;
  response.status = reply.status;
  response.headers = std::move(reply.headers);
  response.body = std::move(reply.body);
  RemoveHeader(response.headers, header::kContext);
  return response;
}

Duration AddJitter(Duration retry_after, Random& random) {
  const Duration range = std::max(retry_after, kMinJitter);
  std::uniform_int_distribution<Duration::rep> jitter(0, range.count());
  return retry_after + Duration(jitter(random));
}

}  // namespace lentilcross
