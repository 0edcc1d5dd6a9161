#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "daemon/fleet.h"

namespace lentilcross::testing {
namespace {

const Json kKeyed = {{"open", false}};

/// One fleet for all cases: an owner of quota has no tokens before the handover
/// of 5 s has passed.
struct KeyedFleet {
  KeyedFleet() {
    fleet.AddHost("entry", "domain-1",
                  {{"back-1", "back", AnswerWith("seen")}});
    fleet.AddHost("other", "domain-1",
                  {{"back-2", "back", AnswerWith("seen")}});
    fleet.AddRoute("/look", "back", kKeyed);
    fleet.AddRoute("/open", "back");
    fleet.AddKey("coopers", "key of coopers");
    fleet.AddKey("millers", "key of millers");
    fleet.Start();
  }

  web::HttpResponse Look(const std::string& key) {
    return fleet.Call("entry", "/look", {{"X-Api-Key", key}}).response;
  }

  /// Repeats until the quotas are in force.
  bool WaitAdmitted(const std::string& key) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < end) {
      if (Look(key).status == 200) return true;
    }
    return false;
  }

  std::size_t Runs() {
    return fleet.target("back-1").received().size() +
           fleet.target("back-2").received().size();
  }

  Fleet fleet;
};

/// Stops the fleet before static objects are destroyed: websocketpp reports the
/// end of a listener with an error category that is one of them.
struct SharedFleet {
  SharedFleet() { keyed = std::make_unique<KeyedFleet>(); }
  ~SharedFleet() { keyed.reset(); }

  static inline std::unique_ptr<KeyedFleet> keyed;
};

BOOST_TEST_GLOBAL_FIXTURE(SharedFleet);

KeyedFleet& Shared() { return *SharedFleet::keyed; }

void CheckRefused(const web::HttpResponse& response, int status,
                  const std::string& reason) {
  BOOST_TEST(response.status == status);
  BOOST_TEST(ProblemMember(response, "reason") == reason);
  BOOST_TEST(ProblemMember(response, "outcome") == "not-run");
}

// Guards against a keyed route that runs without a key of its organisation.
BOOST_AUTO_TEST_CASE(missing_and_unknown_keys_do_not_run) {
  KeyedFleet& keyed = Shared();
  const std::size_t before = keyed.Runs();
  CheckRefused(keyed.fleet.Call("entry", "/look").response, 401, "missing-key");
  CheckRefused(keyed.Look("no such key"), 401, "unknown-key");
  CheckRefused(keyed.fleet.Call("entry", "/nowhere").response, 404,
               "unknown-route");
  BOOST_TEST(keyed.Runs() == before);
}

// Guards against a key that reaches a target on an open route, where nobody
// checks it.
BOOST_AUTO_TEST_CASE(key_on_an_open_route_is_not_forwarded) {
  KeyedFleet& keyed = Shared();
  const auto result =
      keyed.fleet.Call("entry", "/open", {{"X-Api-Key", "key of coopers"}});
  BOOST_TEST(result.response.status == 200);
  for (const std::string target : {"back-1", "back-2"}) {
    for (const auto& request : keyed.fleet.target(target).received()) {
      BOOST_TEST(request.header("X-Api-Key").empty());
    }
  }
}

// Guards against a withdrawn key that goes on working on a connection that was
// opened before, and against a withdrawal that hits other keys.
BOOST_AUTO_TEST_CASE(withdrawn_key_stops_on_an_open_connection) {
  KeyedFleet& keyed = Shared();
  BOOST_TEST(keyed.WaitAdmitted("key of coopers"));
  BOOST_TEST(keyed.WaitAdmitted("key of millers"));

  boost::asio::io_context io;
  const auto client = web::HttpClient::Create(
      io, ToText(keyed.fleet.at("entry").daemon().caller()));
  const auto call = [&](const std::string& key) {
    web::HttpResponse response;
    web::HttpRequest request;
    request.target = "/look";
    request.headers.emplace_back("X-Api-Key", key);
    client->Send(
        request, std::chrono::seconds(10),
        [&](const web::HttpResult& result) { response = result.response; });
    io.restart();
    // Ends when the response is there: the client keeps no timer after it.
    while (response.body.empty() && io.run_one() != 0) {
    }
    return response;
  };
  BOOST_TEST(call("key of coopers").status == 200);
  const auto connections = keyed.fleet.at("entry").stats().caller.connections;

  keyed.fleet.Publish(
      [](Json& document) { document["keys"]["coopers"]["withdrawn"] = true; });
  const std::uint64_t version = keyed.fleet.version();
  for (const std::string host : {"entry", "other"}) {
    BOOST_TEST(keyed.fleet.at(host).WaitStats([&](const DaemonStats& stats) {
      return stats.version.value() == version;
    }));
  }
  CheckRefused(call("key of coopers"), 403, "withdrawn-key");
  BOOST_TEST(call("key of millers").status == 200);
  BOOST_TEST(connections > 0);
}

}  // namespace
}  // namespace lentilcross::testing
