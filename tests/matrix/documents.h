#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "lentilcross/configuration.h"

namespace lentilcross::matrix {

using Json = nlohmann::json;

inline constexpr std::string_view kKey = "key of coopers";
inline constexpr std::string_view kFloodKey = "key of flood";
inline constexpr Duration kRouteTimeout = std::chrono::milliseconds(800);

/// Version 1 of the hosts `entry`, `one` and `two` with four services.
Json RequestDocument();

/// Version 1 with these hosts; those whose name begins with "a" are in the
/// first of two failure domains. It has the keys `coopers` and `flood`.
Json ControlDocument(const std::vector<std::string>& hosts);
std::string DomainOfControlHost(const std::string& host);

/// Throws if the document has findings: the tests build valid ones.
std::shared_ptr<const Configuration> ParseDocument(const Json& document);

}  // namespace lentilcross::matrix
