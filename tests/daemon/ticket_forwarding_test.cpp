#include <boost/test/unit_test.hpp>

#include "daemon/fleet.h"

namespace lentilcross::testing {
namespace {

const Json kBooking = {{"idempotent", false}, {"importance", "critical"}};

struct Setup {
  explicit Setup(FakeTarget::Handler handler) {
    fleet.AddHost("entry-1", "domain-1", {});
    fleet.AddHost("entry-2", "domain-1", {});
    fleet.AddHost("back", "domain-1", {{"back-1", "back", std::move(handler)}});
    fleet.AddRoute("/book", "back", kBooking);
    fleet.Start();
  }

  std::string NewTicket(const std::string& host) {
    const auto result = fleet.Call(host, "/book", {}, "POST");
    BOOST_TEST(result.response.status == 428);
    BOOST_TEST(ProblemMember(result.response, "outcome") == "not-run");
    return std::string(result.response.header("Idempotency-Key"));
  }

  web::HttpResponse Book(const std::string& host, const std::string& ticket) {
    return fleet.Call(host, "/book", {{"Idempotency-Key", ticket}}, "POST")
        .response;
  }

  std::size_t Runs() { return fleet.target("back-1").received().size(); }

  Fleet fleet;
};

// Guards against a booking that runs once per daemon: both daemons get the same
// ticket, and only its issuer may dispatch.
BOOST_AUTO_TEST_CASE(one_ticket_at_two_daemons_runs_once) {
  Setup setup(AnswerWith("booked"));
  const std::string ticket = setup.NewTicket("entry-1");
  const auto first = setup.Book("entry-2", ticket);
  BOOST_TEST(first.status == 200);
  BOOST_TEST(first.body == "booked");
  // The kept answer, from either daemon.
  for (const std::string host : {"entry-1", "entry-2"}) {
    const auto again = setup.Book(host, ticket);
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == "booked");
  }
  BOOST_TEST(setup.Runs() == 1);
}

// Guards against a second run while the first one is still in progress.
BOOST_AUTO_TEST_CASE(ticket_in_use_is_refused) {
  std::mutex mutex;
  FakeServer::Exchange held;
  Setup setup([&](FakeTarget&, const FakeServer::Exchange& exchange) {
    const std::lock_guard<std::mutex> lock(mutex);
    held = exchange;
  });
  const std::string ticket = setup.NewTicket("entry-1");
  std::thread first(
      [&] { BOOST_TEST(setup.Book("entry-1", ticket).status == 200); });
  BOOST_TEST(setup.fleet.target("back-1").WaitReceived(1));
  const auto second = setup.Book("entry-2", ticket);
  BOOST_TEST(second.status == 409);
  BOOST_TEST(ProblemMember(second, "reason") == "ticket-in-use");
  BOOST_TEST(ProblemMember(second, "outcome") == "unknown");
  {
    const std::lock_guard<std::mutex> lock(mutex);
    boost::asio::post(setup.fleet.target("back-1").server().io(),
                      [exchange = held] {
                        exchange->Reply(web::MakeResponse(200, "", "late"));
                      });
  }
  first.join();
  BOOST_TEST(setup.Runs() == 1);
}

// Guards against an Idempotency-Key that is no ticket, or a ticket of a process
// that is gone, being taken as a new request.
BOOST_AUTO_TEST_CASE(foreign_tickets_do_not_run) {
  Setup setup(AnswerWith("booked"));
  const auto invalid = setup.Book("entry-1", "my-own-key");
  BOOST_TEST(invalid.status == 422);
  BOOST_TEST(ProblemMember(invalid, "outcome") == "not-run");

  const std::string ticket = setup.NewTicket("entry-1");
  setup.fleet.at("entry-1").daemon().RequestShutdown();
  BOOST_TEST(setup.fleet.at("entry-1").Join() == 0);
  const auto lost = setup.Book("entry-2", ticket);
  BOOST_TEST(lost.status == 503);
  BOOST_TEST(ProblemMember(lost, "reason") == "ticket-issuer-unreachable");
  BOOST_TEST(ProblemMember(lost, "outcome") == "unknown");
  BOOST_TEST(setup.Runs() == 0);
}

}  // namespace
}  // namespace lentilcross::testing
