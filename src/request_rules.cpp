#include "request_rules.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "call_replies.h"
#include "lentilcross/config.h"

namespace lentilcross {
namespace {

std::optional<int> ParsePositive(std::string_view text) {
  int value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || value <= 0) return std::nullopt;
  return value;
}

}  // namespace

std::optional<Duration> ParseTimeout(const HttpRequest& request,
                                     const RouteEntry& route,
                                     const HttpDialect& dialect) {
  const std::string_view text = request.header(dialect.timeout);
  if (text.empty()) return route.timeout;
  const auto value = ParsePositive(text);
  if (!value) return std::nullopt;
  return std::min<Duration>(std::chrono::milliseconds(*value), route.timeout);
}

std::optional<int> ParseTicketCount(const HttpRequest& request) {
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

void RemoveInternalHeaders(Headers& headers, const HttpDialect& dialect) {
  for (const std::string* name :
       {&dialect.api_key, &dialect.context, &dialect.timeout,
        &dialect.organisation, &dialect.importance, &dialect.caller_service,
        &dialect.expected_target}) {
    if (!name->empty()) RemoveHeader(headers, *name);
  }
}

HttpResponse ToHttpResponse(Reply&& reply, const HttpDialect& dialect) {
  if (!HasTargetResponse(reply)) return MakeProblem(reply.refusal, dialect);
  HttpResponse response;
  response.status = reply.status;
  response.headers = std::move(reply.headers);
  response.body = std::move(reply.body);
  if (!dialect.context.empty()) {
    RemoveHeader(response.headers, dialect.context);
  }
  return response;
}

Duration AddJitter(Duration retry_after, Duration min_range, Random& random) {
  const Duration range = std::max(retry_after, min_range);
  std::uniform_int_distribution<Duration::rep> jitter(0, range.count());
  return retry_after + Duration(jitter(random));
}

ServiceId PickService(const RouteEntry& route, Random& random) {
  double sum = 0;
  for (const WeightedService& part : route.split) sum += part.weight;
  if (sum <= 0) return route.service;
  double remaining = std::uniform_real_distribution<double>(0, sum)(random);
  for (const WeightedService& part : route.split) {
    if (remaining < part.weight) return part.service;
    remaining -= part.weight;
  }
  return route.split.back().service;
}

}  // namespace lentilcross
