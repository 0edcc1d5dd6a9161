#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lentilcross::standin {

/// Finds the identifier of the dialling host in the first bytes of a peer link:
/// a websocket upgrade request followed by a masked frame with the Hello
/// message.
class PeerHello {
 public:
  /// Adds bytes of the dialling side. True once, when the host becomes known.
  bool Add(std::string_view bytes);

  /// True if the host is known, or the bytes are no peer link.
  bool done() const { return done_; }
  /// 0 while it is unknown.
  std::uint64_t host() const { return host_; }

 private:
  std::string seen_;
  std::uint64_t host_ = 0;
  bool done_ = false;
};

}  // namespace lentilcross::standin
