#include "tcp_endpoint.h"

#include <charconv>

namespace lentilcross::web {

std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string ip(text.substr(0, colon));
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  boost::system::error_code code;
  const auto address = boost::asio::ip::make_address(ip, code);
  if (code) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace lentilcross::web
