#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilcross::web {

/// Size of a read buffer. Limits the parts that the parser needs in full, such
/// as a header section, a chunk extension or a trailer.
inline constexpr std::size_t kMaxBufferedBytes = 64 * 1024;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Value of the first header with this name, ignoring case; empty if missing.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  /// The target without its query string.
  std::string_view path() const;
  /// Value of a query parameter, not decoded; empty if missing.
  std::string_view query(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

/// Response with a `Content-Type` header.
HttpResponse MakeResponse(int status, std::string_view content_type,
                          std::string body);

}  // namespace lentilcross::web
