// Load pattern: all processes restart at once while clients keep sending at
// their usual rate.

#include <boost/test/unit_test.hpp>

#include "lentilcross/rate.h"
#include "result.h"

namespace lentilcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kDocument = R"({
  "version": 3, "preset": "ordinary",
  "failure_domains": {"mb-1": {"region": "manitoba"}},
  "hosts": {"a": {"failure_domain": "mb-1", "peer": "127.0.0.1:7101"}},
  "services": {}, "routes": {}, "keys": {},
  "organisations": {"coopers": {"rate": 100, "burst": 100}},
  "presets": {"ordinary": {"queue_ms": 50}}
})";

const auto kCoopers = OrganisationId::FromName("coopers");
const Instant kStart = Instant{} + seconds(100);

RateLimiter::Init MakeInit(std::optional<Duration> start_wait) {
  RateLimiter::Init init;
  init.self = HostId::FromName("a");
  init.failure_domain = FailureDomainId::FromName("mb-1");
  init.incarnation = Incarnation(1);
  init.loan_term = seconds(1);
  init.handover = seconds(4);
  init.start_wait = start_wait;
  return init;
}

/// Number of requests admitted during `time` after the start, at 200 requests
/// per second.
int AdmittedAfterStart(std::optional<Duration> start_wait, Duration time) {
  const RateLimiter::Init init = MakeInit(start_wait);
  auto limiter =
      Capture<RateLimiter>([&] { return RateLimiter::Create(init); });
  BOOST_REQUIRE(limiter.value);
  auto configuration = Capture<std::shared_ptr<const Configuration>>(
      [] { return Configuration::Parse(kDocument); });
  BOOST_REQUIRE(configuration.value);
  limiter.value->Apply(*configuration.value, kStart);
  int admitted = 0;
  for (Instant now = kStart; now < kStart + time; now += milliseconds(5)) {
    limiter.value->RecordContact(now, now);
    limiter.value->Tick(now);
    // Passes the longest wait, so that requests are admitted at once or
    // refused.
    const auto result =
        limiter.value->TryAcquire(kCoopers, init.longest_wait, now);
    admitted += result.verdict == RateLimiter::Verdict::kAdmitted ? 1 : 0;
  }
  return admitted;
}

// Guards against refusals within rate for seconds after a restart of all
// processes.
BOOST_AUTO_TEST_CASE(own_quota_is_used_at_once_without_start_wait) {
  const int admitted = AdmittedAfterStart(Duration::zero(), seconds(2));
  BOOST_TEST(admitted >= 190);
  // The bucket starts empty, so no more than the rate is admitted.
  BOOST_TEST(admitted <= 201);
}

// Guards against a process that by default uses its own quota while loans made
// by its predecessor are still valid.
BOOST_AUTO_TEST_CASE(own_quota_is_used_after_handover_by_default) {
  BOOST_TEST(AdmittedAfterStart(std::nullopt, milliseconds(3900)) == 0);
  BOOST_TEST(AdmittedAfterStart(std::nullopt, seconds(5)) > 0);
}

// Guards against a host that leaves its quota unused for the handover time
// because it received the configuration before its own registration. Seen in
// platform_path under AddressSanitizer, with clients that send requests while
// the first hosts register.
BOOST_AUTO_TEST_CASE(own_quota_is_used_at_once_when_host_is_listed_late) {
  const RateLimiter::Init init = MakeInit(Duration::zero());
  auto limiter =
      Capture<RateLimiter>([&] { return RateLimiter::Create(init); });
  BOOST_REQUIRE(limiter.value);
  const auto listed = Capture<std::shared_ptr<const Configuration>>(
      [] { return Configuration::Parse(kDocument); });
  BOOST_REQUIRE(listed.value);
  auto unlisted = std::make_shared<Configuration>(**listed.value);
  unlisted->hosts.clear();
  limiter.value->RecordContact(kStart, kStart);
  limiter.value->Apply(unlisted, kStart);
  limiter.value->Apply(*listed.value, kStart + milliseconds(300));
  const Instant later = kStart + milliseconds(1300);
  BOOST_TEST(limiter.value->held(kCoopers, later).rate == 100);
  BOOST_TEST(limiter.value->tokens(kCoopers, later) > 90);
}

