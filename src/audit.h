#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "daemon_init.h"

namespace lentilcross {

/// Bounded trail of the configuration versions that this process has taken
/// over. Holds names of keys, never keys or their digests. Safe on any thread.
class AuditTrail {
 public:
  struct Init {
    std::size_t capacity = 256;
    /// Of the text of all records. The newest record is kept in any case.
    std::size_t max_bytes = std::size_t{8} << 20;
    /// Keys, and organisations, that one record lists; others are counted.
    std::size_t max_listed = 10000;
  };
  struct Stats {
    std::uint64_t recorded = 0;
    std::uint64_t dropped = 0;  ///< Oldest records that made room for others.
  };

  explicit AuditTrail(const Init& init) : init_(init) {}

  /// Returns the number of the record; the first is 1.
  std::uint64_t Add(const AuditRecord& record);

  /// Records with a number above `after`, oldest first, one JSON object per
  /// line. The member `number` is what to pass as `after` next.
  std::string ReadAfter(std::uint64_t after) const;

  Stats stats() const;

 private:
  Init init_;
  mutable std::mutex mutex_;
  std::deque<std::pair<std::uint64_t, std::string>> lines_;
  std::size_t bytes_ = 0;  ///< Of all lines.
  Stats stats_;
};

/// Fields of the log event for a record.
LogFields AuditFields(const AuditRecord& record);

}  // namespace lentilcross
