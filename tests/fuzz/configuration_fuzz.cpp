#include <boost/leaf/handle_errors.hpp>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "lentilcross/configuration.h"
#include "lentilcross/keys.h"

// Guards against a document that crashes the parser, and against an accepted
// document that crashes its users.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using lentilcross::Configuration;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  boost::leaf::try_handle_all(
      [&]() -> lentilcross::Result<void> {
        BOOST_LEAF_AUTO(configuration, Configuration::Parse(text));
        for (const auto& route : configuration->routes) {
          const auto* found =
              configuration->FindRoute(route.host, route.prefix);
          if (found != &route) std::abort();
        }
        configuration->FindRoute(text);
        configuration->FindRoute(text, text);
        lentilcross::KeyRing ring;
        ring.Apply(*configuration);
        ring.Find(text);
        return {};
      },
      [](const lentilcross::Findings& findings) {
        if (findings.empty()) std::abort();
        findings.Format("fuzz");
      },
      [] { std::abort(); });
  return 0;
}
