#include "lentilcross/context_tokens.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace lentilcross {
namespace {

ContextTokens MakeTokens(std::size_t max_tokens, std::size_t max_uses) {
  ContextTokens::Init init;
  init.secret.fill(7);
  init.max_tokens = max_tokens;
  init.max_uses = max_uses;
  auto tokens = ContextTokens::Create(init);
  BOOST_REQUIRE(static_cast<bool>(tokens));
  return std::move(*tokens);
}

ContextTokens::Entry MakeEntry(std::uint64_t number) {
  ContextTokens::Entry entry;
  entry.context.id = {number, number};
  entry.allowance = AttemptAllowance(2);
  return entry;
}

}  // namespace

// Guards against a token that stays valid after its call, maps to another call,
// or makes the table grow without bound.
BOOST_AUTO_TEST_CASE(token_is_valid_for_its_running_call_only) {
  BOOST_TEST(rc::check([] {
    ContextTokens tokens = MakeTokens(4, 8);
    std::map<std::string, std::uint64_t> running;
    std::set<std::string> ended;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::arbitrary<bool>()) {
        const auto number = static_cast<std::uint64_t>(i) + 1;
        const std::string token = tokens.Issue(MakeEntry(number));
        RC_ASSERT(token.empty() == (running.size() == 4));
        if (token.empty()) continue;
        RC_ASSERT(token.size() == 32U);
        RC_ASSERT(ended.count(token) == 0 && running.count(token) == 0);
        running[token] = number;
      } else if (!running.empty()) {
        tokens.Revoke(running.begin()->first);
        ended.insert(running.begin()->first);
        running.erase(running.begin());
      }
      for (const auto& [token, number] : running) {
        const auto* entry = tokens.Find(token);
        RC_ASSERT(entry != nullptr && entry->context.id.low == number);
      }
      for (const auto& token : ended) {
        RC_ASSERT(tokens.Find(token) == nullptr);
      }
    }
  }));
}

// Guards against a non-idempotent onward request that runs twice for one call
// (P7).
BOOST_AUTO_TEST_CASE(onward_use_is_claimed_once) {
  using Use = ContextTokens::Use;
  BOOST_TEST(rc::check([] {
    ContextTokens tokens = MakeTokens(2, 6);
    const std::string token = tokens.Issue(MakeEntry(1));
    std::set<std::pair<std::string, std::uint64_t>> claimed;
    for (int i = 0; i < 40; ++i) {
      const std::string key = *rc::gen::element<std::string>("", "a", "b", "7");
      const auto route = *rc::gen::inRange<std::uint64_t>(1, 4);
      const std::pair<std::string, std::uint64_t> id{key,
                                                     key.empty() ? route : 0};
      if (*rc::gen::inRange(0, 4) == 0) {
        tokens.Free(token, key, RouteId(route));
        claimed.erase(id);
        continue;
      }
      const Use use = tokens.Claim(token, key, RouteId(route));
      if (claimed.count(id) != 0) {
        RC_ASSERT(use == Use::kRepeated);
      } else if (claimed.size() == 6) {
        RC_ASSERT(use == Use::kFull);
      } else {
        RC_ASSERT(use == Use::kFirst);
        claimed.insert(id);
      }
    }
    tokens.Revoke(token);
    RC_ASSERT(tokens.Claim(token, "new", RouteId(1)) == Use::kUnknown);
  }));
}

}  // namespace lentilcross
