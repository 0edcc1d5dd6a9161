#pragma once

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>
#include <utility>

#include "lentilcross/error.h"
#include "lentilcross/findings.h"

namespace lentilcross {

/// The value of a `Result<T>`, or the error objects that it carried.
template <typename T>
struct Captured {
  std::optional<T> value;
  Findings findings;
  std::string decode_error;
};

/// Captures the result of `make`, which returns a `Result<T>`.
template <typename T, typename Make>
Captured<T> Capture(Make make) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<Captured<T>> {
        Captured<T> captured;
        BOOST_LEAF_AUTO(value, make());
        captured.value = std::move(value);
        return captured;
      },
      [](const Findings& findings) {
        return Captured<T>{std::nullopt, findings, ""};
      },
      [](const DecodeError& error) {
        return Captured<T>{std::nullopt, {}, error.text};
      },
      [] {
        return Captured<T>{std::nullopt, {}, "unknown error"};
      });
}

}  // namespace lentilcross
