#pragma once

#include <array>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lentilcross/admission.h"

namespace lentilcross {

/// Queue of calls that wait for one target, with a class for each importance
/// and weighted fair queueing between the organisations of a class. Starts
/// calls of the highest importance first and, among them, those of the
/// organisation with the lowest usage for its weight. Sheds in the opposite
/// order, lowest request hash first, but calls that another region could serve
/// before those of the same organisation that are pinned to home regions.
class CallQueue {
 public:
  struct QueuedCall {
    TargetAdmission::Entry entry;
    std::uint32_t rank = 0;
    Instant arrived{};
  };

  std::size_t size() const { return size_; }
  void Push(const TargetAdmission::Entry& entry, Instant now);
  /// Removes the next call to start. Takes the newest call of the organisation
  /// instead of the oldest if `newest_first`.
  std::optional<QueuedCall> PopNext(bool newest_first);
  /// Removes the call to shed first.
  std::optional<QueuedCall> PopLowest(Instant now);
  /// Removes the calls that cannot end by their deadline if they take
  /// `service_time`, and those that arrived before `oldest`. The latter stay
  /// while calls of lower importance are queued, and for part of their time
  /// limit if their organisation is below its share.
  std::vector<QueuedCall> PopExpired(Instant now, Duration service_time,
                                     Instant oldest);
  bool Remove(std::uint64_t number);
  /// Adds a started call to the usage of its organisation.
  void CountStart(OrganisationId organisation, double weight, Instant now);
  /// Forgets organisations without recent calls.
  void Prune(Instant now);

 private:
  using Class = std::deque<QueuedCall>;
  template <typename Expired>
  void Extract(std::size_t importance, Expired expired,
               std::vector<QueuedCall>& out);
  struct Organisation {
    double weight = 1;
    /// Exponentially decaying count of started calls, times `UsageScale`.
    double usage = 0;
    std::array<Class, kImportanceCount> classes;
  };
  /// Weight of a start at `now` in `usage`. It grows with time instead of each
  /// count being decayed; counts compare as if they had decayed.
  double UsageScale(Instant now) const;
  /// Highest usage for its weight of any organisation.
  double MaxUsage() const;
  /// Scales all usage down so that `UsageScale` is 1 again.
  void ResetScale(Instant now);
  void LimitScale(Instant now);

  std::unordered_map<OrganisationId, Organisation> organisations_;
  std::array<std::size_t, kImportanceCount> class_sizes_{};
  std::size_t size_ = 0;
  Instant scale_start_{};
};

}  // namespace lentilcross
