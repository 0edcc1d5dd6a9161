#include "lentilcross/dispatch.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>

namespace lentilcross {
namespace {

using CallKey = DispatchFence::CallKey;

// Actual state of a call, independent of what the fence recorded.
struct CallState {
  bool written = false;
  bool promised_never_run = false;
};

// Applies random events to a fence and checks its answers.
class Model {
 public:
  explicit Model(std::size_t max_calls)
      : fence_({std::chrono::seconds(10), max_calls, 16}) {}

  void Step() {
    now_ += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
    const auto number = *rc::gen::inRange<std::uint64_t>(1, 12);
    const CallKey key{Incarnation(*rc::gen::inRange<std::uint64_t>(1, 3)),
                      CallNumber(number)};
    CallState& call = calls_[{key.origin.value(), number}];
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        fence_.OnCall(key, now_ + std::chrono::seconds(3), now_);
        break;
      case 1:
        Write(key, call);
        break;
      case 2:
        if (!call.written) fence_.WriteFailedUnsent(key);
        break;
      case 3:
        if (call.written) fence_.OnAnswered(key, now_);
        break;
      case 4:
        Cancel(key, call);
        break;
      default:
        fence_.Tick(now_);
    }
  }

 private:
  void Write(const CallKey& key, CallState& call) {
    if (!fence_.BeginWrite(key, now_)) return;
    RC_ASSERT(!call.written);
    RC_ASSERT(!call.promised_never_run);
    const bool sent = *rc::gen::arbitrary<bool>();
    if (sent) {
      call.written = true;
    } else {
      fence_.WriteFailedUnsent(key);
    }
  }

  void Cancel(const CallKey& key, CallState& call) {
    const auto result = fence_.OnCancel(key, now_);
    if (result != DispatchFence::CancelResult::kNeverRun) return;
    RC_ASSERT(!call.written);
    call.promised_never_run = true;
  }

  DispatchFence fence_;
  Instant now_{std::chrono::hours(1)};
  std::map<std::pair<std::uint64_t, std::uint64_t>, CallState> calls_;
};

}  // namespace

// Guards against a call that runs twice (P7) and against "not run" for a call
// that ran or can still run (P6): with late duplicates, cancels that arrive
// before their call, forgotten calls and a full table.
BOOST_AUTO_TEST_CASE(never_run_is_true_and_no_call_is_written_twice) {
  BOOST_TEST(rc::check([] {
    Model model(*rc::gen::element<std::size_t>(3, 100));
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) model.Step();
  }));
}

// Guards against a call that is written after its caller has given up, because
// the daemon was paused between admission and write.
BOOST_AUTO_TEST_CASE(no_write_after_the_deadline) {
  DispatchFence fence({});
  const Instant now{std::chrono::hours(1)};
  const CallKey key{Incarnation(1), CallNumber(1)};
  fence.OnCall(key, now + std::chrono::milliseconds(5), now);
  BOOST_TEST(!fence.BeginWrite(key, now + std::chrono::milliseconds(5)));
  BOOST_TEST(fence.stats().expired_before_write == 1U);
  BOOST_TEST(
      (fence.OnCancel(key, now) == DispatchFence::CancelResult::kNeverRun));
}

}  // namespace lentilcross
