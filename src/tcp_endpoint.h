#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace lentilcross::web {

/// Parses "ip:port" or "[ip6]:port". Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text);

}  // namespace lentilcross::web
