#include <atomic>
#include <boost/test/unit_test.hpp>

#include "daemon/fleet.h"

namespace lentilcross::testing {
namespace {

/// Holds every request until `Release`.
struct Gate {
  FakeTarget::Handler Handler() {
    return [this](FakeTarget&, const FakeServer::Exchange& exchange) {
      const std::lock_guard<std::mutex> lock(mutex);
      if (open) {
        exchange->Reply(web::MakeResponse(200, "text/plain", "done"));
      } else {
        held.push_back(exchange);
      }
    };
  }

  void Release(FakeTarget& target) {
    boost::asio::post(target.server().io(), [this] {
      const std::lock_guard<std::mutex> lock(mutex);
      open = true;
      for (const auto& exchange : held) {
        exchange->Reply(web::MakeResponse(200, "text/plain", "done"));
      }
      held.clear();
    });
  }

  std::mutex mutex;
  bool open = false;
  std::vector<FakeServer::Exchange> held;
};

// Guards against a planned stop of the target's daemon, or of the entry daemon,
// that cuts a running request, and against new work at a leaving target.
BOOST_AUTO_TEST_CASE(shutdown_lets_running_requests_finish) {
  Gate gate;
  Fleet fleet;
  fleet.AddHost("entry", "domain-1", {});
  fleet.AddHost("leaving", "domain-1", {{"back-1", "back", gate.Handler()}});
  fleet.AddHost("staying", "domain-1",
                {{"back-2", "back", AnswerWith("other")}});
  fleet.AddRoute("/look", "back");
  fleet.Start();

  std::atomic<int> good{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&] {
      if (fleet.Call("entry", "/look").response.status == 200) ++good;
    });
  }
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

  gate.Release(fleet.target("back-1"));
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(good == 8);
  BOOST_TEST(fleet.at("leaving").Join() == 0);
  BOOST_TEST(fleet.at("entry").Join() == 0);
}

// Guards against a drain that never ends when a limit is set, and against an
// answer that claims more than is known about a request that was cut.
BOOST_AUTO_TEST_CASE(drain_timeout_answers_what_still_runs) {
  Gate gate;
  Fleet fleet;
  fleet.AddHost("only", "domain-1", {{"back-1", "back", gate.Handler()}},
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
