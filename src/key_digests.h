#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/findings.h"

namespace lentilcross {

/// Written form of `digests`, which must be sorted: an object of groups. The
/// name of a group is the first hex digits of all digests in it, and its value
/// the digests, one after the other, in base64. Groups are small, so that a
/// delta between two versions is small if few keys changed.
nlohmann::json WriteKeyDigests(const std::vector<KeyDigest>& digests);

/// Appends the keys of `organisation` in a written form to `out`, in any order.
void ReadKeyDigests(const nlohmann::json& groups, const std::string& place,
                    OrganisationId organisation, Findings& findings,
                    std::vector<UnnamedKey>& out);

}  // namespace lentilcross
