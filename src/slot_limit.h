#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "lentilcross/types.h"

namespace lentilcross {

/// Limit on concurrent calls at a target that states its number of slots. Some
/// targets slow down when nearly all slots are taken and serve more calls with
/// a few slots left free. Compares the latencies of calls, for each route, by
/// the number of slots that were taken when they started.
class SlotLimit {
 public:
  explicit SlotLimit(int slots);

  int slots() const { return slots_; }
  /// At least 1, at most `slots`.
  int limit() const { return limit_; }
  /// Records a successful call. `slots_taken` is the number at its start,
  /// including its own; `latency` leaves out waits for onward calls.
  void Record(RouteId route, int slots_taken, Duration latency, Instant now);

 private:
  /// Calls are grouped into bands by `slots_taken`. The last band is the one
  /// with the fewest taken slots and serves as the baseline.
  static constexpr std::size_t kBands = 4;
  /// Sums of the logarithm of latency over baseline latency.
  struct Band {
    double count = 0;
    double sum = 0;
    double squares = 0;
    Instant last{};
  };
  struct Baseline {
    double count = 0;
    double mean = 0;  ///< Logarithm of seconds.
  };

  std::size_t BandOf(int slots_taken) const;
  /// Largest number of taken slots in the band.
  int TopOf(std::size_t band) const;
  /// Latency of the band as a multiple of the baseline; 1 if the difference is
  /// not significant.
  static double SlowdownOf(const Band& band);
  void UpdateBaselinePeriod(Instant now);
  void UpdateLimit(Instant now);

  int slots_;
  int limit_;
  int calls_without_baseline_ = 0;
  int baseline_calls_left_ = 0;  ///< Calls until the baseline period ends.
  std::optional<Instant> last_baseline_;  ///< Start of the last period.
  std::array<Band, kBands> bands_{};
  std::unordered_map<RouteId, Baseline> baselines_;
};

}  // namespace lentilcross
