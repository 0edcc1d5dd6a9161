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

constexpr Duration kWaitTimeout = std::chrono::seconds(10);

/// Draining listener that answers each request with 503, and a connection to
/// it.
struct DrainingListener {
  DrainingListener() {
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

  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io.restart();  // The context stops whenever it has no work.
      io.run_one_for(milliseconds(10));
    }
    return condition();
  }

  /// Reads until the listener closes the connection.
  std::string ReadAnswer() {
    std::string response;
    boost::system::error_code error;
    bool ended = false;
    boost::asio::async_read(caller, boost::asio::dynamic_buffer(response),
                            [&](boost::system::error_code code, std::size_t) {
                              error = code;
                              ended = true;
                            });
    BOOST_TEST(RunUntil([&] { return ended; }));
    BOOST_TEST((error == boost::asio::error::eof), error.message());
    return response;
  }

  boost::asio::io_context io{1};
  std::unique_ptr<HttpFront> front;
  tcp::socket caller{io};
};

// Guards against a reset instead of a response for a request that arrives while
// the listener closes.
BOOST_AUTO_TEST_CASE(request_unread_at_the_close_is_answered) {
  DrainingListener listener;
  listener.Send("GET /look HTTP/1.1\r\nHost: a\r\n\r\n");
  // The bytes are in the socket, but the event loop has not run since.
  listener.front->Close();
  const std::string response = listener.ReadAnswer();
  BOOST_TEST(response.rfind("HTTP/1.1 503", 0) == 0U, response);
}

// Guards against unbounded memory use when a caller sends a header, chunk
// extension or trailer without end.
BOOST_AUTO_TEST_CASE(request_without_end_is_refused) {
  constexpr std::size_t kMaxBytes = std::size_t{16} << 20;
  const std::string head = "POST /book HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& begin :
       {head + "X-Padding: ", chunked + "5;e=", chunked + "0\r\nX-Padding: "}) {
    DrainingListener listener;
    listener.Send(begin);
    listener.caller.non_blocking(true);
    const std::string padding(65536, 'x');
    std::size_t sent = 0;
    boost::system::error_code error;
    const bool ended = listener.RunUntil([&] {
      if (listener.front->stats().malformed > 0) return true;
      sent += listener.caller.write_some(boost::asio::buffer(padding), error);
      return sent > kMaxBytes;
    });
    BOOST_TEST(ended);
    BOOST_TEST(listener.front->stats().malformed == 1U, begin);
  }
}

// Guards against a dropped request whose end arrives after the listener closes.
BOOST_AUTO_TEST_CASE(request_half_read_at_the_close_is_answered) {
  for (const std::string first :
       {"GET /look HTTP/1.1\r\nHo",
        "POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"}) {
    DrainingListener listener;
    listener.Send(first);
    listener.io.run_for(milliseconds(50));
    listener.front->Close();
    listener.io.run_for(milliseconds(50));
    listener.Send(first[0] == 'G' ? "st: a\r\n\r\n" : "cd");
    const std::string response = listener.ReadAnswer();
    BOOST_TEST(response.rfind("HTTP/1.1 503", 0) == 0U, response);
  }
}

// Guards against a reset of a connection that is established but not yet
// accepted when the listener closes.
BOOST_AUTO_TEST_CASE(connection_not_accepted_at_the_close_is_served) {
  DrainingListener listener;
  const tcp::endpoint endpoint = listener.caller.remote_endpoint();
  listener.caller.close();
  listener.caller.connect(endpoint);
  listener.Send("GET /look HTTP/1.1\r\nHost: a\r\n\r\n");
  listener.front->Close();
  const std::string response = listener.ReadAnswer();
  BOOST_TEST(response.rfind("HTTP/1.1 503", 0) == 0U, response);
}

// Guards against idle connections that prevent the listener from closing.
BOOST_AUTO_TEST_CASE(idle_connections_end_with_the_close) {
  DrainingListener listener;
  listener.front->Close();
  BOOST_TEST(listener.ReadAnswer().empty());
  BOOST_TEST(listener.RunUntil([&] { return listener.front->closed(); }));
}

/// Listener whose requests the test answers itself.
struct ManualListener {
  ManualListener() {
    HttpFront::Hooks hooks;
    hooks.on_request = [this](HttpFront::ExchangeId id, HttpRequest&& request) {
      requests.emplace_back(id, request.target);
    };
    hooks.on_client_disconnect = [this](HttpFront::ExchangeId id) {
      disconnected.push_back(id);
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
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(milliseconds(10));
    }
    return condition();
  }
  void Answer(std::size_t index, const std::string& body) {
    front->Respond(requests[index].first,
                   MakeResponse(200, "text/plain", body));
  }
  /// Reads until `text` has arrived. False after `kWaitTimeout`.
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
  std::vector<HttpFront::ExchangeId> disconnected;
  std::string received;
};

// Guards against pipelined requests that are processed in sequence, and against
// responses out of order.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_handled_concurrently) {
  ManualListener listener;
  for (const char* path : {"/1", "/2", "/3"}) listener.Send(path);
  BOOST_REQUIRE(
      listener.RunUntil([&] { return listener.requests.size() == 3; }));
  listener.Answer(2, "third");
  listener.Answer(1, "second");
  listener.io.run_for(milliseconds(20));
  listener.Answer(0, "first");
  BOOST_TEST(listener.ReadUntil("third"));
  const auto& text = listener.received;
  BOOST_TEST(text.find("first") < text.find("second"));
  BOOST_TEST(text.find("second") < text.find("third"));
}

// Guards against an unbounded number of pipelined requests, and against a stall
// when the limit was reached.
BOOST_AUTO_TEST_CASE(pipeline_is_bounded_and_resumes) {
  ManualListener listener;
  for (const char* path : {"/1", "/2", "/3", "/4"}) listener.Send(path);
  BOOST_REQUIRE(
      listener.RunUntil([&] { return listener.requests.size() == 3; }));
  listener.io.run_for(milliseconds(50));
  BOOST_TEST(listener.requests.size() == 3U);
  listener.Answer(0, "first");
  BOOST_TEST(listener.RunUntil([&] { return listener.requests.size() == 4; }));
}

// Guards against work that continues after the caller has disconnected.
BOOST_AUTO_TEST_CASE(disconnect_cancels_all_requests_of_the_connection) {
  ManualListener listener;
  listener.Send("/1");
  listener.Send("/2");
  BOOST_REQUIRE(
      listener.RunUntil([&] { return listener.requests.size() == 2; }));
  listener.caller.close();
  BOOST_TEST(
      listener.RunUntil([&] { return listener.disconnected.size() == 2; }));
}

// Guards against a response after the one that closes the connection: the
// caller takes the request behind it as unread and sends it again.
BOOST_AUTO_TEST_CASE(requests_after_a_closing_response_are_cancelled) {
  ManualListener listener;
  listener.Send("/1");
  listener.Send("/2");
  BOOST_REQUIRE(
      listener.RunUntil([&] { return listener.requests.size() == 2; }));
  listener.front->BeginDrain();
  listener.Answer(0, "first");
  BOOST_TEST(listener.ReadUntil("first"));
  BOOST_TEST(
      listener.RunUntil([&] { return listener.disconnected.size() == 1; }));
  BOOST_TEST(listener.received.find("Connection: close") != std::string::npos);
}

}  // namespace
}  // namespace lentilcross::testing
