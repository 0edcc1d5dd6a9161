#include "http_message.h"

#include <boost/beast/core/string.hpp>

namespace lentilcross::web {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const boost::beast::string_view wanted(name.data(), name.size());
  for (const auto& [key, value] : headers) {
    if (boost::beast::iequals(boost::beast::string_view(key), wanted)) {
      return value;
    }
  }
  return {};
}

std::string_view HttpRequest::path() const {
  return std::string_view{target}.substr(0, target.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const {
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return {};
  std::string_view rest = std::string_view{target}.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

HttpResponse MakeResponse(int status, std::string_view content_type,
                          std::string body) {
  return {
      status, {{"Content-Type", std::string(content_type)}}, std::move(body)};
}

}  // namespace lentilcross::web
