#include "outgoing_calls.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <variant>

#include "call_replies.h"
#include "lentilcross/shedding.h"
#include "matrix/virtual_time.h"

namespace lentilcross {
namespace {

const ServiceId kService = ServiceId::FromName("stock");
constexpr std::uint16_t kExtraAttempts = 2;

/// Links that are always up; keeps the calls that were sent.
class RecordingLinks : public CallLinks {
 public:
  LinkId Find(HostId /*host*/) const override { return 1; }
  const LinkPeer* FindPeer(LinkId /*link*/) const override { return nullptr; }
  bool Connect(HostId /*host*/) override { return true; }
  bool SendOverLink(LinkId /*link*/, const PeerMessage& message) override {
    if (const auto* call = std::get_if<Call>(&message)) calls.push_back(*call);
    return true;
  }
  void AddOutstanding(LinkId /*link*/, int /*change*/) override {}

  std::vector<Call> calls;
};

class NoTargets : public TargetConnections {
 public:
  Handle Start(const Endpoint& /*address*/, const HttpRequest& /*request*/,
               std::function<bool()> /*may_write*/,
               std::function<void(Result&&)> /*done*/) override {
    return 0;
  }
  void Cancel(Handle /*handle*/) override {}
};

std::shared_ptr<const Configuration> TwoTargets() {
  auto configuration = std::make_shared<Configuration>();
  const auto domain = FailureDomainId::FromName("domain");
  configuration->failure_domains[domain] = {domain, "domain", "region", 1};
  ServiceEntry service;
  service.id = kService;
  for (const char* name : {"one", "two"}) {
    const auto host = HostId::FromName(name);
    configuration->hosts[host] = {host, name, domain, ""};
    service.targets.push_back({TargetId::FromName(name), name, host});
  }
  configuration->services[kService] = service;
  return configuration;
}

DaemonInit EntryInit() {
  DaemonInit init;
  init.host = "entry";
  init.failure_domain = "domain";
  return init;
}

/// One daemon that calls a service with two targets on other hosts.
struct Fixture {
  Fixture() {
    state->router.Apply(TwoTargets(), process.Now());
    // Saves up the retry budget: a tenth of the first attempts.
    for (int i = 0; i < 20; ++i) {
      state->retry.RecordFirstAttempt(kService, process.Now());
    }
  }

  void Start(std::uint16_t extra_attempts = kExtraAttempts) {
    OutgoingRequest request;
    request.context.id = {12, 34};
    request.service = kService;
    request.deadline = process.Now() + std::chrono::seconds(1);
    request.extra_attempts = extra_attempts;
    rank = RankOf(request.context.importance, request.context.id);
    outgoing.Start(std::move(request), [this](Reply&& reply) {
      ended.push_back(std::move(reply));
    });
    BOOST_REQUIRE(links.calls.size() == 1);
  }

  void Answer(Reply reply) {
    reply.number = links.calls.back().number;
    outgoing.OnReply(1, std::move(reply));
  }

  Reply Shed(ServiceId service, std::uint32_t level) const {
    Reply reply =
        MakeNotRunReply(links.calls.back(), Reason::kOverloaded, "shed");
    reply.levels.push_back({service, level});
    return reply;
  }

  Reply Status(std::uint16_t status) const {
    Reply reply;
    reply.status = status;
    reply.extra_attempts_left = links.calls.back().extra_attempts;
    return reply;
  }

  matrix::VirtualTime time;
  matrix::ProcessTime process{time};
  std::unique_ptr<DataState> state =
      DataState::Create(EntryInit(), Incarnation(1), process).value();
  RecordingLinks links;
  NoTargets client;
  TargetCalls targets{*state, client, {}};
  OutgoingCalls outgoing{*state, links, targets};
  std::uint32_t rank = 0;
  std::vector<Reply> ended;
};

}  // namespace

// Guards against retries that the other targets would shed too, which add to
// the overload that they answer.
BOOST_FIXTURE_TEST_CASE(shed_below_the_level_is_not_retried, Fixture) {
  Start();
  Answer(Shed(kService, rank + 1));
  BOOST_TEST(links.calls.size() == 1);
  BOOST_REQUIRE(ended.size() == 1);
  BOOST_TEST((ended[0].refusal.reason == Reason::kOverloaded));
  BOOST_TEST(ended[0].extra_attempts_left == kExtraAttempts);
}

// Guards against a request within the level that is lost at one full target.
BOOST_FIXTURE_TEST_CASE(shed_at_the_level_is_tried_elsewhere, Fixture) {
  Start();
  Answer(Shed(kService, rank));
  BOOST_TEST(links.calls.size() == 2);
  BOOST_TEST(ended.empty());
}

// Guards against judging a call by the level of another service.
BOOST_FIXTURE_TEST_CASE(level_of_another_service_does_not_count, Fixture) {
  Start();
  Answer(Shed(ServiceId::FromName("prices"), rank + 1));
  BOOST_TEST(links.calls.size() == 2);
}

// Guards against hops that each retry a refusal from behind the host that they
// called, which multiplies the calls by the depth.
BOOST_FIXTURE_TEST_CASE(refusal_from_behind_is_not_retried, Fixture) {
  Start();
  Reply reply = Status(503);
  reply.attempts_exhausted = true;
  Answer(reply);
  BOOST_TEST(links.calls.size() == 1);
  BOOST_REQUIRE(ended.size() == 1);
  BOOST_TEST(ended[0].attempts_exhausted);
}

// Guards against an answer 503 that has used up the attempts of this hop and is
// retried by the hops above.
BOOST_FIXTURE_TEST_CASE(failed_answer_exhausts_the_attempts, Fixture) {
  Start(0);
  Answer(Status(503));
  BOOST_TEST(links.calls.size() == 1);
  BOOST_REQUIRE(ended.size() == 1);
  BOOST_TEST(ended[0].status == 503);
  BOOST_TEST(ended[0].attempts_exhausted);
}

// Guards against marking a good answer, after which a later failure of the same
// call would not be retried.
BOOST_FIXTURE_TEST_CASE(good_answer_exhausts_nothing, Fixture) {
  Start();
  Answer(Status(200));
  BOOST_REQUIRE(ended.size() == 1);
  BOOST_TEST(!ended[0].attempts_exhausted);
}

}  // namespace lentilcross
