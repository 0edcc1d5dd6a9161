#include "http_types.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace lentilcross {
namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Connection",  "TE",         "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length"};

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [name](std::string_view other) { return EqualHeaderName(name, other); });
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isgraph(static_cast<unsigned char>(c)) != 0 &&
           std::string_view("()<>@,;:\\\"/[]?={}").find(c) ==
               std::string_view::npos;
  });
}

bool IsPath(std::string_view text) {
  return !text.empty() && text.front() == '/' &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return static_cast<unsigned char>(c) > ' ' && c != 0x7f;
         });
}

/// Header names listed in `Connection` headers.
std::vector<std::string> ConnectionOptions(const Headers& headers) {
  std::vector<std::string> names;
  for (const auto& [name, value] : headers) {
    if (!EqualHeaderName(name, "Connection")) continue;
    std::string option;
    for (const char c : value + ",") {
      if (c == ',') {
        if (!option.empty()) names.push_back(option);
        option.clear();
      } else if (c != ' ' && c != '\t') {
        option.push_back(c);
      }
    }
  }
  return names;
}

}  // namespace

bool EqualHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

std::size_t CountHeaders(const Headers& headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(), [name](const auto& entry) {
        return EqualHeaderName(entry.first, name);
      }));
}

void RemoveHeader(Headers& headers, std::string_view name) {
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [name](const auto& entry) {
                                 return EqualHeaderName(entry.first, name);
                               }),
                headers.end());
}

void RemoveConnectionHeaders(Headers& headers) {
  for (const std::string& name : ConnectionOptions(headers)) {
    RemoveHeader(headers, name);
  }
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const auto& entry) {
                                 return IsConnectionHeader(entry.first);
                               }),
                headers.end());
}

bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c != '\r' && c != '\n' && c != '\0';
  });
}

bool IsSafeToSerialise(const Headers& headers) {
  return std::all_of(headers.begin(), headers.end(), [](const auto& entry) {
    return IsToken(entry.first) && IsFieldValue(entry.second);
  });
}

bool IsSafeToSerialise(const HttpRequest& request) {
  return IsToken(request.method) && IsPath(request.target) &&
         IsSafeToSerialise(request.headers);
}

}  // namespace lentilcross
