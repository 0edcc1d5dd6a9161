#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace lentilcross::matrix {

/// Steps of configuration and membership at which a fault strikes. The host of
/// a step is the one where it happens, its peer the other end of the link.
enum class ControlStep : std::uint8_t {
  kAsked,      ///< A host asks the platform.
  kRead,       ///< A host took the new version over from the platform.
  kSent,       ///< A host sends the new version, or its number, to a peer.
  kReceived,   ///< It arrives at the peer.
  kApplied,    ///< The request path of a host takes the new version over.
  kJoined,     ///< A new process opens its first link.
  kSuspected,  ///< A host suspects the killed one.
  kLeaving,    ///< A host announces that it leaves.
  kLeft,       ///< The announcement arrives at a peer.
};
inline constexpr std::array<std::string_view, 9> kControlStepNames = {
    "config-asked",     "config-read",    "config-sent",
    "config-received",  "config-applied", "member-joined",
    "member-suspected", "member-leaving", "member-left"};

enum class ControlFault : std::uint8_t {
  kNone,
  kHostKilled,
  kPeerKilled,
  kHostPaused,
  kPeerPaused,
  kLinkReset,
  kLinkSilent,
  kPartitionOneWay,
  kPartition,
  kPlatformDown,
  kPlatformStale,         ///< It knows only an older version number.
  kPlatformStaleContent,  ///< It answers each read with the first document.
  kKeyWithdrawn,
  kPresetSwitched,
  kDuplicateDelivery,
  kReorderedDelivery,
  kOldPeer,  ///< A host that was cut off comes back with an old version.
};
inline constexpr std::array<std::string_view, 17> kControlFaultNames = {
    "none",
    "host-killed",
    "peer-killed",
    "host-paused",
    "peer-paused",
    "link-reset",
    "link-silent",
    "partition-one-way",
    "partition",
    "platform-down",
    "platform-stale",
    "platform-stale-content",
    "key-withdrawn",
    "preset-switched",
    "duplicate-delivery",
    "reordered-delivery",
    "old-peer"};

/// Why a fault cannot occur at a step; empty if the cell runs.
inline std::string_view RuledOut(ControlStep step, ControlFault fault) {
  if (step == ControlStep::kAsked && fault == ControlFault::kOldPeer) {
    return "every host holds the only version";
  }
  const bool of_peer =
      fault == ControlFault::kPeerKilled || fault == ControlFault::kPeerPaused;
  if (!of_peer) return {};
  switch (step) {
    case ControlStep::kAsked:
    case ControlStep::kRead:
    case ControlStep::kApplied:
    case ControlStep::kLeaving:
      return "no peer takes part in the step";
    case ControlStep::kSuspected:
      return "the peer is dead already";
    default:
      return {};
  }
}

}  // namespace lentilcross::matrix
