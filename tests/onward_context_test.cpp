// Overload of one service that the targets of all routes call, in virtual time.
// Targets pass no context token on; the ids of their onward calls derive from
// the id of the request.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "data_state.h"
#include "lentilcross/shedding.h"
#include "matrix/documents.h"
#include "matrix/virtual_time.h"
#include "outgoing_calls.h"
#include "rate_waits.h"
#include "request_pipeline.h"
#include "target_calls.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLedgerSlots = 4;
constexpr std::size_t kFrontSlots = 100;             ///< Never the bottleneck.
constexpr Duration kServiceTime = milliseconds(20);  ///< 200 calls/s in total.
constexpr std::uint64_t kFirstOnwardExchange = 1'000'000;

class NoLinks : public CallLinks {
 public:
  LinkId Find(HostId /*host*/) const override { return 0; }
  const LinkPeer* FindPeer(LinkId /*link*/) const override { return nullptr; }
  bool Connect(HostId /*host*/) override { return false; }
  bool SendOverLink(LinkId /*link*/, const PeerMessage& /*message*/) override {
    return false;
  }
  void AddOutstanding(LinkId /*link*/, int /*change*/) override {}
};

/// Targets of all services. A request to "/ledger" occupies a slot for
/// `kServiceTime`; any other calls "/ledger" once and fails if that call fails.
class CallingTargets : public TargetConnections {
 public:
  using Call = std::function<void(const std::string& name, Handle parent)>;

  CallingTargets(matrix::ProcessTime& time, Call call)
      : time_(time), call_(std::move(call)), slot_free_at_(kLedgerSlots) {}

  Handle Start(const Endpoint& /*address*/, const HttpRequest& request,
               std::function<bool()> may_write,
               std::function<void(Result&&)> done) override {
    const Handle handle = ++last_handle_;
    done_[handle] = std::move(done);
    if (!may_write()) return handle;
    if (request.target == "/ledger") {
      organisations_named += request.header("X-Organisation").empty() ? 0 : 1;
      const auto slot =
          std::min_element(slot_free_at_.begin(), slot_free_at_.end());
      *slot = std::max(*slot, time_.Now()) + kServiceTime;
      time_.At(*slot, [this, handle] { Answer(handle, 200); });
    } else {
      call_(std::string(request.header("X-Name")) + ".1", handle);
    }
    return handle;
  }
  void Cancel(Handle handle) override { done_.erase(handle); }

  void Answer(Handle handle, int status) {
    const auto it = done_.find(handle);
    if (it == done_.end()) return;
    const auto done = std::move(it->second);
    done_.erase(it);
    done({Failure::kNone, MakeResponse(status, "text/plain", ""), {}});
  }

  int organisations_named = 0;  ///< At "/ledger".

 private:
  matrix::ProcessTime& time_;
  Call call_;
  std::vector<Instant> slot_free_at_;
  Handle last_handle_ = 0;
  std::map<Handle, std::function<void(Result&&)>> done_;
};

enum class Keys : std::uint8_t { kRequired, kNone };

matrix::Json Document(Keys keys) {
  matrix::Json document = matrix::ControlDocument({"a1"});
  for (const std::string service : {"stock", "deposits", "ledger"}) {
    document["services"][service]["targets"] = {
        {{"name", service + "-1"}, {"host", "a1"}}};
  }
  const auto route = [](const char* service, const char* importance,
                        bool open) {
    return matrix::Json{{"service", service},
                        {"importance", importance},
                        {"idempotent", true},
                        {"open", open},
                        {"timeout_ms", 800}};
  };
  const bool open = keys == Keys::kNone;
  document["routes"]["/stock"] = route("stock", "background", open);
  document["routes"]["/deposits"] = route("deposits", "standard", open);
  document["routes"]["/ledger"] = route("ledger", "critical", true);
  document["organisations"]["coopers"]["rate"] = 10000;
  document["organisations"]["coopers"]["burst"] = 10000;
  document["presets"]["ordinary"]["extra_attempts"] = 0;
  document["presets"]["ordinary"]["queue_ms"] = 200;
  if (keys == Keys::kNone) {
    document["organisations"] = matrix::Json::object();
    document["keys"] = matrix::Json::object();
  }
  return document;
}

/// Adds the number of slots that registered targets report.
std::shared_ptr<const Configuration> WithSlots(const Configuration& source) {
  auto configuration = std::make_shared<Configuration>(source);
  for (auto& [id, service] : configuration->services) {
    const bool is_ledger = service.name == "ledger";
    service.targets[0].slots =
        static_cast<int>(is_ledger ? kLedgerSlots : kFrontSlots);
  }
  return configuration;
}

