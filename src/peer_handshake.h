#pragma once

#include <string>
#include <vector>

#include "lentilcross/peer_message.h"

namespace lentilcross {

/// Side of a link; part of the proof, so that a proof cannot be sent back to
/// the side that made it.
enum class LinkRole : std::uint8_t { kDialler, kAcceptor };

/// Proof that the sender of `own` holds `key`, bound to both nonces.
Proof MakeProof(const std::string& key, LinkRole role, const Hello& own,
                const Hello& peer);

/// True if `proof` was made by the sender of `peer` with one of `keys`.
bool VerifyProof(const std::vector<std::string>& keys, LinkRole peer_role,
                 const Hello& peer, const Hello& own, const Proof& proof);

}  // namespace lentilcross
