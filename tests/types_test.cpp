#include "lentilcross/types.h"

#include <boost/test/unit_test.hpp>

#include "lentilcross/error.h"
#include "lentilcross/findings.h"

namespace lentilcross {

// Guards against identifiers that differ between processes or builds: peers
// exchange these hashes. The values are published XXH64 test vectors.
BOOST_AUTO_TEST_CASE(name_hash_is_fixed) {
  BOOST_TEST(HashName("a") == 0xD24EC4F1A98C6E5BULL);
  BOOST_TEST(HashName("") == 0xEF46DB3751D8E999ULL);
  BOOST_TEST(HostId::FromName("a").valid());
  BOOST_TEST(!HostId().valid());
  BOOST_TEST(!(HostId::FromName("a") == HostId::FromName("b")));
}

// Guards against a name table that does not match its enum.
BOOST_AUTO_TEST_CASE(names_round_trip) {
  for (int i = 0; i < kImportanceCount; ++i) {
    const auto importance = static_cast<Importance>(i);
    BOOST_TEST((ParseImportance(ToString(importance)) == importance));
  }
  for (int i = 0; i < kReasonCount; ++i) {
    const auto reason = static_cast<Reason>(i);
    BOOST_TEST((ParseReason(ToString(reason)) == reason));
  }
  BOOST_TEST(HttpStatus(Reason::kTargetFailed) == 502);
  BOOST_TEST(!ParseImportance("urgent").has_value());
}

// Guards against a report that contains only the first finding.
BOOST_AUTO_TEST_CASE(findings_are_reported_together) {
  Findings findings;
  findings.Add("/keys/a", "unknown field \"x\"");
  findings.Add("3:7", "syntax error");
  BOOST_TEST(findings.Format("f.json") ==
             "f.json:/keys/a: unknown field \"x\"\n"
             "f.json:3:7: syntax error\n");
}

}  // namespace lentilcross
