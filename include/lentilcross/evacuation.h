#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lentilcross/types.h"

namespace lentilcross {

/// Whether the operator has evacuated a failure domain, as of a revision of the
/// platform's store (see `store_revision.h`).
struct Evacuation {
  std::string failure_domain;
  std::uint64_t revision = 0;
  bool active = false;
};

/// What the platform told about evacuations: all that are active, or changes.
struct EvacuationNews {
  /// Of the store when it answered.
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<Evacuation> evacuations;
};

/// Evacuated failure domains as this process knows them. For each domain the
/// highest revision wins, from whomever it comes, so that the state never
/// reverts and all processes that exchange it agree.
class EvacuationTable {
 public:
  struct Init {
    /// Time after a restore of the platform from a backup in which an
    /// evacuation that is missing there stays in force: the operator writes it
    /// again.
    Duration restore_grace = std::chrono::seconds(10);
    /// Failure domains beyond this number are ignored.
    std::size_t max_domains = 64;
  };
  struct Stats {
    std::uint64_t changes = 0;  ///< Begins and ends, from any source.
    std::uint64_t kept_after_restore = 0;
    std::uint64_t table_full = 0;
  };

  explicit EvacuationTable(const Init& init) : init_(init) {}

  // The functions that return bool return true if an evacuation began or ended.

  bool OnPlatform(const EvacuationNews& news, Instant now);
  bool OnPeer(const std::vector<Evacuation>& evacuations);
  /// Call a few times per second.
  bool Tick(Instant now);

  bool IsActive(const std::string& failure_domain) const;
  /// Active evacuations and those that have ended, for peers.
  std::vector<Evacuation> entries() const;
  std::vector<std::string> active() const;
  const Stats& stats() const { return stats_; }

 private:
  struct State {
    std::uint64_t revision = 0;
    bool active = false;
  };

  /// Records the newer of the known state and this one.
  bool Record(const std::string& failure_domain, State state);
  /// Ends those that the store does not list any more.
  bool EndMissing(const EvacuationNews& news, Instant now);

  Init init_;
  Stats stats_;
  std::map<std::string, State> states_;
  /// Missing after a restore: revision of the read, and when to end them.
  std::map<std::string, std::pair<std::uint64_t, Instant>> missing_;
};

}  // namespace lentilcross
