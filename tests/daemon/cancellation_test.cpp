#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "daemon/fleet.h"

namespace lentilcross::testing {
namespace {

void Hold(FakeTarget& /*target*/, const FakeServer::Exchange& exchange) {
  static std::mutex mutex;
  static std::vector<FakeServer::Exchange> held;
  const std::lock_guard<std::mutex> lock(mutex);
  held.push_back(exchange);
}

void CallBack(FakeTarget& target, const FakeServer::Exchange& exchange) {
  web::HttpRequest onward;
  onward.target = "/back";
  target.CallOnward(exchange, onward, [exchange](const web::HttpResult& r) {
    exchange->Reply(web::MakeResponse(r.response.status, "text/plain", ""));
  });
}

void AddChain(Fleet& fleet) {
  fleet.AddHost("entry", "domain-1", {});
  fleet.AddHost("front", "domain-1", {{"front-1", "front", CallBack}});
  fleet.AddHost("back", "domain-1", {{"back-1", "back", Hold}});
  fleet.AddRoute("/front", "front");
  fleet.AddRoute("/back", "back");
  fleet.Start();
}

// Guards against work that goes on at the end of the chain after its caller has
// closed the connection.
BOOST_AUTO_TEST_CASE(caller_disconnect_reaches_the_last_target) {
  Fleet fleet;
  AddChain(fleet);
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  const Endpoint caller = fleet.at("entry").daemon().caller();
  socket.connect({boost::asio::ip::make_address(caller.ip), caller.port});
  boost::asio::write(socket, boost::asio::buffer(std::string(
                                 "GET /front HTTP/1.1\r\nHost: h\r\n\r\n")));
  BOOST_TEST(fleet.target("back-1").WaitReceived(1));
  socket.close();
  BOOST_TEST(fleet.target("front-1").WaitClosed(1));
  BOOST_TEST(fleet.target("back-1").WaitClosed(1));
}

// Guards against work that goes on after the deadline of the whole request, and
// against a deadline that each hop starts anew.
BOOST_AUTO_TEST_CASE(deadline_reaches_the_last_target) {
  Fleet fleet;
  AddChain(fleet);
  const auto result =
      fleet.Call("entry", "/front", {{"Request-Timeout-Ms", "200"}});
  BOOST_TEST(result.response.status == 504);
  BOOST_TEST(ProblemMember(result.response, "outcome") == "unknown");
  BOOST_TEST(fleet.target("front-1").WaitClosed(1));
  BOOST_TEST(fleet.target("back-1").WaitClosed(1));
  const auto received = fleet.target("back-1").received();
  BOOST_REQUIRE(received.size() == 1);
  const std::string remaining(received[0].header("Request-Timeout-Ms"));
  BOOST_TEST(std::stoi(remaining) <= 200);
}

}  // namespace
}  // namespace lentilcross::testing
