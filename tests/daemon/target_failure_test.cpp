#include <atomic>
#include <boost/test/unit_test.hpp>

#include "daemon/fleet.h"

namespace lentilcross::testing {
namespace {

const Json kBooking = {{"idempotent", false}, {"importance", "critical"}};

void AbortExchange(FakeTarget& /*target*/,
                   const FakeServer::Exchange& exchange) {
  exchange->Abort();
}

struct Setup {
  explicit Setup(FakeTarget::Handler handler) {
    fleet.AddHost("entry", "domain-1", {});
    fleet.AddHost("back", "domain-1", {{"back-1", "back", std::move(handler)}});
    fleet.AddRoute("/book", "back", kBooking);
    fleet.AddRoute("/look", "back");
    fleet.Start();
    ticket = std::string(fleet.Call("entry", "/book", {}, "POST")
                             .response.header("Idempotency-Key"));
  }

  web::HttpResponse Book() {
    return fleet.Call("entry", "/book", {{"Idempotency-Key", ticket}}, "POST")
        .response;
  }

  Fleet fleet;
  std::string ticket;
};

// Guards against "unknown" where no byte can have reached the target, which
// would burn the ticket of a booking that never ran.
BOOST_AUTO_TEST_CASE(refused_connection_is_not_run) {
  Setup setup(AnswerWith("booked"));
  setup.fleet.target("back-1").server().Stop();
  for (int i = 0; i < 2; ++i) {  // the ticket stays usable
    const auto response = setup.Book();
    BOOST_TEST(response.status == 503);
    BOOST_TEST(ProblemMember(response, "outcome") == "not-run");
  }
}

// Guards against writing to a pooled connection that the target closed while it
// was idle: the write would succeed and the outcome would be unknown.
BOOST_AUTO_TEST_CASE(connection_closed_while_idle_is_not_run) {
  Setup setup(AnswerWith("seen"));
  BOOST_TEST(setup.fleet.Call("entry", "/look").response.status == 200);
  setup.fleet.target("back-1").server().Stop();
  const auto response = setup.Book();
  BOOST_TEST(response.status == 503);
  BOOST_TEST(ProblemMember(response, "outcome") == "not-run");
}

// Guards against a claim of "not run", or a second attempt, for a booking whose
// bytes reached the target.
BOOST_AUTO_TEST_CASE(reset_after_the_request_is_unknown) {
  Setup setup(AbortExchange);
  const auto response = setup.Book();
  BOOST_TEST(response.status == 502);
  BOOST_TEST(ProblemMember(response, "reason") == "target-failed");
  BOOST_TEST(ProblemMember(response, "outcome") == "unknown");
  const auto again = setup.Book();
  BOOST_TEST(again.status == 409);
  BOOST_TEST(ProblemMember(again, "outcome") == "unknown");
  BOOST_TEST(setup.fleet.target("back-1").received().size() == 1);
}

// Guards against a lookup that fails although another target could answer it.
BOOST_AUTO_TEST_CASE(idempotent_request_is_retried_at_another_target) {
  std::atomic<bool> broken{false};
  std::atomic<int> aborted{0};
  Fleet fleet;
  fleet.AddHost("entry", "domain-1", {});
  fleet.AddHost(
      "bad", "domain-1",
      {{"back-1", "back", [&](FakeTarget& t, const FakeServer::Exchange& e) {
          if (!broken) return AnswerWith("good")(t, e);
          ++aborted;
          e->Abort();
        }}});
  fleet.AddHost("good", "domain-1", {{"back-2", "back", AnswerWith("good")}});
  fleet.AddRoute("/look", "back");
  fleet.Start();
  // Saves up the retry budget: a tenth of the first attempts.
  for (int i = 0; i < 20; ++i) fleet.Call("entry", "/look");
  broken = true;
  // The chance that the bad target is never chosen is 2^-40.
  for (int i = 0; i < 40 && aborted == 0; ++i) {
    const auto response = fleet.Call("entry", "/look").response;
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "good");
  }
  BOOST_TEST(aborted == 1);
}

// Guards against a late response on a reused connection reaching the next
// caller: the first request times out, its response is sent afterwards.
BOOST_AUTO_TEST_CASE(late_response_does_not_reach_another_request) {
  std::mutex mutex;
  FakeServer::Exchange late;
  Setup setup([&](FakeTarget&, const FakeServer::Exchange& exchange) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (exchange->request().target == "/look/slow") {
      late = exchange;
      return;
    }
    if (late) late->Reply(web::MakeResponse(200, "text/plain", "late"));
    exchange->Reply(web::MakeResponse(200, "text/plain", "own"));
  });
  const auto slow =
      setup.fleet.Call("entry", "/look/slow", {{"Request-Timeout-Ms", "100"}});
  BOOST_TEST(slow.response.status == 504);
  BOOST_TEST(ProblemMember(slow.response, "reason") == "deadline-exceeded");
  BOOST_TEST(ProblemMember(slow.response, "outcome") == "unknown");
  BOOST_TEST(setup.fleet.target("back-1").WaitClosed(1));
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(setup.fleet.Call("entry", "/look").response.body == "own");
  }
}

}  // namespace
}  // namespace lentilcross::testing
