#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "lentilcross/types.h"

namespace lentilcross {

/// How many calls to run at once at a target that states its slots. Some
/// targets are slower when nearly all slots are taken, so that they serve more
/// with a few left free. Compares the latency of calls by the slots that were
/// taken when they started; the kinds of calls are compared with themselves.
class SlotLimit {
 public:
  explicit SlotLimit(int slots);

  int slots() const { return slots_; }
  /// At least 1, at most `slots`.
  int limit() const { return limit_; }
  /// A call ended well. `taken` slots, its own included, were taken at its
  /// start; `latency` leaves out the waits for onward calls.
  void Record(RouteId route, int taken, Duration latency, Instant now);

 private:
  /// Slots between two shares of all; the last band holds all below.
  static constexpr std::size_t kBands = 4;
  /// Sums over logarithms of latencies, relative to the last band.
  struct Band {
    double count = 0;
    double sum = 0;
    double squares = 0;
    Instant last{};
  };
  struct Typical {
    double count = 0;
    double mean = 0;  ///< Logarithm of seconds.
  };

  std::size_t BandOf(int taken) const;
  int TopOf(std::size_t band) const;
  static double SlowdownOf(const Band& band);
  void TakeReference(Instant now);
  void Decide(Instant now);

  int slots_;
  int limit_;
  int awaiting_reference_ = 0;  ///< Calls in full bands without comparison.
  int reference_calls_ = 0;     ///< Calls left to run below the top.
  std::optional<Instant> reference_taken_;
  std::array<Band, kBands> bands_{};
  std::unordered_map<RouteId, Typical> typical_;
};

}  // namespace lentilcross
