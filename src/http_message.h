#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilcross::web {

/// Bytes read ahead of a parser. Bounds what it has to see whole, such as the
/// header, the extension of a chunk and the trailer.
inline constexpr std::size_t kMaxBufferedBytes = 64 * 1024;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Value of a header, compared without case; empty if it is not there.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  /// The target without its query.
  std::string_view path() const;
  /// Value of a query parameter, not decoded; empty if it is not there.
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

/// Response with one `Content-Type`.
HttpResponse MakeResponse(int status, std::string_view content_type,
                          std::string body);

}  // namespace lentilcross::web
