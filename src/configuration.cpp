#include "lentilcross/configuration.h"

#include <algorithm>
#include <cctype>

#include "configuration_reader.h"
#include "published_text.h"

namespace lentilcross {
namespace {

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

/// True for "." and "..". Each dot may be percent encoded.
bool IsDotSegment(std::string_view segment) {
  constexpr std::string_view kEncodedDot = "%2e";
  int dots = 0;
  while (!segment.empty()) {
    std::size_t size = 0;
    if (segment.front() == '.') size = 1;
    if (EqualIgnoringCase(segment.substr(0, 3), kEncodedDot)) size = 3;
    if (size == 0) return false;
    segment.remove_prefix(size);
    ++dots;
  }
  return dots == 1 || dots == 2;
}

bool HasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/'), path.size());
    if (IsDotSegment(path.substr(0, end))) return true;
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return false;
}

}  // namespace

const RouteEntry* Configuration::FindRoute(std::string_view host,
                                           std::string_view path) const {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  const auto lengths = prefix_lengths.find(name);
  if (lengths == prefix_lengths.end()) return FindRoute(path);
  const std::string_view plain = path.substr(0, path.find('?'));
  for (const std::size_t length : lengths->second) {
    if (length > plain.size()) continue;
    const std::string_view prefix = plain.substr(0, length);
    const auto found =
        route_index.find(RouteId::FromName(name + std::string(prefix)));
    if (found == route_index.end()) continue;
    const RouteEntry& route = routes[found->second];
    if (route.host == name && route.prefix == prefix) return &route;
  }
  return FindRoute(path);
}

const RouteEntry* Configuration::FindRoute(std::string_view path) const {
  path = path.substr(0, path.find('?'));
  if (routes.empty() || path.empty() || path.front() != '/') return nullptr;
  if (HasDotSegment(path)) return nullptr;

  const auto find = [this](std::string_view prefix) -> const RouteEntry* {
    const auto found = route_index.find(RouteId::FromName(prefix));
    if (found == route_index.end()) return nullptr;
    const RouteEntry& route = routes[found->second];
    return route.host.empty() && route.prefix == prefix ? &route : nullptr;
  };
  // No prefix is longer than that of the first route. Tries the segment
  // boundaries within this length, the longest first.
  std::size_t size = routes.front().prefix.size();
  if (path.size() <= size) {
    size = path.size();
  } else {
    size = path.rfind('/', size);
  }
  while (size != std::string_view::npos && size > 0) {
    if (const RouteEntry* route = find(path.substr(0, size))) return route;
    size = path.rfind('/', size - 1);
  }
  return find("/");
}

Result<std::shared_ptr<const Configuration>> Configuration::Parse(
    std::string_view text) {
  Findings findings;
  const auto document = ParsePublishedText(text, findings);
  if (!document) return boost::leaf::new_error(std::move(findings));
  auto configuration =
      ReadConfiguration(*document, NameRules::kPlain, findings);
  if (!configuration) return boost::leaf::new_error(std::move(findings));
  return configuration;
}

}  // namespace lentilcross
