#include <atomic>
#include <boost/test/unit_test.hpp>

#include "daemon/fleet.h"

namespace lentilcross::testing {
namespace {

void Hold(FakeTarget& target, const FakeServer::Exchange& exchange) {
  target.Hold(exchange);
}

// Guards against a planned stop of the target's daemon, or of the entry daemon,
// that cuts a running request, and against new work at a leaving target.
BOOST_AUTO_TEST_CASE(shutdown_lets_running_requests_finish) {
  Fleet fleet;
  fleet.AddHost("entry", "domain-1", {});
  fleet.AddHost("leaving", "domain-1", {{"back-1", "back", Hold}});
  fleet.AddHost("staying", "domain-1",
                {{"back-2", "back", AnswerWith("other")}});
  fleet.AddRoute("/look", "back");
  fleet.Start();

  std::atomic<int> good{0};
  std::vector<std::thread> callers;
  callers.reserve(8);
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&] {
      if (fleet.Call("entry", "/look").response.status == 200) ++good;
    });
  }
  BOOST_TEST(fleet.at("entry").WaitStats(
      [](const DaemonStats& stats) { return stats.caller.requests == 8; }));
  BOOST_TEST(fleet.target("back-1").WaitReceived(1));
  fleet.at("leaving").daemon().RequestShutdown();
  BOOST_TEST(fleet.at("leaving").WaitLog("draining"));
  const auto is_leaving = [](const DaemonStats& stats) {
    for (const MemberStatus& member : stats.members) {
      if (member.host == "leaving") return member.state == "leaving";
    }
    return false;
  };
  BOOST_TEST(fleet.at("entry").WaitStats(is_leaving));
  const std::size_t before = fleet.target("back-1").received().size();
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(fleet.Call("entry", "/look").response.body == "other");
  }
  BOOST_TEST(fleet.target("back-1").received().size() == before);

  fleet.at("entry").daemon().RequestShutdown();
  BOOST_TEST(fleet.at("entry").WaitLog("draining"));
  const auto refused = fleet.Call("entry", "/look").response;
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(ProblemMember(refused, "reason") == "draining");
  BOOST_TEST(ProblemMember(refused, "outcome") == "not-run");

  fleet.target("back-1").AnswerHeld("done");
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(good == 8);
  BOOST_TEST(fleet.at("leaving").Join() == 0);
  BOOST_TEST(fleet.at("entry").Join() == 0);
}

// Guards against requests that come late in a planned stop, are passed on, and
// are cut without an answer when the time for the stop is over. The caller
// keeps sending until the process is gone. Each request takes most of the time
// between the end of the notice and the limit.
BOOST_AUTO_TEST_CASE(request_late_in_a_stop_is_answered) {
  constexpr auto kNotice = std::chrono::milliseconds(300);
  constexpr auto kLimit = std::chrono::milliseconds(1500);
  constexpr auto kWork = std::chrono::milliseconds(800);
  const auto answer_later = [kWork](FakeTarget& target,
                                    const FakeServer::Exchange& exchange) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        target.server().io(), kWork);
    timer->async_wait([timer, exchange](boost::system::error_code) {
      exchange->Reply(web::MakeResponse(200, "text/plain", "done"));
    });
  };
  Fleet fleet;
  fleet.AddHost("only", "domain-1", {{"back-1", "back", answer_later}},
                [kNotice, kLimit](DaemonInit& init) {
                  init.drain_notice = kNotice;
                  init.drain_timeout = kLimit;
                });
  fleet.AddRoute("/look", "back");
  fleet.Start();

  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> cut{0};
  std::vector<std::thread> callers;
  const auto stop = std::chrono::steady_clock::now();
  fleet.at("only").daemon().RequestShutdown();
  while (std::chrono::steady_clock::now() - stop < kLimit) {
    callers.emplace_back([&] {
      const auto result = fleet.Call("only", "/look");
      // Not connected, or crossed the close; the check below tells whether such
      // a request was passed on.
      if (result.failure != web::HttpFailure::kNone) return;
      if (result.response.status == 200) {
        ++served;
      } else if (ProblemMember(result.response, "outcome") == "not-run") {
        ++refused;
      } else {
        ++cut;
      }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(fleet.at("only").Join() == 0);
  BOOST_TEST(cut == 0);
  BOOST_TEST(refused > 0);
  // Everything that reached the target was answered with its answer.
  BOOST_TEST(served ==
             static_cast<int>(fleet.target("back-1").received().size()));
  BOOST_TEST(served > 0);
}

// Guards against a drain that never ends when a limit is set, and against an
// answer that claims more than is known about a request that was cut.
BOOST_AUTO_TEST_CASE(drain_timeout_answers_what_still_runs) {
  Fleet fleet;
  fleet.AddHost("only", "domain-1", {{"back-1", "back", Hold}},
                [](DaemonInit& init) {
                  init.drain_timeout = std::chrono::milliseconds(100);
                });
  fleet.AddRoute("/look", "back");
  fleet.Start();
  web::HttpResult cut;
  std::thread caller([&] { cut = fleet.Call("only", "/look"); });
  BOOST_TEST(fleet.target("back-1").WaitReceived(1));
  fleet.at("only").daemon().RequestShutdown();
  BOOST_TEST(fleet.at("only").Join() == 1);
  caller.join();
  BOOST_TEST(cut.response.status == 503);
  BOOST_TEST(ProblemMember(cut.response, "outcome") == "unknown");
}

}  // namespace
}  // namespace lentilcross::testing
