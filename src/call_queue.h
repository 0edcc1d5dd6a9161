#pragma once

#include <array>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lentilcross/admission.h"

namespace lentilcross {

/// Queue of calls that wait for one target, in classes by importance. Starts
/// the highest class first and, within it, the organisation that used least for
/// its weight. Sheds in the opposite order, lowest request hash first.
class CallQueue {
 public:
  struct Waiting {
    TargetAdmission::Entry entry;
    std::uint32_t rank = 0;
    Instant arrived{};
  };

  std::size_t size() const { return size_; }
  void Push(const TargetAdmission::Entry& entry, Instant now);
  /// Next call to start; the newest of its organisation if `newest_first`.
  std::optional<Waiting> PopNext(bool newest_first);
  /// Call to shed first.
  std::optional<Waiting> PopLowest(Instant now);
  /// Removes the calls that cannot end by their deadline if they take `needed`,
  /// and those that arrived before `oldest`, unless calls of lower importance
  /// wait: those would start in place of the removed ones. Calls of an
  /// organisation that used less for its weight than another one stay longer,
  /// for a part of their time limit: its few calls would otherwise miss the
  /// short gaps that higher importance leaves, and the many of a large
  /// organisation would fill them.
  std::vector<Waiting> PopExpired(Instant now, Duration needed, Instant oldest);
  bool Remove(std::uint64_t number);
  /// Counts a start of the organisation for its share.
  void CountStart(OrganisationId organisation, double weight, Instant now);
  /// Forgets organisations without recent calls.
  void Prune(Instant now);

 private:
  using Class = std::deque<Waiting>;
  template <typename Expired>
  void Extract(std::size_t level, Expired expired, std::vector<Waiting>& out);
  struct Organisation {
    double weight = 1;
    /// Decaying count of starts, times `Growth` at the time that it is for.
    double used = 0;
    std::array<Class, kImportanceCount> classes;
  };
  /// Counts of starts do not decay one by one: later starts count for more, by
  /// this factor, so that counts compare as if they had decayed.
  double Growth(Instant now) const;
  double MostUsed() const;
  void Rebase(Instant now);
  void BoundGrowth(Instant now);

  std::unordered_map<OrganisationId, Organisation> organisations_;
  std::array<std::size_t, kImportanceCount> class_sizes_{};
  std::size_t size_ = 0;
  Instant growth_start_{};
};

}  // namespace lentilcross
