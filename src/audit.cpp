#include "audit.h"

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace lentilcross {
namespace {

std::string FormatTime(std::chrono::system_clock::time_point time) {
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count();
  const std::time_t whole = since_epoch / 1000;
  std::tm parts{};
  gmtime_r(&whole, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string milliseconds = std::to_string(1000 + since_epoch % 1000);
  return std::string(text.data()) + "." + milliseconds.substr(1) + "Z";
}

nlohmann::json KeysOf(const AuditRecord& record) {
  auto keys = nlohmann::json::array();
  for (const auto& [name, organisation, withdrawn] : record.keys) {
    keys.push_back({{"name", name},
                    {"organisation", organisation},
                    {"withdrawn", withdrawn}});
  }
  return keys;
}

nlohmann::json RatesOf(const AuditRecord& record) {
  auto rates = nlohmann::json::array();
  for (const auto& [organisation, rate, burst] : record.rates) {
    rates.push_back(
        {{"organisation", organisation}, {"rate", rate}, {"burst", burst}});
  }
  return rates;
}

}  // namespace

std::uint64_t AuditTrail::Add(const AuditRecord& record) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t number = ++stats_.recorded;
  const nlohmann::json line = {{"number", number},
                               {"version", record.version.value()},
                               {"preset", record.preset},
                               {"keys", KeysOf(record)},
                               {"rates", RatesOf(record)},
                               {"source", record.source},
                               {"time", FormatTime(record.taken_over)}};
  lines_.emplace_back(
      number,
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n");
  if (lines_.size() > init_.capacity) {
    lines_.pop_front();
    ++stats_.dropped;
  }
  return number;
}

std::string AuditTrail::ReadAfter(std::uint64_t after) const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [number, line] : lines_) {
    if (number > after) text += line;
  }
  return text;
}

AuditTrail::Stats AuditTrail::stats() const {
  const std::lock_guard lock(mutex_);
  return stats_;
}

LogFields AuditFields(const AuditRecord& record) {
  std::size_t withdrawn = 0;
  for (const auto& key : record.keys) withdrawn += key.withdrawn ? 1 : 0;
  return {{"version", std::to_string(record.version.value())},
          {"preset", record.preset},
          {"source", record.source},
          {"keys", std::to_string(record.keys.size())},
          {"withdrawn_keys", std::to_string(withdrawn)},
          {"organisations", std::to_string(record.rates.size())}};
}

}  // namespace lentilcross
