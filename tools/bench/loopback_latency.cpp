// Latency that daemons add to a call on loopback: a closed loop with one call
// at a time, straight to the target, through one daemon, and through two
// daemons. Prints one JSON object per line.

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <stdexcept>

#include "daemon/fleet.h"

namespace {

using lentilcross::Endpoint;
using lentilcross::testing::AnswerWith;
using lentilcross::testing::Fleet;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr int kCalls = 10'000;
constexpr std::chrono::microseconds kPause{300};

/// Reads one response with a Content-Length.
void ReadResponse(boost::asio::ip::tcp::socket& socket) {
  std::string text;
  std::string chunk(4096, '\0');
  while (true) {
    const auto size = socket.read_some(boost::asio::buffer(chunk));
    text.append(chunk, 0, size);
    const auto head = text.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    const std::string name = "Content-Length: ";
    const auto length = std::stoul(text.substr(text.find(name) + name.size()));
    if (text.size() >= head + 4 + length) break;
  }
  if (text.compare(9, 3, "200") != 0) throw std::runtime_error(text);
}

/// Sorted times of all calls, in milliseconds.
std::vector<double> Measure(const Endpoint& endpoint, const std::string& path) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address(endpoint.ip), endpoint.port});
  socket.set_option(boost::asio::ip::tcp::no_delay(true));
  const std::string request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<double> times;
  for (int i = 0; i < kCalls; ++i) {
    const auto start = Clock::now();
    boost::asio::write(socket, boost::asio::buffer(request));
    ReadResponse(socket);
    times.push_back(Milliseconds(Clock::now() - start).count());
    std::this_thread::sleep_for(kPause);
  }
  std::sort(times.begin(), times.end());
  return times;
}

double Quantile(const std::vector<double>& sorted, double q) {
  return sorted[static_cast<std::size_t>(
      q * static_cast<double>(sorted.size() - 1))];
}

void Print(const std::string& scenario, const std::string& measure,
           double value) {
  std::cout << lentilcross::testing::Json{{"measure", measure},
                                          {"scenario", scenario},
                                          {"value", value},
                                          {"unit", "ms"}}
            << "\n";
}

}  // namespace

int main() {
  Fleet fleet;
  fleet.AddHost("entry", "domain-1", {{"near-1", "near", AnswerWith("x")}});
  fleet.AddHost("back", "domain-1", {{"far-1", "far", AnswerWith("x")}});
  fleet.AddRoute("/near", "near");
  fleet.AddRoute("/far", "far");
  fleet.Start();
  const Endpoint entry = fleet.at("entry").daemon().caller();
  const auto direct =
      Measure(fleet.target("far-1").server().endpoint(), "/far");
  const auto one = Measure(entry, "/near");
  const auto two = Measure(entry, "/far");
  for (const double q : {0.5, 0.99}) {
    const std::string name = q == 0.5 ? "added_p50" : "added_p99";
    Print("one daemon", name, Quantile(one, q) - Quantile(direct, q));
    Print("two daemons", name, Quantile(two, q) - Quantile(direct, q));
  }
  return 0;
}
