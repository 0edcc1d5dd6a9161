#include "lentilcross/hand_back.h"

#include <algorithm>

namespace lentilcross {
namespace {

constexpr double kSmoothing = 0.05;
// Keeps trying when no target has room, to notice when some have again.
constexpr double kMinShare = 0.05;
// A larger body takes longer to send a second time than a short queue does, and
// takes the link from others.
constexpr std::size_t kMaxBody = std::size_t{32} * 1024;

}  // namespace

bool HandBackPolicy::Allows(ServiceId service, std::size_t body_size,
                            Random& random) const {
  if (body_size > kMaxBody) return false;
  const auto found = room_ratio_.find(service);
  if (found == room_ratio_.end()) return true;
  const double share = std::max(kMinShare, found->second);
  return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

void HandBackPolicy::Record(ServiceId service, bool had_room) {
  ++stats_.moved;
  stats_.found_room += had_room ? 1 : 0;
  double& ratio = room_ratio_.try_emplace(service, 1.0).first->second;
  ratio += kSmoothing * ((had_room ? 1 : 0) - ratio);
}

}  // namespace lentilcross
