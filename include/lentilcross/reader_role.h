#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "lentilcross/types.h"

namespace lentilcross {

/// Part of a host in reading the platform for its failure domain.
enum class ReaderRole : std::uint8_t {
  kReader,   ///< Watches the platform.
  kStandby,  ///< Watches it while no reader confirms what it read.
  kOther,    ///< Reads it only if all others fail.
};

/// Tells a standby when it has to read the platform itself.
class StandbyTimer {
 public:
  /// Whether readers have confirmed nothing to this standby for more than
  /// `limit`; `age` is the time since the last confirmation.
  bool IsOverdue(ReaderRole role, Duration age, Duration limit, Instant now) {
    if (role != ReaderRole::kStandby) {
      since_.reset();
      return false;
    }
    // A host that has just become a standby was sent no confirmations before.
    if (!since_) since_ = now;
    return std::min(age, now - *since_) > limit;
  }
  /// Begins to wait anew.
  void Restart(Instant now) { since_ = now; }

 private:
  std::optional<Instant> since_;  ///< Set while the host is a standby.
};

}  // namespace lentilcross
