#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "lentilcross/configuration.h"
#include "lentilcross/findings.h"

namespace lentilcross {

/// Validates a parsed document. Null, with findings, if it is invalid. An
/// earlier finding (a duplicate member) makes it invalid too.
std::shared_ptr<const Configuration> ReadConfiguration(
    const nlohmann::json& document, Findings& findings);

}  // namespace lentilcross
