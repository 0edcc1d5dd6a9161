#include "peer_handshake.h"

#include "lentilcross/keys.h"

namespace lentilcross {
namespace {

void AppendNumber(std::string& text, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

std::string ProofInput(LinkRole role, const Hello& prover,
                       const Hello& verifier) {
  std::string text = "lentilcross-peer-1";
  text.push_back(role == LinkRole::kDialler ? 'd' : 'a');
  text.append(prover.nonce.begin(), prover.nonce.end());
  text.append(verifier.nonce.begin(), verifier.nonce.end());
  AppendNumber(text, prover.host.value());
  AppendNumber(text, prover.incarnation.value());
  AppendNumber(text, prover.failure_domain.value());
  return text;
}

}  // namespace

Proof MakeProof(const std::string& key, LinkRole role, const Hello& own,
                const Hello& peer) {
  return {HmacSha256(key, ProofInput(role, own, peer))};
}

bool VerifyProof(const std::vector<std::string>& keys, LinkRole peer_role,
                 const Hello& peer, const Hello& own, const Proof& proof) {
  const std::string input = ProofInput(peer_role, peer, own);
  bool good = false;
  // Every key is tried, so that the time does not tell which one matched.
  for (const std::string& key : keys) {
    good = EqualConstantTime(HmacSha256(key, input), proof.mac) || good;
  }
  return good;
}

}  // namespace lentilcross
