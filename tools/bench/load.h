#pragma once

#include <array>
#include <memory>
#include <vector>

#include "caller.h"
#include "lentilcross/shedding.h"
#include "world.h"

namespace lentilcross::bench {

/// Callers and entry daemons: sends requests as the scenario asks, repeats
/// those that failed, and counts whole requests that completed in time.
class Load {
 public:
  static constexpr Duration kBin = std::chrono::milliseconds(50);

  explicit Load(World& world);

  void Start();
  /// Completed requests by bin, then organisation.
  const std::vector<std::vector<std::uint64_t>>& completed() const {
    return completed_;
  }
  /// First sends of requests, by bin, then organisation.
  const std::vector<std::vector<std::uint64_t>>& offered() const {
    return offered_;
  }

 private:
  struct Entry {
    explicit Entry(World& world) : gate({}), caller(world) {}
    EntryGate gate;
    Caller caller;
    Instant lower_admitted{};  ///< Last admission below critical.
  };
  struct Sent;
  void ScheduleArrival();
  double RatePerSecond() const;
  std::size_t DrawOrganisation();
  Importance DrawImportance();
  void Send(std::size_t organisation, Importance importance, int repeats);
  void SendThrough(Entry& entry, const std::shared_ptr<Sent>& sent);
  bool Admit(Entry& entry, const Request& request);
  void End(const std::shared_ptr<Sent>& sent, bool ok);

  World& world_;
  Instant start_;
  std::vector<double> organisation_shares_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::vector<std::uint64_t>> completed_;
  std::vector<std::vector<std::uint64_t>> offered_;
};

}  // namespace lentilcross::bench