// Guards against an account that organisations without a limit would need, and
// against a limit that does not hold after it was lifted for a while.
BOOST_AUTO_TEST_CASE(unlimited_organisations_hold_no_quota) {
  const RateLimiter::Init init = MakeInit(Duration::zero());
  auto limiter =
      Capture<RateLimiter>([&] { return RateLimiter::Create(init); });
  BOOST_REQUIRE(limiter.value);
  const auto limited = Capture<std::shared_ptr<const Configuration>>(
      [] { return Configuration::Parse(kDocument); });
  BOOST_REQUIRE(limited.value);
  auto unlimited = std::make_shared<Configuration>(**limited.value);
  unlimited->organisations.at(kCoopers).unlimited = true;
  limiter.value->RecordContact(kStart, kStart);
  limiter.value->Apply(unlimited, kStart);
  BOOST_TEST(limiter.value->held(kCoopers, kStart + seconds(1)).rate == 0);
  limiter.value->Apply(*limited.value, kStart + seconds(1));
  const auto held_at = [&](Duration time) {
    limiter.value->RecordContact(kStart + time, kStart + time);
    return limiter.value->held(kCoopers, kStart + time).rate;
  };
  BOOST_TEST(held_at(seconds(2)) == 100);
  limiter.value->Apply(unlimited, kStart + seconds(2));
  BOOST_TEST(held_at(seconds(3)) == 0);
  limiter.value->Apply(*limited.value, kStart + seconds(3));
  BOOST_TEST(held_at(seconds(3) + init.handover) == 100);
}

// Guards against refusals within rate for the handover time after a version
// without an organisation, or without its limit, was replaced by one with it.
BOOST_AUTO_TEST_CASE(organisation_that_returns_has_its_quota_at_once) {
  const auto listed = Capture<std::shared_ptr<const Configuration>>(
      [] { return Configuration::Parse(kDocument); });
  BOOST_REQUIRE(listed.value);
  auto removed = std::make_shared<Configuration>(**listed.value);
  removed->organisations.clear();
  auto unlimited = std::make_shared<Configuration>(**listed.value);
  unlimited->organisations.at(kCoopers).unlimited = true;
  for (const auto& between : {removed, unlimited}) {
    const RateLimiter::Init init = MakeInit(Duration::zero());
    auto limiter =
        Capture<RateLimiter>([&] { return RateLimiter::Create(init); });
    BOOST_REQUIRE(limiter.value);
    const auto held_at = [&](Instant now) {
      limiter.value->RecordContact(now, now);
      return limiter.value->held(kCoopers, now).rate;
    };
    limiter.value->RecordContact(kStart, kStart);
    limiter.value->Apply(*listed.value, kStart);
    const Instant gone = kStart + seconds(10);
    BOOST_TEST(held_at(gone) == 100);
    limiter.value->Apply(between, gone);
    BOOST_TEST(held_at(gone + seconds(1)) == 0);
    limiter.value->Apply(*listed.value, gone + seconds(1));
    BOOST_TEST(held_at(gone + seconds(1)) == 100);
    // The bucket starts empty.
    BOOST_TEST(limiter.value->tokens(kCoopers, gone + seconds(1)) < 1);
  }
}

BOOST_AUTO_TEST_CASE(start_wait_above_handover_is_rejected) {
  RateLimiter::Init init;
  init.self = HostId::FromName("a");
  init.failure_domain = FailureDomainId::FromName("mb-1");
  init.incarnation = Incarnation(1);
  init.start_wait = init.handover + seconds(1);
  const auto limiter =
      Capture<RateLimiter>([&] { return RateLimiter::Create(init); });
  BOOST_TEST(!limiter.value);
}

}  // namespace
}  // namespace lentilcross
