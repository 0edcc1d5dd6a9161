#include "load_report.h"

#include <algorithm>
#include <cmath>

namespace lentilcross {
namespace {

// The check is quadratic. Longer runs are checked in pieces of this size, which
// misses windows across two pieces.
constexpr std::size_t kMaxWindowSpans = 8192;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double PieceExcess(const std::vector<Span>& spans, double rate, double burst) {
  double excess = 0;
  std::vector<Instant> ends;
  // Windows start at a send. From the latest on, `ends` holds the ends of all
  // spans that start in the window.
  for (auto span = spans.rbegin(); span != spans.rend(); ++span) {
    ends.insert(std::upper_bound(ends.begin(), ends.end(), span->received),
                span->received);
    for (std::size_t i = 0; i < ends.size(); ++i) {
      const double allowed = rate * Seconds(ends[i] - span->sent) + burst;
      excess = std::max(excess, static_cast<double>(i + 1) - allowed);
    }
  }
  return excess;
}

nlohmann::json OrganisationReport(LoadCounts::Organisation& counts,
                                  double elapsed_s) {
  nlohmann::json report = {
      {"offered", counts.offered},
      {"ok", counts.ok},
      {"goodput_per_s", static_cast<double>(counts.ok) / elapsed_s},
      {"results", counts.results}};
  if (counts.limit_rate > 0) {
    report["over_limit"] = WindowExcess(std::move(counts.spans),
                                        counts.limit_rate, counts.limit_burst);
  }
  return report;
}

nlohmann::json LatencyReport(std::vector<double>& latencies) {
  std::sort(latencies.begin(), latencies.end());
  return {{"p50", Quantile(latencies, 0.5)},
          {"p90", Quantile(latencies, 0.9)},
          {"p99", Quantile(latencies, 0.99)},
          {"max", latencies.empty() ? 0 : latencies.back()}};
}

std::uint64_t Sum(const LoadCounts& counts,
                  std::uint64_t LoadCounts::Organisation::*member) {
  std::uint64_t sum = 0;
  for (const auto& [name, organisation] : counts.organisations) {
    sum += organisation.*member;
  }
  return sum;
}

}  // namespace

double WindowExcess(std::vector<Span> spans, double rate, double burst) {
  std::sort(spans.begin(), spans.end(),
            [](const Span& a, const Span& b) { return a.sent < b.sent; });
  double excess = 0;
  for (std::size_t i = 0; i < spans.size(); i += kMaxWindowSpans) {
    const std::size_t end = std::min(i + kMaxWindowSpans, spans.size());
    const std::vector<Span> piece(
        spans.begin() + static_cast<std::ptrdiff_t>(i),
        spans.begin() + static_cast<std::ptrdiff_t>(end));
    excess = std::max(excess, PieceExcess(piece, rate, burst));
  }
  return excess;
}

double Quantile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

nlohmann::json LoadReport(LoadCounts counts, double elapsed_s) {
  const std::uint64_t offered = Sum(counts, &LoadCounts::Organisation::offered);
  const std::uint64_t ok = Sum(counts, &LoadCounts::Organisation::ok);
  nlohmann::json report = {
      {"elapsed_s", elapsed_s},
      {"offered", offered},
      {"ok", ok},
      {"goodput_per_s", static_cast<double>(ok) / elapsed_s},
      {"attempts", counts.attempts},
      {"retries", counts.retries},
      {"incomplete", counts.incomplete},
      {"statuses", counts.statuses},
      {"reasons", counts.reasons},
      {"failures", counts.failures},
      {"latency_ms", LatencyReport(counts.latencies_ms)},
      {"organisations", nlohmann::json::object()},
      {"routes", nlohmann::json::object()},
      {"daemons", nlohmann::json::object()}};
  for (auto& [name, organisation] : counts.organisations) {
    report["organisations"][name] = OrganisationReport(organisation, elapsed_s);
  }
  for (const auto& [name, route] : counts.routes) {
    report["routes"][name] = {{"offered", route.offered},
                              {"ok", route.ok},
                              {"unknown", route.unknown}};
  }
  for (const auto& [name, daemon] : counts.daemons) {
    report["daemons"][name] = {{"attempts", daemon.attempts},
                               {"ok", daemon.ok},
                               {"failures", daemon.failures}};
  }
  return report;
}

std::optional<Expectation> Expectation::Parse(const std::string& text) {
  const std::size_t start = text.find_first_of("<>=");
  if (text.empty() || text.front() != '/' || start == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t size = text[start] != '=' && text[start + 1] == '=' ? 2 : 1;
  Expectation expectation;
  expectation.pointer = text.substr(0, start);
  expectation.comparison = text.substr(start, size);
  const std::string number = text.substr(start + size);
  char* end = nullptr;
  expectation.number = std::strtod(number.c_str(), &end);
  if (number.empty() || *end != '\0') return std::nullopt;
  try {
    (void)nlohmann::json::json_pointer(expectation.pointer);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return expectation;
}

bool Expectation::Holds(const nlohmann::json& report) const {
  const nlohmann::json::json_pointer place(pointer);
  if (!report.contains(place.parent_pointer())) return false;
  double value = 0;
  if (report.contains(place)) {
    if (!report.at(place).is_number()) return false;
    value = report.at(place).get<double>();
  }
  if (comparison == "<=") return value <= number;
  if (comparison == ">=") return value >= number;
  if (comparison == "<") return value < number;
  if (comparison == ">") return value > number;
  return value == number;
}

}  // namespace lentilcross
