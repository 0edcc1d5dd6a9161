#include "http_front.h"

#include <array>
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
    hooks.on_client_disconnect = [](HttpFront::ExchangeId) {};
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

// Guards against memory without bound where a caller sends bytes that never
// make a request.
BOOST_AUTO_TEST_CASE(request_without_end_is_refused) {
  constexpr std::size_t kMostBytes = std::size_t{16} << 20;
  const std::string head = "POST /book HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& begin :
       {head + "X-Padding: ", chunked + "5;e=", chunked + "0\r\nX-Padding: "}) {
    Setup setup;
    setup.Send(begin);
    setup.caller.non_blocking(true);
    const std::string padding(65536, 'x');
    std::size_t sent = 0;
    boost::system::error_code error;
    const bool ended = setup.RunUntil([&] {
      if (setup.front->stats().malformed > 0) return true;
      sent += setup.caller.write_some(boost::asio::buffer(padding), error);
      return sent > kMostBytes;
    });
    BOOST_TEST(ended);
    BOOST_TEST(setup.front->stats().malformed == 1U, begin);
  }
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

/// A listener whose requests the test answers itself.
struct Manual {
  Manual() {
    HttpFront::Hooks hooks;
    hooks.on_request = [this](HttpFront::ExchangeId id, HttpRequest&& request) {
      requests.emplace_back(id, request.target);
    };
    hooks.on_client_disconnect = [this](HttpFront::ExchangeId id) {
      abandoned.push_back(id);
    };
    HttpFront::Init init;
    init.max_pipelined = 3;
    front = std::make_unique<HttpFront>(io, init, hooks);
    const Endpoint endpoint = front->Listen({"127.0.0.1", 0}).value();
    caller.connect({boost::asio::ip::make_address(endpoint.ip), endpoint.port});
  }

  void Send(const std::string& path) {
    boost::asio::write(caller, boost::asio::buffer("GET " + path +
                                                   " HTTP/1.1\r\n"
                                                   "Host: a\r\n\r\n"));
  }
  bool RunUntil(const std::function<bool()>& fits) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!fits() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(milliseconds(10));
    }
    return fits();
  }
  void Answer(std::size_t index, const std::string& body) {
    front->Respond(requests[index].first,
                   MakeResponse(200, "text/plain", body));
  }
  /// Reads until the text has arrived.
  bool ReadUntil(const std::string& text) {
    caller.non_blocking(true);
    return RunUntil([&] {
      std::array<char, 4096> bytes{};
      boost::system::error_code error;
      const auto size = caller.read_some(boost::asio::buffer(bytes), error);
      if (!error) received.append(bytes.data(), size);
      return received.find(text) != std::string::npos;
    });
  }

  boost::asio::io_context io{1};
  std::unique_ptr<HttpFront> front;
  tcp::socket caller{io};
  std::vector<std::pair<HttpFront::ExchangeId, std::string>> requests;
  std::vector<HttpFront::ExchangeId> abandoned;
  std::string received;
};

// Guards against a request that is read only once the one before it on the
// connection has been answered, and against answers in another order.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_handled_side_by_side) {
  Manual manual;
  for (const char* path : {"/1", "/2", "/3"}) manual.Send(path);
  BOOST_REQUIRE(manual.RunUntil([&] { return manual.requests.size() == 3; }));
  manual.Answer(2, "third");
  manual.Answer(1, "second");
  manual.io.run_for(milliseconds(20));
  manual.Answer(0, "first");
  BOOST_TEST(manual.ReadUntil("third"));
  const auto& text = manual.received;
  BOOST_TEST(text.find("first") < text.find("second"));
  BOOST_TEST(text.find("second") < text.find("third"));
}

// Guards against an unbounded number of requests of one connection.
BOOST_AUTO_TEST_CASE(pipeline_is_bounded_and_goes_on) {
  Manual manual;
  for (const char* path : {"/1", "/2", "/3", "/4"}) manual.Send(path);
  BOOST_REQUIRE(manual.RunUntil([&] { return manual.requests.size() == 3; }));
  manual.io.run_for(milliseconds(50));
  BOOST_TEST(manual.requests.size() == 3U);
  manual.Answer(0, "first");
  BOOST_TEST(manual.RunUntil([&] { return manual.requests.size() == 4; }));
}

// Guards against work that goes on for a caller that has left.
BOOST_AUTO_TEST_CASE(close_abandons_all_requests_of_the_connection) {
  Manual manual;
  manual.Send("/1");
  manual.Send("/2");
  BOOST_REQUIRE(manual.RunUntil([&] { return manual.requests.size() == 2; }));
  manual.caller.close();
  BOOST_TEST(manual.RunUntil([&] { return manual.abandoned.size() == 2; }));
}

// Guards against an answer behind the one that closes the connection: its
// caller takes the request as unread and sends it again.
BOOST_AUTO_TEST_CASE(requests_behind_a_closing_answer_are_abandoned) {
  Manual manual;
  manual.Send("/1");
  manual.Send("/2");
  BOOST_REQUIRE(manual.RunUntil([&] { return manual.requests.size() == 2; }));
  manual.front->BeginDrain();
  manual.Answer(0, "first");
  BOOST_TEST(manual.ReadUntil("first"));
  BOOST_TEST(manual.RunUntil([&] { return manual.abandoned.size() == 1; }));
  BOOST_TEST(manual.received.find("Connection: close") != std::string::npos);
}

}  // namespace
}  // namespace lentilcross::testing
