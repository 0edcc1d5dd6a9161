#pragma once

#include <array>
#include <unordered_map>

#include "lentilcross/types.h"

namespace lentilcross {

/// Computes the shedding level of one target for each organisation from its
/// measured capacity and the demand before shedding. Demand is estimated from
/// the arrivals that rank above every level stated lately: no gate refuses
/// those, so the estimate does not depend on how fast gates react.
class LevelEstimator {
 public:
  explicit LevelEstimator(Instant now) : window_start_(now) {}

  void CountArrival(OrganisationId organisation, double weight,
                    Importance importance, std::uint32_t rank);
  void CountStart(Importance importance);
  void CountShed() { ++shed_; }
  /// The target had room and nothing waited.
  void CountIdle() { idle_ = true; }
  /// Closes the window if it is due. `ceiling` is the rate that the target is
  /// known to sustain, 0 if unknown.
  void Update(double ceiling, Instant now);

  std::uint32_t level(OrganisationId organisation, Instant now) const;
  /// Calls started per second.
  double start_rate() const { return start_rate_; }

 private:
  static constexpr std::size_t kRecentLevels = 10;
  static constexpr std::size_t kRecentStarts = 4;
  struct Demand {
    int seen = 0;         ///< Arrivals of this window.
    int unshed = 0;       ///< Those that no gate may have refused.
    double calls = 0;     ///< Decaying sum of `unshed`.
    double exposure = 0;  ///< Decaying seconds, times the part not refused.
    double rate = 0;      ///< Calls per second before shedding.
  };
  struct Organisation {
    double weight = 1;
    std::array<Demand, kImportanceCount> demands;
    std::uint32_t level = 0;
    std::uint32_t highest_recent = 0;
    std::array<std::uint32_t, kRecentLevels> recent{};
    double share = 0;  ///< Calls per second given at the marginal importance.
  };
  void EstimateCapacity(double seconds, double ceiling);
  static void EstimateDemand(Organisation& organisation, double seconds);
  double TotalDemand() const;
  void ComputeLevels();
  int FindMarginal(double& remaining) const;
  double Shares(int marginal, double fill);
  void Remember();
  void StartWindow(Instant now);
  int LowestStarted() const;

  std::unordered_map<OrganisationId, Organisation> organisations_;
  Instant window_start_;
  std::array<int, kImportanceCount> starts_{};
  int shed_ = 0;
  bool idle_ = false;
  double start_rate_ = 0;
  double capacity_ = 0;           ///< Calls per second; 0: no limit is known.
  std::uint32_t base_level_ = 0;  ///< For organisations without arrivals.
  std::size_t next_recent_ = 0;
  /// Lowest importance that started, of the last windows.
  std::array<int, kRecentStarts> lowest_started_{
      kImportanceCount, kImportanceCount, kImportanceCount, kImportanceCount};
  std::size_t next_started_ = 0;
};

}  // namespace lentilcross
