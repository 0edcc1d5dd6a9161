#pragma once

#include <cstddef>
#include <optional>

#include "lentilcross/spread.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// When to call the platform. The number of calls of the whole fleet stays
/// bounded in every case: few hosts watch, the others spread their reads over
/// a window that grows with the number of hosts.
class PlatformSchedule {
 public:
  struct Init {
    Duration confirmation_limit{};
    Duration startup_wait{};
    Duration watch_wait{};
  };
  enum class Answer : std::uint8_t {
    kApplied,    ///< A newer version.
    kConfirmed,  ///< The version held is the newest that the platform has.
    kUseless,    ///< An older or an invalid document.
    kFailed,
  };

  enum class Role : std::uint8_t {
    kReader,   ///< One of the few that watch for their failure domain.
    kStandIn,  ///< Watches because nobody else could lately, as others may.
    kOther,
  };

  explicit PlatformSchedule(const Init& init) : init_(init) {}

  void OnAnswer(Answer answer, Instant now);
  /// A peer holds the same version and knows it to be confirmed at `at`.
  void OnConfirmedByPeer(Instant at);
  /// `hosts` is 0 before the first configuration.
  ConfigDistributor::PlatformAction Next(Role role, std::size_t hosts,
                                         Instant now, Random& random);

  /// Time since the version was confirmed.
  Duration Age(Instant now) const;
  /// Time until a reader may call again.
  Duration Pause(Instant now) const;

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
  std::optional<Instant> call_started_;  ///< While a call is open.
  ConfigDistributor::PlatformAction open_ =
      ConfigDistributor::PlatformAction::kNone;
  Instant watch_not_before_{};
  Instant read_not_before_{};
  bool answered_ = false;
  int failures_ = 0;
  Duration window_{};           ///< At the last call.
  Duration stand_in_window_{};  ///< Shared by all hosts that may stand in.
  double fraction_ = 0;         ///< Own place in the window, 0 to 1.
  double backoff_factor_ = 1;   ///< Drawn for each call, 0.5 to 1.5.
};

}  // namespace lentilcross
