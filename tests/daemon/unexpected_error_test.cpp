#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

#include "daemon/fleet.h"
#include "guarded_run.h"

namespace lentilcross::testing {

// Guards against a process that ends because one handler throws, and against
// an error that nobody is told of.
BOOST_AUTO_TEST_CASE(handler_that_throws_ends_alone) {
  boost::asio::io_context io;
  int handled = 0;
  boost::asio::post(io, [&] { ++handled; });
  boost::asio::post(io, [] { throw std::runtime_error("unexpected"); });
  boost::asio::post(io, [&] { ++handled; });
  std::vector<std::string> logged;
  RunGuarded(io, "data", [&](LogLevel, const std::string& event, const auto&) {
    logged.push_back(event);
  });
  BOOST_TEST(handled == 2);
  BOOST_TEST(logged == std::vector<std::string>{"unexpected-error"},
             boost::test_tools::per_element());
}

// Guards against a daemon that is gone, or goes on without its timers, after an
// error on the thread that applies configurations.
BOOST_AUTO_TEST_CASE(daemon_serves_after_an_unexpected_error) {
  int audits = 0;
  Fleet fleet;
  fleet.AddHost("only", "domain-1", {{"only-1", "back", AnswerWith("seen")}},
                [&audits](DaemonInit& init) {
                  init.on_audit = [&audits](const AuditRecord&) {
                    ++audits;
                    throw std::runtime_error("audit trail is gone");
                  };
                });
  fleet.AddRoute("/look", "back");
  fleet.Start();
  BOOST_TEST(fleet.at("only").WaitLog("unexpected-error"));
  BOOST_TEST(fleet.Call("only", "/look").response.status == 200);
}

}  // namespace lentilcross::testing
