#include <boost/test/unit_test.hpp>

#include "daemon/fleet.h"

namespace lentilcross::testing {
namespace {

/// Answers with its own name and the body of an onward call.
FakeTarget::Handler ForwardTo(const std::string& path) {
  return [path](FakeTarget& target, const FakeServer::Exchange& exchange) {
    web::HttpRequest onward;
    onward.target = path;
    target.CallOnward(
        exchange, onward, [exchange](const web::HttpResult& result) {
          exchange->Reply(web::MakeResponse(result.response.status,
                                            "text/plain",
                                            "front+" + result.response.body));
        });
  };
}

// Guards against a request path that loses a hop, leaks the caller's key or a
// caller's own context header to a target, or changes the answer on its way.
BOOST_AUTO_TEST_CASE(request_with_onward_call_over_three_daemons) {
  Fleet fleet;
  fleet.AddHost("entry", "domain-1", {});
  fleet.AddHost("front", "domain-1",
                {{"front-1", "front", ForwardTo("/back")}});
  fleet.AddHost("back", "domain-2", {{"back-1", "back", AnswerWith("back")}});
  fleet.AddRoute("/front", "front");
  fleet.AddRoute("/back", "back");
  fleet.Start();

  const auto result =
      fleet.Call("entry", "/front/items?x=1",
                 {{"X-Api-Key", "secret"}, {"Lentilcross-Context", "forged"}});
  BOOST_TEST(result.response.status == 200);
  BOOST_TEST(result.response.body == "front+back");

  const auto at_front = fleet.target("front-1").received();
  BOOST_REQUIRE(at_front.size() == 1);
  BOOST_TEST(at_front[0].target == "/front/items?x=1");
  BOOST_TEST(at_front[0].header("X-Api-Key").empty());
  BOOST_TEST(at_front[0].header("Lentilcross-Context") != "forged");
  BOOST_TEST(at_front[0].header("Lentilcross-Context").size() == 32);
  BOOST_TEST(!at_front[0].header("Request-Timeout-Ms").empty());
  BOOST_TEST(at_front[0].header("Lentilcross-Importance") == "lookup");
  const auto at_back = fleet.target("back-1").received();
  BOOST_REQUIRE(at_back.size() == 1);
  BOOST_TEST(at_back[0].header("Lentilcross-Context") !=
             at_front[0].header("Lentilcross-Context"));
}

}  // namespace
}  // namespace lentilcross::testing
