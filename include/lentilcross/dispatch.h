#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "lentilcross/error.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// What this daemon has sent, or may still send, to its targets. Makes "not
/// run" provable and drops duplicate calls.
class DispatchFence {
 public:
  struct Init {
    Duration memory = std::chrono::minutes(2);  ///< Longest timeout and margin.
    std::size_t max_calls = 65536;
    std::size_t max_origins = 65536;
  };
  struct Stats {
    std::uint64_t received = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t fenced = 0;
    std::uint64_t expired_before_write =
        0;  ///< Deadline passed between decision and write.
    std::uint64_t refused_full = 0;
  };
  /// Identity of a call: the sender's process and its number. A sender numbers
  /// its calls in increasing order.
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
    kNeverRun,    ///< Fenced; it can no longer be written.
    kMayHaveRun,  ///< Written, running or answered.
  };

  explicit DispatchFence(const Init& init) : init_(init) {}

  ReceiveResult OnCall(const CallKey& key, Instant deadline, Instant now);
  /// The step right before the first byte. False: the call must not be written
  /// (fenced, deadline passed, unknown, or written before).
  bool BeginWrite(const CallKey& key, Instant now);
  /// The connection failed before any byte was written; the call may be tried
  /// on another connection.
  void WriteFailedUnsent(const CallKey& key);
  void OnAnswered(const CallKey& key, Instant now);
  /// Also leaves a fence for a call that has not arrived yet.
  CancelResult OnCancel(const CallKey& key, Instant now);
  /// Forgets calls older than `memory`, except those still running. A call
  /// numbered at or below a forgotten one of its sender is a duplicate from
  /// then on.
  void Tick(Instant now);

  std::size_t size() const { return calls_.size(); }
  const Stats& stats() const { return stats_; }

 private:
  enum class State : std::uint8_t { kQueued, kWriting, kAnswered, kFenced };
  struct Entry {
    State state = State::kQueued;
    Instant deadline{};
    Instant touched{};
  };
  /// Place of an entry in the order of forgetting; stale if `touched` differs.
  struct Aged {
    CallKey key;
    Instant touched{};
  };

  bool IsForgotten(const CallKey& key) const;
  void Touch(const CallKey& key, Entry& entry, Instant now);
  void Forget(const CallKey& key);

  Init init_;
  Stats stats_;
  std::unordered_map<CallKey, Entry, KeyHash> calls_;
  std::deque<Aged> aging_;
  std::unordered_map<Incarnation, std::uint64_t> forgotten_up_to_;
};

}  // namespace lentilcross
