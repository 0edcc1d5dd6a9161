#include "load_report.h"

#include <boost/test/unit_test.hpp>

namespace lentilcross {
namespace {

std::vector<Span> EveryMilliseconds(int step, int count) {
  std::vector<Span> spans;
  for (int i = 0; i < count; ++i) {
    const Instant sent{std::chrono::milliseconds(i * step)};
    spans.push_back({sent, sent + std::chrono::milliseconds(1)});
  }
  return spans;
}

}  // namespace

// Guards against a check that misses an organisation above its rate, or that
// accuses one that is within it.
BOOST_AUTO_TEST_CASE(window_excess_finds_the_worst_window) {
  BOOST_TEST(WindowExcess(EveryMilliseconds(100, 100), 10, 1) == 0);
  // 100 in 9.901 s at 5 per second with a burst of 10.
  BOOST_TEST(std::abs(WindowExcess(EveryMilliseconds(100, 100), 5, 10) -
                      (100 - 5 * 9.901 - 10)) < 1e-9);
  // A burst of 20 at one instant, hidden in an idle minute.
  std::vector<Span> spans = EveryMilliseconds(1000, 60);
  const Span burst = spans[30];
  spans.insert(spans.end(), 20, burst);
  BOOST_TEST(WindowExcess(spans, 2, 10) > 10);
}

// Guards against spans counted in windows that they only touch: a late response
// says nothing about when its request was admitted.
BOOST_AUTO_TEST_CASE(long_spans_prove_no_excess) {
  const Span span = {Instant{}, Instant{std::chrono::seconds(5)}};
  BOOST_TEST(WindowExcess(std::vector<Span>(50, span), 10, 1) == 0);
}

// Guards against an expectation that holds because it names nothing.
BOOST_AUTO_TEST_CASE(expectations_compare_members) {
  const nlohmann::json report = {{"ok", 5}, {"reasons", {{"overloaded", 2}}}};
  const auto holds = [&](const std::string& text) {
    const auto expectation = Expectation::Parse(text);
    return expectation.has_value() && expectation->Holds(report);
  };
  BOOST_TEST(holds("/ok=5"));
  BOOST_TEST(holds("/ok>=5"));
  BOOST_TEST(!holds("/ok>5"));
  BOOST_TEST(holds("/reasons/overloaded<=2"));
  BOOST_TEST(holds("/reasons/draining=0"));
  BOOST_TEST(!holds("/reason/draining=0"));
  BOOST_TEST(!holds("/reasons=0"));
  BOOST_TEST(!Expectation::Parse("ok=5").has_value());
  BOOST_TEST(!Expectation::Parse("/ok").has_value());
  BOOST_TEST(!Expectation::Parse("/ok=five").has_value());
  BOOST_TEST(!Expectation::Parse("/~ok=5").has_value());
}

}  // namespace lentilcross
