#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "configuration_bounds.h"
#include "lentilcross/configuration.h"
#include "lentilcross/findings.h"

namespace lentilcross {

/// Converts a parsed document to a configuration. Returns null and adds
/// findings if the document is invalid. Also returns null if `findings` was not
/// empty, for example because of a duplicate member.
std::shared_ptr<const Configuration> ReadConfiguration(
    const nlohmann::json& document, NameRules rules, Findings& findings);

}  // namespace lentilcross
