#include "peer_hello.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace lentilcross::standin {
namespace {

// An upgrade request and a Hello together are far smaller.
constexpr std::size_t kMaxSeen = 8192;
// Place of the host in the message array, after version and kind.
constexpr std::size_t kHostIndex = 2;
constexpr std::size_t kMaskBytes = 4;
constexpr unsigned kLengthBits = 0x7F;
constexpr unsigned kTwoByteLength = 126;

unsigned Byte(std::string_view bytes, std::size_t index) {
  return static_cast<unsigned char>(bytes[index]);
}

// Payload of the first frame; empty while it is not whole.
std::vector<std::uint8_t> FirstPayload(std::string_view frame) {
  if (frame.size() < 4) return {};
  std::size_t length = Byte(frame, 1) & kLengthBits;
  std::size_t start = 2;
  if (length == kTwoByteLength) {
    length = Byte(frame, 2) * 256 + Byte(frame, 3);
    start = 4;
  }
  if (frame.size() < start + kMaskBytes + length) return {};
  std::vector<std::uint8_t> payload(length);
  for (std::size_t i = 0; i < length; ++i) {
    payload[i] = static_cast<std::uint8_t>(Byte(frame, start + kMaskBytes + i) ^
                                           Byte(frame, start + i % kMaskBytes));
  }
  return payload;
}

}  // namespace

bool PeerHello::Add(std::string_view bytes) {
  if (done_) return false;
  seen_.append(bytes);
  done_ = seen_.size() > kMaxSeen;
  const std::size_t head = seen_.find("\r\n\r\n");
  if (head == std::string::npos) return false;
  const auto payload = FirstPayload(std::string_view{seen_}.substr(head + 4));
  if (payload.empty()) return false;
  done_ = true;
  const auto message = nlohmann::json::from_cbor(payload, true, false);
  if (!message.is_array() || message.size() <= kHostIndex) return false;
  if (!message[kHostIndex].is_number_unsigned()) return false;
  host_ = message[kHostIndex].get<std::uint64_t>();
  return true;
}

}  // namespace lentilcross::standin
