#pragma once

#include <cstdint>
#include <string>

namespace lentilcross {

/// TCP address. Listening on port 0 picks a free port.
struct Endpoint {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
};

}  // namespace lentilcross
