#pragma once

#include <cstddef>
#include <optional>

#include "lentilcross/spread.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Schedules calls to the platform so that the call rate of the whole fleet is
/// always bounded: few hosts watch, and the others distribute their reads over
/// a window that grows with the number of hosts.
class PlatformSchedule {
 public:
  struct Init {
    Duration confirmation_limit{};
    Duration startup_wait{};
    Duration watch_wait{};
  };
  enum class CallResult : std::uint8_t {
    kApplied,    ///< Returned a newer version.
    kConfirmed,  ///< The platform has no newer version.
    kIgnored,    ///< Returned an older or invalid document.
    kFailed,
  };

  enum class Role : std::uint8_t {
    kReader,  ///< Watches for its failure domain.
    /// Watches in place of readers that confirm nothing; calls less often than
    /// they do while its calls fail.
    kStandby,
    /// Watches because no other host could recently; other hosts may do so too.
    kFallbackReader,
    kOther,
  };

  explicit PlatformSchedule(const Init& init) : init_(init) {}

  void OnCallResult(CallResult result, Instant now);
  /// A peer reported that the platform confirmed the current version at `at`.
  void OnConfirmedByPeer(Instant at);
  /// Returns the call to start now. `hosts` is the number of hosts, 0 before
  /// the first configuration.
  ConfigDistributor::PlatformAction Next(Role role, std::size_t hosts,
                                         Instant now, Random& random);

  /// Time since the current version was confirmed.
  Duration Age(Instant now) const;
  /// Time until a reader may call again; 0 if it may call now.
  Duration RetryDelay(Instant now) const;

 private:
  void Start(Instant now, Random& random);
  ConfigDistributor::PlatformAction Call(
      ConfigDistributor::PlatformAction action, Instant now, Random& random);
  bool ReadIsDue(std::size_t hosts, Instant now) const;
  Duration Window(std::size_t hosts) const;
  void Fail(Instant now);

  Init init_;
  std::optional<Instant> started_;
  std::optional<Instant> hosts_known_;
  std::optional<Instant> confirmed_;
  std::optional<Instant> call_started_;  ///< While a call is in progress.
  ConfigDistributor::PlatformAction pending_action_ =
      ConfigDistributor::PlatformAction::kNone;
  Instant watch_not_before_{};
  Instant read_not_before_{};
  bool platform_responded_ = false;
  int failures_ = 0;            ///< Since the platform last confirmed anything.
  Instant failed_{};            ///< Last of them.
  Duration window_{};           ///< For reads, as of the last `Next`.
  Duration fallback_window_{};  ///< Shared by fallback readers; else 0.
  Duration min_watch_backoff_{};  ///< Of the role in the last `Next`.
  Duration max_watch_backoff_{};
  double window_fraction_ = 0;  ///< Position in the window, random in 0 to 1.
  double backoff_factor_ = 1;   ///< Random in 0.5 to 1.5 for each call.
};

}  // namespace lentilcross
