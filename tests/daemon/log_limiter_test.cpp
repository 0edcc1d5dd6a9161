#include "log_limiter.h"

#include <boost/test/unit_test.hpp>

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart = Instant{} + seconds(10);

// Guards against a log that grows with an overload, and against lines that are
// left out without a word.
BOOST_AUTO_TEST_CASE(lines_of_one_event_are_bounded_and_counted) {
  LogLimiter limiter(LogLimiter::Init{10, 40});
  int written = 0;
  std::uint64_t left_out = 0;
  for (int i = 0; i < 5000; ++i) {
    const auto verdict =
        limiter.Admit("request-refused", kStart + milliseconds(i));
    written += verdict.write ? 1 : 0;
    left_out += verdict.left_out;
  }
  BOOST_TEST(written <= 40 + 5 * 10);
  BOOST_TEST(written >= 40 + 4 * 10);
  const auto last = limiter.Admit("request-refused", kStart + seconds(60));
  BOOST_TEST(last.write);
  BOOST_TEST(written + left_out + last.left_out == 5000U);
}

// Guards against one frequent event that silences the others.
BOOST_AUTO_TEST_CASE(events_have_bounds_of_their_own) {
  LogLimiter limiter(LogLimiter::Init{1, 2});
  for (int i = 0; i < 10; ++i) limiter.Admit("request-refused", kStart);
  BOOST_TEST(limiter.Admit("peer-refused", kStart).write);
}

}  // namespace
}  // namespace lentilcross