DaemonInit MakeInit() {
  DaemonInit init;
  init.host = "a1";
  init.failure_domain = "domain-1";
  init.random_seed = 7;
  init.rate_handover = seconds(2);
  init.loan_term = milliseconds(500);
  init.dialect.context.clear();
  init.dialect.request_id = "X-Name";
  init.dialect.organisation = "X-Organisation";
  init.dialect.send_organisation_on_public_routes = false;
  init.dialect.parent_request_of = [](std::string_view name) {
    const std::size_t dot = name.rfind('.');
    return dot == std::string_view::npos ? std::string_view()
                                         : name.substr(0, dot);
  };
  return init;
}

struct Outcome {
  int sent = 0;
  int served = 0;
  int refused = 0;  ///< Refused at entry, before any work.
  int wasted = 0;   ///< Failed after its target had started to work.
};

class Site {
 public:
  explicit Site(Keys keys = Keys::kRequired)
      : process_(time_),
        state_(DataState::Create(MakeInit(), Incarnation(1), process_).value()),
        target_(process_,
                [this](const std::string& name, std::uint64_t parent) {
                  CallOnward(name, parent);
                }),
        targets_(*state_, target_,
                 {{"stock-1", "stock", {}},
                  {"deposits-1", "deposits", {}},
                  {"ledger-1", "ledger", {}}}),
        outgoing_(*state_, links_, targets_),
        waits_(*state_, RateWaitQueue::Hooks{[] {}}),
        pipeline_(*state_, outgoing_, targets_, waits_,
                  [this](std::uint64_t exchange, const HttpResponse& response) {
                    OnResponse(exchange, response);
                  }) {
    Apply(Document(keys));
    state_->ready = true;
    Tick();
    time_.RunUntil(time_.Now() + seconds(5));  // Quota increases take effect.
  }

  void Apply(const matrix::Json& document) {
    const auto configuration = WithSlots(*matrix::ParseDocument(document));
    state_->configuration = configuration;
    state_->keys.Apply(*configuration);
    state_->rate.Apply(configuration, time_.Now());
    state_->router.Apply(configuration, time_.Now());
    targets_.OnConfiguration(*configuration);
    waits_.Retry();
  }

  /// Sends both kinds of requests at these mean rates per second.
  void Run(Duration duration, int lookups, int deposits) {
    const Instant end = time_.Now() + duration;
    Arrive("/stock", lookups, end);
    Arrive("/deposits", deposits, end);
    time_.RunUntil(end + seconds(1));
  }
  void StartCounting() { outcomes.clear(); }
  /// Sends this many lookups at once and lets them come to a decision or a
  /// wait.
  void Burst(int lookups) {
    for (int i = 0; i < lookups; ++i) Send("/stock");
    time_.RunUntil(time_.Now() + milliseconds(5));
  }
  void RunFor(Duration duration) { time_.RunUntil(time_.Now() + duration); }
  std::size_t waiting() const { return waits_.waiting(); }

  std::map<std::string, Outcome> outcomes;
  int organisations_named() const { return target_.organisations_named; }

 private:
  void Tick() {
    const Instant now = time_.Now();
    state_->fence.Tick(now);
    state_->rate.RecordContact(now, now);
    state_->rate.Tick(now);
    process_.At(now + milliseconds(20), [this] { Tick(); });
  }

