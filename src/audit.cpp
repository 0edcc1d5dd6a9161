#include "audit.h"

#include <algorithm>
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

std::size_t KeyCount(const AuditRecord& record) {
  return record.keys.size() + record.unnamed_keys;
}

std::size_t WithdrawnCount(const AuditRecord& record) {
  return static_cast<std::size_t>(
      std::count_if(record.keys.begin(), record.keys.end(),
                    [](const AuditKey& key) { return key.withdrawn; }));
}

nlohmann::json KeysOf(const AuditRecord& record, std::size_t max) {
  auto keys = nlohmann::json::array();
  for (const auto& [name, organisation, withdrawn] : record.keys) {
    if (keys.size() == max) break;
    keys.push_back({{"name", name},
                    {"organisation", organisation},
                    {"withdrawn", withdrawn}});
  }
  return keys;
}

nlohmann::json RatesOf(const AuditRecord& record, std::size_t max) {
  auto rates = nlohmann::json::array();
  for (const auto& [organisation, rate, burst] : record.rates) {
    if (rates.size() == max) break;
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
                               {"keys", KeysOf(record, init_.max_listed)},
                               {"key_count", KeyCount(record)},
                               {"withdrawn_count", WithdrawnCount(record)},
                               {"rates", RatesOf(record, init_.max_listed)},
                               {"organisation_count", record.rates.size()},
                               {"source", record.source},
                               {"time", FormatTime(record.taken_over)}};
  lines_.emplace_back(
      number,
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n");
  bytes_ += lines_.back().second.size();
  while (lines_.size() > 1 &&
         (lines_.size() > init_.capacity || bytes_ > init_.max_bytes)) {
    bytes_ -= lines_.front().second.size();
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
  return {{"version", std::to_string(record.version.value())},
          {"preset", record.preset},
          {"source", record.source},
          {"keys", std::to_string(KeyCount(record))},
          {"withdrawn_keys", std::to_string(WithdrawnCount(record))},
          {"organisations", std::to_string(record.rates.size())}};
}

}  // namespace lentilcross
