#include <boost/leaf/handle_errors.hpp>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "lentilcross/peer_message.h"

namespace {

/// The bytes after decoding and encoding; empty if they are refused.
std::string Recode(std::string_view bytes) {
  return boost::leaf::try_handle_all(
      [&]() -> lentilcross::Result<std::string> {
        BOOST_LEAF_AUTO(message, lentilcross::Decode(bytes));
        return lentilcross::Encode(message);
      },
      [](const lentilcross::DecodeError& error) {
        if (error.text.empty()) std::abort();
        return std::string();
      },
      []() -> std::string { std::abort(); });
}

}  // namespace

// Guards against bytes that crash the decoder, and against an accepted message
// that this process could not send itself.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string once = Recode({reinterpret_cast<const char*>(data), size});
  if (!once.empty() && Recode(once) != once) std::abort();
  return 0;
}
