#include <boost/test/unit_test.hpp>

#include "daemon/fleet.h"
#include "daemon/raw_peer.h"

namespace lentilcross::testing {
namespace {

const std::string kSecondKey = "second peer key of the tests";

struct Setup {
  Setup() {
    const auto two_keys = [](DaemonInit& init) {
      init.peer_keys = {kPeerKey, kSecondKey};
    };
    fleet.AddHost("back", "domain-1", {{"back-1", "back", AnswerWith("seen")}},
                  two_keys);
    fleet.AddRoute("/look", "back");
    fleet.Start();
  }

  Endpoint peer() { return fleet.at("back").daemon().peer(); }

  bool WaitRefusedProof() {
    return fleet.at("back").WaitStats(
        [](const DaemonStats& s) { return s.peers.refused_proof > 0; });
  }
  bool WaitRefusedMessage() {
    return fleet.at("back").WaitStats(
        [](const DaemonStats& s) { return s.peers.refused_messages > 0; });
  }

  /// The daemon still serves callers.
  void CheckServes() {
    BOOST_TEST(fleet.Call("back", "/look").response.status == 200);
  }

  Fleet fleet;
};

Call MakeCall() {
  Call call;
  call.number = CallNumber(1);
  call.context.id = {1, 2};
  call.context.version = Version(1);
  call.context.entry_host = HostId::FromName("stranger");
  call.route = RouteId::FromName("/look");
  call.service = ServiceId::FromName("back");
  call.method = "GET";
  call.path = "/look";
  call.remaining = std::chrono::seconds(5);
  return call;
}

// Guards against a process without the key that sends a request as a peer.
BOOST_AUTO_TEST_CASE(peer_without_the_key_is_refused) {
  Setup setup;
  RawPeer peer(setup.peer());
  peer.Handshake("wrong key", "stranger");
  peer.Send(Encode(MakeCall()));
  BOOST_TEST(peer.WaitClosed());
  BOOST_TEST(setup.WaitRefusedProof());
  BOOST_TEST(setup.fleet.target("back-1").received().empty());
  setup.CheckServes();
}

// Guards against a request that is taken before the proof.
BOOST_AUTO_TEST_CASE(call_before_the_proof_is_refused) {
  Setup setup;
  RawPeer peer(setup.peer());
  peer.Send(Encode(MakeCall()));
  BOOST_TEST(peer.WaitClosed());
  BOOST_TEST(setup.WaitRefusedProof());
  BOOST_TEST(setup.fleet.target("back-1").received().empty());
}

// Guards against a proof that is valid for its own maker: the daemon's proof
// sent back to it.
BOOST_AUTO_TEST_CASE(reflected_proof_is_refused) {
  Setup setup;
  RawPeer peer(setup.peer());
  BOOST_REQUIRE(peer.WaitMessages(1));
  Hello hello = std::get<Hello>(peer.messages()[0]);
  hello.host = HostId::FromName("stranger");
  peer.Send(Encode(hello));
  BOOST_REQUIRE(peer.WaitMessages(2));
  peer.Send(Encode(std::get<Proof>(peer.messages()[1])));
  BOOST_TEST(peer.WaitClosed());
  BOOST_TEST(setup.WaitRefusedProof());
}

// Guards against a key change that needs an outage: either of the two accepted
// keys opens a link, and calls over it run.
BOOST_AUTO_TEST_CASE(both_keys_are_accepted) {
  Setup setup;
  for (const std::string& key : {kPeerKey, kSecondKey}) {
    RawPeer peer(setup.peer());
    peer.Handshake(key, "stranger");
    Call call = MakeCall();
    call.number = CallNumber(key == kPeerKey ? 1 : 2);
    peer.Send(Encode(call));
    const auto is_reply = [](const PeerMessage& m) {
      return std::holds_alternative<Reply>(m);
    };
    std::size_t seen = 0;
    bool replied = false;
    while (!replied && peer.WaitMessages(++seen)) {
      replied = is_reply(peer.messages()[seen - 1]);
    }
    BOOST_REQUIRE(replied);
    BOOST_TEST(std::get<Reply>(peer.messages()[seen - 1]).body == "seen");
  }
}

// Guards against a daemon that crashes, or trusts the sender, on bytes that are
// no message.
BOOST_AUTO_TEST_CASE(garbage_before_the_proof_closes_the_link) {
  for (const std::string frame : {"", "garbage", "\xff\xff\xff\xff"}) {
    Setup setup;
    RawPeer peer(setup.peer());
    peer.Send(frame);
    BOOST_TEST(peer.WaitClosed());
    BOOST_TEST(setup.WaitRefusedMessage());
    setup.CheckServes();
  }
}

// Guards against memory that a stranger can fill with one frame.
BOOST_AUTO_TEST_CASE(oversize_frames_close_the_link) {
  Setup setup;
  RawPeer stranger(setup.peer());
  stranger.Send(std::string(4096, 'x'));
  BOOST_TEST(stranger.WaitClosed());
  RawPeer peer(setup.peer());
  peer.Handshake(kPeerKey, "stranger");
  BOOST_REQUIRE(peer.WaitMessages(3));  // Hello, Proof, Digest
  peer.Send(std::string(LENTILCROSS_CONFIG_MAX_PEER_MESSAGE + 1, 'x'));
  BOOST_TEST(peer.WaitClosed());
  BOOST_TEST(setup.fleet.at("back").WaitStats(
      [](const DaemonStats& s) { return s.peers.refused_messages >= 2; }));
  setup.CheckServes();
}

// Guards against pings that double the messages of a busy link: what the peer
// sends shows as much. One in each contact interval is left, for the quotas.
BOOST_AUTO_TEST_CASE(link_with_traffic_is_hardly_pinged) {
  constexpr int kMessages = 40;
  constexpr auto kGap = std::chrono::milliseconds(30);
  constexpr auto kContactInterval = std::chrono::milliseconds(625);
  Fleet fleet;
  fleet.AddHost("back", "domain-1",
                {{"back-1", "back",
                  [](FakeTarget& target, const FakeServer::Exchange& exchange) {
                    target.Hold(exchange);
                  }}});
  fleet.AddRoute("/look", "back");
  fleet.Start();
  RawPeer peer(fleet.at("back").daemon().peer());
  peer.Handshake(kPeerKey, "stranger");
  BOOST_REQUIRE(peer.WaitMessages(3));  // Hello, Proof, Digest
  peer.Send(Encode(MakeCall()));
  for (int i = 0; i < kMessages; ++i) {
    peer.Send(Encode(Pong{}));
    peer.RunFor(kGap);
  }
  const auto& messages = peer.messages();
  const auto pings = std::count_if(
      messages.begin(), messages.end(), [](const PeerMessage& message) {
        return std::holds_alternative<Ping>(message);
      });
  BOOST_TEST(pings <= 1 + kMessages * kGap / kContactInterval + 1);
  fleet.target("back-1").AnswerHeld("late");
}

// Guards against a message of another protocol version that is read as if it
// were of this one.
BOOST_AUTO_TEST_CASE(wrong_version_is_refused) {
  Setup setup;
  RawPeer peer(setup.peer());
  std::string hello = Encode(
      Hello{HostId(1), Incarnation(2), FailureDomainId(3), Version(1), {}});
  const std::size_t version =
      hello.find(static_cast<char>(kPeerProtocolVersion));
  BOOST_REQUIRE(version != std::string::npos);
  hello[version] = static_cast<char>(kPeerProtocolVersion + 1);
  peer.Send(hello);
  BOOST_TEST(peer.WaitClosed());
  BOOST_TEST(setup.WaitRefusedMessage());
  setup.CheckServes();
}

}  // namespace
}  // namespace lentilcross::testing
