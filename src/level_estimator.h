#pragma once

#include <array>
#include <unordered_map>

#include "lentilcross/types.h"

namespace lentilcross {

/// Computes the shedding level of one target for each organisation, from the
/// measured capacity of the target and the demand before shedding. Demand is
/// estimated from the arrivals that rank at or above every recent level. No
/// `EntryGate` refuses those, so that the estimate does not depend on how fast
/// the gates follow the levels.
class LevelEstimator {
 public:
  explicit LevelEstimator(Instant now) : window_start_(now) {}

  void CountArrival(OrganisationId organisation, double weight,
                    Importance importance, std::uint32_t rank);
  void CountStart(Importance importance);
  void CountShed() { ++shed_; }
  /// Call after each admission event. `idle`: the target has room and no call
  /// is queued.
  void CountRoom(bool idle) {
    ++events_;
    if (idle) ++idle_events_;
  }
  /// Closes the measurement window if it is due and computes new levels.
  /// `sustained_rate` is the number of calls per second that the target is
  /// known to sustain; 0: unknown.
  void Update(double sustained_rate, Instant now);

  std::uint32_t level(OrganisationId organisation, Instant now) const;
  /// Calls started per second.
  double start_rate() const { return start_rate_; }

 private:
  static constexpr std::size_t kRecentLevels = 10;
  static constexpr std::size_t kRecentStarts = 4;
  struct Demand {
    int arrivals = 0;      ///< Of this window.
    int above_levels = 0;  ///< Arrivals that no gate could have refused.
    double calls = 0;      ///< Decaying sum of `above_levels`.
    /// Decaying sum of seconds times the fraction of requests above the levels.
    double exposed_seconds = 0;
    double rate = 0;  ///< Calls per second before shedding.
  };
  struct Organisation {
    double weight = 1;
    std::array<Demand, kImportanceCount> demands;
    std::uint32_t level = 0;
    std::uint32_t highest_recent_level = 0;
    std::array<std::uint32_t, kRecentLevels> recent_levels{};
    double share = 0;  ///< Calls per second granted at marginal importance.
  };
  void EstimateCapacity(double seconds, double sustained_rate);
  static void EstimateDemand(Organisation& organisation, double seconds);
  double TotalDemand() const;
  void ComputeLevels();
  /// Highest importance whose demand exceeds the capacity that more important
  /// calls leave, which is stored in `remaining`; -1 if there is none.
  int FindMarginalImportance(double& remaining) const;
  /// Sets the share of each organisation so that it gets up to `fill` calls per
  /// second and weight, including its more important calls. Returns the sum of
  /// the shares.
  double AssignShares(int marginal, double fill);
  void RecordLevels();
  void StartWindow(Instant now);
  /// Lowest importance that, together with those below it, made up more than a
  /// few of the starts.
  int LowestStartedInWindow() const;
  int LowestStarted() const;

  std::unordered_map<OrganisationId, Organisation> organisations_;
  Instant window_start_;
  std::array<int, kImportanceCount> starts_{};
  int shed_ = 0;
  int events_ = 0;
  int idle_events_ = 0;
  double start_rate_ = 0;
  double capacity_ = 0;  ///< Calls per second; 0: no limit is known.
  std::uint32_t default_level_ = 0;  ///< For organisations without arrivals.
  std::size_t next_recent_ = 0;
  /// `LowestStartedInWindow` of the last windows.
  std::array<int, kRecentStarts> lowest_started_{
      kImportanceCount, kImportanceCount, kImportanceCount, kImportanceCount};
  std::size_t next_started_ = 0;
};

}  // namespace lentilcross
