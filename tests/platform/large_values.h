#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "platform/documents.h"

namespace lentilcross::testing {

/// `value-bytes` of the platform's store.
inline constexpr std::size_t kValueBytes = 1048576;

/// What a large configuration consists of.
enum class Content : std::uint8_t {
  kLongKeys,
  kShortKeys,
  kOrganisations,
  kOrganisationsWithKeys,
  kRoutes,
  kRouteHosts,
  kSplit,
  kServices,
};

inline constexpr std::pair<Content, const char*> kContents[] = {
    {Content::kLongKeys, "long keys"},
    {Content::kShortKeys, "short keys"},
    {Content::kOrganisations, "organisations"},
    {Content::kOrganisationsWithKeys, "organisations with keys"},
    {Content::kRoutes, "routes"},
    {Content::kRouteHosts, "route hosts"},
    {Content::kSplit, "parts of a split"},
    {Content::kServices, "services"}};

/// Shortest names first, so that a value holds as many as possible.
inline std::string ShortName(std::size_t index) {
  constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string name;
  for (++index; index > 0; index = (index - 1) / kLetters.size()) {
    name += kLetters[(index - 1) % kLetters.size()];
  }
  return name;
}

inline nlohmann::json MakeShortRoute(const std::string& prefix) {
  return {{"prefix", prefix},
          {"kind", "idempotent"},
          {"service", "stock"},
          {"timeout-ms", 900}};
}

inline nlohmann::json MakeEntry(Content content, std::size_t index) {
  const std::string name = ShortName(index);
  switch (content) {
    case Content::kLongKeys:
      return "key-of-twenty-" + std::to_string(100000 + index);
    case Content::kShortKeys:
      return name;
    case Content::kOrganisations:
      return {{"name", name}};
    case Content::kOrganisationsWithKeys:
      return {{"name", name}, {"rate-per-s", 5}, {"api-keys", {"K" + name}}};
    case Content::kRoutes:
      return MakeShortRoute("/" + name + "/");
    case Content::kRouteHosts:
      return {{"host", name}, {"paths", {MakeShortRoute("/")}}};
    case Content::kSplit:
      return {{"service", "stock"}, {"weight", 1}};
    case Content::kServices:
      break;
  }
  return {{"name", name}};
}

inline nlohmann::json& EntriesOf(nlohmann::json& configuration,
                                 Content content) {
  switch (content) {
    case Content::kLongKeys:
    case Content::kShortKeys:
      return configuration["tenants"][0]["api-keys"];
    case Content::kOrganisations:
    case Content::kOrganisationsWithKeys:
      return configuration["tenants"];
    case Content::kRoutes:
      return configuration["virtual-hosts"][0]["paths"];
    case Content::kRouteHosts:
      return configuration["virtual-hosts"];
    case Content::kSplit: {
      nlohmann::json& route = configuration["virtual-hosts"][0]["paths"][0];
      route.erase("service");
      return route["split"];
    }
    case Content::kServices:
      break;
  }
  return configuration["services"];
}

/// Adds entries to a configuration until its text has `size` bytes at most.
inline void Fill(nlohmann::json& configuration, Content content,
                 std::size_t size = kValueBytes) {
  std::size_t bytes = configuration.dump().size();
  nlohmann::json& entries = EntriesOf(configuration, content);
  for (std::size_t index = 0;; ++index) {
    nlohmann::json entry = MakeEntry(content, index);
    bytes += entry.dump().size() + 1;
    if (bytes > size) return;
    entries.push_back(std::move(entry));
  }
}

}  // namespace lentilcross::testing
