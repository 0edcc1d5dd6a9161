// Load pattern: all processes end at once and start again while callers go on
// at their usual rate.

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

/// Requests admitted in a time after the start, at 200 requests per second.
int AdmittedAfterStart(std::optional<Duration> start_wait, Duration time) {
  const RateLimiter::Init init = MakeInit(start_wait);
  auto book = Capture<RateLimiter>([&] { return RateLimiter::Create(init); });
  BOOST_REQUIRE(book.value);
  auto configuration = Capture<std::shared_ptr<const Configuration>>(
      [] { return Configuration::Parse(kDocument); });
  BOOST_REQUIRE(configuration.value);
  book.value->Apply(*configuration.value, kStart);
  int admitted = 0;
  for (Instant now = kStart; now < kStart + time; now += milliseconds(5)) {
    book.value->RecordContact(now, now);
    book.value->Tick(now);
    // A wait counts as none: only what is admitted at once is counted.
    const auto charge =
        book.value->TryAcquire(kCoopers, init.longest_wait, now);
    admitted += charge.verdict == RateLimiter::Verdict::kAdmitted ? 1 : 0;
  }
  return admitted;
}

// Guards against callers that are refused within their rate for seconds after a
// restart of everything.
BOOST_AUTO_TEST_CASE(own_quota_counts_at_once_without_a_start_wait) {
  const int admitted = AdmittedAfterStart(Duration::zero(), seconds(2));
  BOOST_TEST(admitted >= 190);
  // The bucket starts empty: no more than the rate.
  BOOST_TEST(admitted <= 201);
}

// Guards against a process that by default uses its quota beside loans of the
// process before it.
BOOST_AUTO_TEST_CASE(own_quota_waits_for_the_handover_by_default) {
  BOOST_TEST(AdmittedAfterStart(std::nullopt, milliseconds(3900)) == 0);
  BOOST_TEST(AdmittedAfterStart(std::nullopt, seconds(5)) > 0);
}

// Load pattern: callers come while the first hosts register. Guards against a
// host that waits for a handover because it knew the configuration before its
// own registration (platform_path under AddressSanitizer).
BOOST_AUTO_TEST_CASE(own_quota_counts_at_once_when_the_host_is_listed_late) {
  const RateLimiter::Init init = MakeInit(Duration::zero());
  auto book = Capture<RateLimiter>([&] { return RateLimiter::Create(init); });
  BOOST_REQUIRE(book.value);
  const auto listed = Capture<std::shared_ptr<const Configuration>>(
      [] { return Configuration::Parse(kDocument); });
  BOOST_REQUIRE(listed.value);
  auto unlisted = std::make_shared<Configuration>(**listed.value);
  unlisted->hosts.clear();
  book.value->RecordContact(kStart, kStart);
  book.value->Apply(unlisted, kStart);
  book.value->Apply(*listed.value, kStart + milliseconds(300));
  const Instant later = kStart + milliseconds(1300);
  BOOST_TEST(book.value->held(kCoopers, later).rate == 100);
  BOOST_TEST(book.value->tokens(kCoopers, later) > 90);
}

BOOST_AUTO_TEST_CASE(start_wait_is_at_most_the_handover) {
  RateLimiter::Init init;
  init.self = HostId::FromName("a");
  init.failure_domain = FailureDomainId::FromName("mb-1");
  init.incarnation = Incarnation(1);
  init.start_wait = init.handover + seconds(1);
  const auto book =
      Capture<RateLimiter>([&] { return RateLimiter::Create(init); });
  BOOST_TEST(!book.value);
}

}  // namespace
}  // namespace lentilcross
