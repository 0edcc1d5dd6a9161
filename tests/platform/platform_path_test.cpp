// The whole path in the platform's words: store, two daemons, targets that
// speak the published format.

#include "platform/path_setup.h"

namespace lentilcross::testing {
namespace {

using std::chrono::milliseconds;
using Setup = PathSetup;

// Guards against a path that leaks the key, trusts a caller's own headers or
// changes the answer.
BOOST_AUTO_TEST_CASE(request_reaches_a_target_of_another_host) {
  Setup setup;
  const auto response = setup.Send("POST", "/book/7?x=1");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body == "body of the target");
  BOOST_TEST(response.header("X-Lentilcross-Server-Seal") == "seal-1");

  const auto received = setup.ledger_host->target.received();
  BOOST_REQUIRE(received.size() == 1U);
  const web::HttpRequest& at_target = received[0];
  BOOST_TEST(at_target.method == "POST");
  BOOST_TEST(at_target.target == "/book/7?x=1");
  BOOST_TEST(at_target.header("Host") == "shop.example");
  BOOST_TEST(at_target.header("X-Lentilcross-Key").empty());
  BOOST_TEST(at_target.header("X-Lentilcross-Tenant") == "coopers");
  BOOST_TEST(at_target.header("X-Lentilcross-Caller-Service") == "stock");
  BOOST_TEST(at_target.header("X-Lentilcross-Expect-Instance") == "i-ledger");
  BOOST_TEST(at_target.header("X-Lentilcross-Request-Id") ==
             "9c41d07be2a35f68");
  BOOST_TEST(at_target.header("Lentilcross-Context").empty());
  const int left =
      std::stoi(std::string(at_target.header("X-Lentilcross-Deadline-Ms")));
  BOOST_TEST(left <= 2000);  // the timeout of the route
  BOOST_TEST(left > 1000);
}

BOOST_AUTO_TEST_CASE(refusals_have_the_platforms_statuses) {
  Setup setup;
  BOOST_TEST(setup.Send("GET", "/nowhere/1").status == 404);
  BOOST_TEST(
      setup.Send("GET", "/look/1", {{"X-Lentilcross-Key", "wrong"}}).status ==
      401);
  setup.store.Delete("servers/i-ledger");
  // No target is left, so that it has not run.
  BOOST_TEST(setup.StatusOnceRefused() == 503);
  const auto before = setup.ledger_host->target.received().size();
  BOOST_TEST(setup.Send("POST", "/book/1").status == 503);
  BOOST_TEST(setup.ledger_host->target.received().size() == before);
  // Its daemon keeps its part in quotas.
  BOOST_TEST(setup.stock->daemon->stats().members.size() == 2U);
}

// Guards against a request that reaches a target whose leaving was announced.
BOOST_AUTO_TEST_CASE(draining_target_gets_no_new_request) {
  Setup setup;
  setup.Register("i-ledger", "ledger", "127.0.0.3", "draining");
  BOOST_TEST(setup.StatusOnceRefused() == 503);
  const auto before = setup.ledger_host->target.received().size();
  BOOST_TEST(setup.Send("POST", "/book/1").status == 503);
  BOOST_TEST(setup.ledger_host->target.received().size() == before);
}

/// Answers 503 with, or without, the statement that it did not run.
FakeTarget::Handler Refusing(bool states_not_run) {
  return [states_not_run](FakeTarget&, const FakeServer::Exchange& exchange) {
    web::HttpResponse response = web::MakeResponse(503, "text/plain", "");
    response.headers.emplace_back(
        "X-Lentilcross-Request-Id",
        std::string(exchange->request().header("X-Lentilcross-Request-Id")));
    if (states_not_run) {
      response.headers.emplace_back("X-Lentilcross-Not-Executed", "1");
    }
    exchange->Reply(std::move(response));
  };
}

// Guards against "not run" for a booking of which the target does not say so.
BOOST_AUTO_TEST_CASE(only_a_stated_refusal_counts_as_not_run) {
  {
    Setup setup(Refusing(true));
    BOOST_TEST(setup.Send("POST", "/book/1").status == 503);
  }
  Setup setup(Refusing(false));
  BOOST_TEST(setup.Send("POST", "/book/1").status == 502);
}

/// Answers that are not the whole answer of the target to this request.
BOOST_AUTO_TEST_CASE(answers_that_are_not_genuine_are_failures) {
  const auto change = [](std::function<void(web::HttpResponse&)> spoil) {
    return [spoil = std::move(spoil)](FakeTarget&,
                                      const FakeServer::Exchange& exchange) {
      web::HttpResponse response =
          web::MakeResponse(200, "text/plain", "spoiled");
      response.headers = {
          {"X-Lentilcross-Request-Id",
           std::string(exchange->request().header("X-Lentilcross-Request-Id"))},
          {"X-Lentilcross-Server-Seal", "seal-1"}};
      spoil(response);
      exchange->Reply(std::move(response));
    };
  };
  const std::vector<FakeTarget::Handler> handlers = {
      change([](web::HttpResponse& r) { r.headers.pop_back(); }),
      change([](web::HttpResponse& r) {
        r.headers.emplace_back("Content-Encoding", "gzip");
      }),
      change([](web::HttpResponse& r) { r.headers.erase(r.headers.begin()); })};
  for (const auto& handler : handlers) {
    Setup setup(handler);
    BOOST_TEST(setup.Send("POST", "/book/1").status == 502);
  }
}

// Guards against a configuration that is withdrawn late on open connections.
BOOST_AUTO_TEST_CASE(withdrawn_key_stops_working) {
  Setup setup;
  BOOST_TEST(setup.Send("GET", "/look/1").status == 200);
  Json next = MakeOperatorConfiguration(4);
  next["tenants"][0]["api-keys"] = {"another"};
  setup.store.Put("op/config", next.dump());
  BOOST_TEST(setup.stock->daemon->WaitStats(
      [](const DaemonStats& stats) { return stats.version == Version(4); }));
  BOOST_TEST(setup.Send("GET", "/look/1").status == 401);
}

}  // namespace
}  // namespace lentilcross::testing
