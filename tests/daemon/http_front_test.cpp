#include "http_front.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace lentilcross::testing {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr Duration kPatience = std::chrono::seconds(10);

/// A listener that answers each request as a daemon that drains does, and one
/// connection to it.
struct Setup {
  Setup() {
    HttpFront::Hooks hooks;
    hooks.on_request = [this](HttpFront::ExchangeId exchange, HttpRequest&&) {
      front->Respond(exchange, MakeResponse(503, "text/plain", "draining"));
    };
    hooks.on_abandoned = [](HttpFront::ExchangeId) {};
    front = std::make_unique<HttpFront>(io, HttpFront::Init{}, hooks);
    const Endpoint endpoint = front->Listen({"127.0.0.1", 0}).value();
    caller.connect({boost::asio::ip::make_address(endpoint.ip), endpoint.port});
    RunUntil([this] { return front->stats().connections == 1; });
    front->BeginDrain();
  }

  void Send(const std::string& text) {
    boost::asio::write(caller, boost::asio::buffer(text));
  }

  bool RunUntil(const std::function<bool()>& fits) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!fits() && std::chrono::steady_clock::now() < end) {
      io.restart();  // It stops whenever nothing is left to wait for.
      io.run_one_for(milliseconds(10));
    }
    return fits();
  }

  /// All bytes up to the close.
  std::string ReadAnswer() {
    std::string answer;
    boost::system::error_code error;
    bool ended = false;
    boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer),
                            [&](boost::system::error_code code, std::size_t) {
                              error = code;
                              ended = true;
                            });
    BOOST_TEST(RunUntil([&] { return ended; }));
    BOOST_TEST((error == boost::asio::error::eof), error.message());
    return answer;
  }

  boost::asio::io_context io{1};
  std::unique_ptr<HttpFront> front;
  tcp::socket caller{io};
};

// Guards against a request that arrives while the listener closes and gets a
// reset in place of an answer.
BOOST_AUTO_TEST_CASE(request_unread_at_the_close_is_answered) {
  Setup setup;
  setup.Send("GET /look HTTP/1.1\r\nHost: a\r\n\r\n");
  // The bytes are in the socket, and the loop has not run since.
  setup.front->Close();
  const std::string answer = setup.ReadAnswer();
  BOOST_TEST(answer.rfind("HTTP/1.1 503", 0) == 0U, answer);
}

// Guards against a request that is cut because its end arrives after the close.
BOOST_AUTO_TEST_CASE(request_half_read_at_the_close_is_answered) {
  for (const std::string first :
       {"GET /look HTTP/1.1\r\nHo",
        "POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"}) {
    Setup setup;
    setup.Send(first);
    setup.io.run_for(milliseconds(50));
    setup.front->Close();
    setup.io.run_for(milliseconds(50));
    setup.Send(first[0] == 'G' ? "st: a\r\n\r\n" : "cd");
    const std::string answer = setup.ReadAnswer();
    BOOST_TEST(answer.rfind("HTTP/1.1 503", 0) == 0U, answer);
  }
}

// Guards against a connection that is established when the listener closes but
// not accepted yet, and is reset with the request on it.
BOOST_AUTO_TEST_CASE(connection_not_accepted_at_the_close_is_served) {
  Setup setup;
  const tcp::endpoint listener = setup.caller.remote_endpoint();
  setup.caller.close();
  setup.caller.connect(listener);
  setup.Send("GET /look HTTP/1.1\r\nHost: a\r\n\r\n");
  setup.front->Close();
  const std::string answer = setup.ReadAnswer();
  BOOST_TEST(answer.rfind("HTTP/1.1 503", 0) == 0U, answer);
}

// Guards against idle connections that keep a listener from closing.
BOOST_AUTO_TEST_CASE(idle_connections_end_with_the_close) {
  Setup setup;
  setup.front->Close();
  BOOST_TEST(setup.ReadAnswer().empty());
  BOOST_TEST(setup.RunUntil([&] { return setup.front->closed(); }));
}

}  // namespace
}  // namespace lentilcross::testing
