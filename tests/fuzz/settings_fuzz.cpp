#include <boost/leaf/handle_errors.hpp>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "settings.h"

namespace {

using lentilcross::Settings;

constexpr std::size_t kLeastKeySize = 16;

// What a daemon relies on when it starts.
void CheckAccepted(const Settings& settings) {
  const auto& daemon = settings.daemon;
  if (daemon.host.empty() || daemon.failure_domain.empty()) std::abort();
  if (daemon.peer_keys.empty() || daemon.peer_keys.size() > 2) std::abort();
  for (const auto& key : daemon.peer_keys) {
    if (key.size() < kLeastKeySize) std::abort();
  }
  for (const auto& target : daemon.targets) {
    if (target.name.empty() || target.service.empty()) std::abort();
  }
}

}  // namespace

// Guards against settings that crash the parser, against accepted settings that
// a daemon cannot start with, and against a refusal without a finding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  boost::leaf::try_handle_all(
      [&]() -> lentilcross::Result<void> {
        BOOST_LEAF_AUTO(settings, Settings::Parse(text));
        CheckAccepted(settings);
        return {};
      },
      [](const lentilcross::Findings& findings) {
        if (findings.empty()) std::abort();
        findings.Format("fuzz");
      },
      [] { std::abort(); });
  return 0;
}