  void Arrive(const std::string& path, int rate, Instant end) {
    std::exponential_distribution<double> gap(rate);
    const Instant next =
        time_.Now() + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(gap(random_)));
    if (next > end) return;
    process_.At(next, [this, path, rate, end] {
      Send(path);
      Arrive(path, rate, end);
    });
  }

  void Send(const std::string& path) {
    const std::uint64_t exchange = ++last_exchange_;
    paths_[exchange] = path;
    ++outcomes[path].sent;
    HttpRequest request;
    request.target = path;
    request.headers = {{"X-Api-Key", std::string(matrix::kKey)},
                       {"X-Name", "request-" + std::to_string(exchange)}};
    pipeline_.OnRequest(exchange, std::move(request));
  }

  void CallOnward(const std::string& name, std::uint64_t parent) {
    const std::uint64_t exchange = kFirstOnwardExchange + ++last_exchange_;
    parents_[exchange] = parent;
    process_.At(time_.Now() + milliseconds(1), [this, exchange, name] {
      HttpRequest request;
      request.target = "/ledger";
      request.headers = {{"X-Name", name}};
      pipeline_.OnRequest(exchange, std::move(request));
    });
  }

  void OnResponse(std::uint64_t exchange, const HttpResponse& response) {
    if (const auto onward = parents_.find(exchange); onward != parents_.end()) {
      target_.Answer(onward->second, response.status == 200 ? 200 : 500);
      return;
    }
    Outcome& outcome = outcomes[paths_[exchange]];
    if (response.status == 200) {
      ++outcome.served;
    } else {
      ++(response.status == 503 ? outcome.refused : outcome.wasted);
    }
  }

  matrix::VirtualTime time_;
  matrix::ProcessTime process_;
  std::unique_ptr<DataState> state_;
  NoLinks links_;
  CallingTargets target_;
  TargetCalls targets_;
  OutgoingCalls outgoing_;
  RateWaitQueue waits_;
  RequestPipeline pipeline_;
  Random random_{11};
  std::uint64_t last_exchange_ = 0;
  std::map<std::uint64_t, std::string> paths_;
  std::map<std::uint64_t, std::uint64_t> parents_;
};

void CheckOverload(Site& site) {
  site.Run(seconds(3), 320, 80);
  site.StartCounting();
  site.Run(seconds(10), 320, 80);
  const Outcome deposits = site.outcomes["/deposits"];
  const Outcome lookups = site.outcomes["/stock"];
  BOOST_TEST(deposits.served >= 0.99 * deposits.sent);
  const int served = deposits.served + lookups.served;
  BOOST_TEST(served >= 0.95 * 200 * 10);
  BOOST_TEST(lookups.refused >= 3 * lookups.wasted);
}

// Guards against requests that fail at an overloaded service further down the
// chain, after other targets have worked on them. The load is twice what the
// ledger service can serve; deposits are few and more important than lookups.
BOOST_AUTO_TEST_CASE(overload_further_down_is_refused_at_entry) {
  Site site;
  CheckOverload(site);
}

// The same without keys. Guards against requests that pass the entry gate as if
// they were calls of targets, because their routes are open, too.
BOOST_AUTO_TEST_CASE(overload_without_keys_is_refused_at_entry) {
  Site site(Keys::kNone);
  CheckOverload(site);
}

// Guards against 401 and 429 for requests that wait for the rate of their
// organisation when a version without organisations comes into force.
BOOST_AUTO_TEST_CASE(waiting_requests_are_served_once_no_key_is_required) {
  Site site;
  matrix::Json document = Document(Keys::kRequired);
  document["version"] = 2;
  document["organisations"]["coopers"]["rate"] = 20;
  document["organisations"]["coopers"]["burst"] = 1;
  site.Apply(document);
  site.RunFor(seconds(5));
  site.Burst(6);
  BOOST_REQUIRE(site.waiting() > 0U);
  document = Document(Keys::kNone);
  document["version"] = 3;
  site.Apply(document);
  site.RunFor(seconds(1));
  BOOST_TEST(site.waiting() == 0U);
  BOOST_TEST(site.outcomes["/stock"].served == 6);
}

// Guards against naming the organisation to the target of an open route.
BOOST_AUTO_TEST_CASE(calls_on_open_routes_name_no_organisation) {
  Site site;
  site.Run(seconds(1), 50, 50);
  BOOST_TEST(site.outcomes["/stock"].served > 30);
  BOOST_TEST(site.organisations_named() == 0);
}

// Guards against refusals at entry when nothing is overloaded.
BOOST_AUTO_TEST_CASE(nothing_is_refused_below_capacity) {
  Site site;
  site.Run(seconds(5), 80, 40);
  for (const auto& [path, outcome] : site.outcomes) {
    BOOST_TEST(outcome.served == outcome.sent);
  }
}

BOOST_AUTO_TEST_CASE(translated_levels_refuse_the_same_share) {
  const auto level = [](Importance importance, std::uint32_t hash) {
    return (static_cast<std::uint32_t>(importance) << kRankHashBits) | hash;
  };
  const auto translate = [](std::uint32_t value) {
    return TranslateLevel(value, Importance::kStandard,
                          Importance::kBackground);
  };
  BOOST_TEST(translate(level(Importance::kStandard, 77)) ==
             level(Importance::kBackground, 77));
  BOOST_TEST(translate(level(Importance::kLookup, 77)) == 0U);
  BOOST_TEST(translate(level(Importance::kCritical, 0)) ==
             level(Importance::kLookup, 0) - 1);
}

}  // namespace
}  // namespace lentilcross
