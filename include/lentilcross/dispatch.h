#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "lentilcross/error.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Records which calls this daemon has written, or may still write, to its
/// targets. Drops duplicate calls. A cancelled call that was not written is
/// fenced: it is never written, so that "not run" is certain.
class DispatchFence {
 public:
  struct Init {
    /// How long an ended call is remembered. Must exceed the longest timeout.
    Duration retention = std::chrono::minutes(2);
    std::size_t max_calls = 65536;
    std::size_t max_origins = 65536;
  };
  struct Stats {
    std::uint64_t received = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t fenced = 0;
    /// Calls whose deadline passed between admission and write.
    std::uint64_t expired_before_write = 0;
    std::uint64_t refused_full = 0;
  };
  /// Identifies a call by the sending process and its call number. Each sender
  /// numbers its calls in increasing order.
  struct CallKey {
    Incarnation origin;
    CallNumber number;
    friend bool operator==(const CallKey& a, const CallKey& b) {
      return a.origin == b.origin && a.number == b.number;
    }
  };
  struct KeyHash {
    std::size_t operator()(const CallKey& key) const noexcept {
      return CombineHash(key.origin.value(), key.number.value());
    }
  };
  enum class ReceiveResult : std::uint8_t { kNew, kDuplicate, kFenced, kFull };
  enum class CancelResult : std::uint8_t {
    kNeverRun,    ///< Fenced.
    kMayHaveRun,  ///< Written, or there is no record of the call.
  };

  explicit DispatchFence(const Init& init) : init_(init) {}

  ReceiveResult OnCall(const CallKey& key, Instant deadline, Instant now);
  /// Call right before writing the first byte. False if the call must not be
  /// written: it is fenced, expired, unknown or already written.
  bool BeginWrite(const CallKey& key, Instant now);
  /// Reports that the connection failed before any byte was written. The call
  /// may be written on another connection.
  void WriteFailedUnsent(const CallKey& key);
  void OnAnswered(const CallKey& key, Instant now);
  /// Also fences a call that has not arrived yet.
  CancelResult OnCancel(const CallKey& key, Instant now);
  /// Forgets calls that did not change for `retention`, except running ones.
  /// From then on, a call of the same sender with the same or a lower number
  /// counts as a duplicate.
  void Tick(Instant now);

  std::size_t size() const { return calls_.size(); }
  const Stats& stats() const { return stats_; }

 private:
  enum class State : std::uint8_t { kQueued, kWriting, kAnswered, kFenced };
  struct Entry {
    State state = State::kQueued;
    Instant deadline{};
    Instant updated_at{};
  };
  /// Entry of the expiry queue; outdated if `updated_at` differs from the call.
  struct Expiry {
    CallKey key;
    Instant updated_at{};
  };

  bool IsForgotten(const CallKey& key) const;
  void RenewExpiry(const CallKey& key, Entry& entry, Instant now);
  void Forget(const CallKey& key);

  Init init_;
  Stats stats_;
  std::unordered_map<CallKey, Entry, KeyHash> calls_;
  std::deque<Expiry> expiries_;
  /// Highest forgotten call number of each sender.
  std::unordered_map<Incarnation, std::uint64_t> forgotten_up_to_;
};

}  // namespace lentilcross
