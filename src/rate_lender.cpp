#include <algorithm>
#include <cmath>

#include "rate_book_impl.h"

namespace lentilcross {
namespace {

// The lender's clock may run 1% faster than the borrower's.
constexpr double kClockDrift = 1.01;
constexpr Duration kTakeBackMargin = std::chrono::milliseconds(50);
// A shorter loan would end before the borrower can renew it.
constexpr Duration kShortestTerm = std::chrono::milliseconds(200);
// Wishes are served late for as long as a request may wait for them.
constexpr Duration kUnmetLifetime = std::chrono::milliseconds(40);

// Part of the burst that stays with the rate that is not lent.
constexpr double kKeptShare = 0.3;

Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

bool IsAmount(double value) { return std::isfinite(value) && value >= 0; }

bool IsValid(const LoanAsk& ask) {
  return IsAmount(ask.want.rate) && IsAmount(ask.want.burst) &&
         IsAmount(ask.need) && IsAmount(ask.returned) &&
         std::all_of(ask.held.begin(), ask.held.end(), [](const auto& held) {
           return IsAmount(held.quota.rate) && IsAmount(held.quota.burst);
         });
}

// Level f such that the sum of min(wish, f) is `capacity`.
double MaxMinLevel(std::vector<double> wishes, double capacity) {
  std::sort(wishes.begin(), wishes.end());
  double left = capacity;
  for (std::size_t i = 0; i < wishes.size(); ++i) {
    const double fair = left / static_cast<double>(wishes.size() - i);
    if (wishes[i] >= fair) return fair;
    left -= wishes[i];
  }
  return capacity;
}

}  // namespace

std::uint64_t RateLimiter::Impl::RankOf(const RateOrg& org,
                                        HostId owner) const {
  return CombineHash(org.id.value(), owner.value());
}

bool RateLimiter::Impl::IsOwnerHere(const RateOrg& org, HostId host) const {
  const auto& here = org.owners_here;
  return std::find(here.begin(), here.end(), host) != here.end();
}

// Borrowed quota moves from better to worse rank only, and hosts that own
// nothing come last; so it never returns to where it came from.
bool RateLimiter::Impl::IsOnward(const RateOrg& org, HostId borrower) const {
  if (!org.is_owner) return false;
  if (owners.DomainOf(borrower) == init.failure_domain &&
      !IsOwnerHere(org, borrower)) {
    return true;
  }
  return RankOf(org, init.self) < RankOf(org, borrower);
}

Lent* RateLimiter::Impl::TakeDeclaration(RateOrg& org, HostId from,
                                         Incarnation borrower,
                                         std::uint32_t number,
                                         const LoanAsk& ask, Instant now) {
  Advance(org, now);
  Lent* lent = org.account.OnDeclared(from, borrower, number, ask);
  if (lent == nullptr) {
    ++stats.messages_ignored;
    return nullptr;
  }
  lent->onward = IsOnward(org, from);
  lent->next_part = 0;
  MarkDirty(org);
  return lent;
}

void RateLimiter::Impl::OnRequest(HostId from, const LoanRequest& request,
                                  Instant now) {
  if (!request.borrower.valid() || from == init.self) {
    ++stats.messages_ignored;
    return;
  }
  grants.push_back({from, {request.borrower, request.number, {}}});
  for (const LoanAsk& ask : request.asks) {
    RateOrg* org = Find(ask.organisation);
    if (org == nullptr || !IsValid(ask)) {
      ++stats.messages_ignored;
      continue;
    }
    Lent* lent =
        TakeDeclaration(*org, from, request.borrower, request.number, ask, now);
    if (lent == nullptr) continue;
    lent->want = Min(ask.want, org->total);
    // The borrower counts on what it asked for shortly before.
    lent->unmet = std::min(lent->UnmetAt(now) + ask.need, org->total.burst);
    lent->unmet_until = now + kUnmetLifetime;
    Serve(*org, *lent, true, now);
  }
  if (grants.back().message.loans.empty()) grants.pop_back();
}

void RateLimiter::Impl::OnReturn(HostId from, const LoanReturn& message,
                                 Instant now) {
  for (const LoanAsk& ask : message.asks) {
    RateOrg* org = Find(ask.organisation);
    if (org == nullptr || !IsValid(ask)) {
      ++stats.messages_ignored;
      continue;
    }
    Lent* lent =
        TakeDeclaration(*org, from, message.borrower, message.number, ask, now);
    if (lent != nullptr) lent->want = Min(lent->want, lent->At(now));
  }
}

double RateLimiter::Impl::GrantableRate(const RateOrg& org, const Lent& lent,
                                        Instant now) const {
  const RateAccount& account = org.account;
  const double before = lent.At(now).rate;
  // A better ranked owner gathers the quota and lends back what is used here.
  if (!lent.onward) {
    const double own = account.own().rate - account.own_lent().rate;
    return std::max(0.0, before + std::min(own, account.held().rate));
  }
  const double others = account.lent_total().rate - before;
  const double capacity = account.own().rate + account.borrowed_total().rate;
  const double own_use = org.local.rate(now);
  std::vector<double> wishes = {own_use};
  for (const Lent& other : account.lent()) {
    wishes.push_back(std::max(other.want.rate, other.At(now).rate));
  }
  const double fair = MaxMinLevel(std::move(wishes), capacity);
  const double free = capacity - others - std::min(own_use, fair);
  return std::clamp(free, 0.0, std::max(fair, 0.0));
}

double RateLimiter::Impl::GrantableTokens(const RateOrg& org, const Lent& lent,
                                          Instant now) const {
  const double tokens = org.account.tokens();
  int others = org.waiting > 0 ? 1 : 0;
  for (const Lent& other : org.account.lent()) {
    if (&other != &lent && other.UnmetAt(now) > 0) ++others;
  }
  const double fair = std::max(1.0, tokens / (1 + others));
  return std::clamp(tokens - org.waiting, 0.0, fair);
}

void RateLimiter::Impl::Serve(RateOrg& org, Lent& lent, bool first,
                              Instant now) {
  if (!first && lent.levels.size() >= kMaxLoanLevels) return;
  Quota room = org.account.held();
  if (!lent.onward) {
    room = Min(room, org.account.own() - org.account.own_lent());
  }
  const double rate = std::min(lent.want.rate, GrantableRate(org, lent, now));
  const double give = std::min(
      {lent.UnmetAt(now), GrantableTokens(org, lent, now), room.burst});
  if (!first && give < std::min(1.0, lent.unmet) - 1e-9 &&
      rate <= lent.At(now).rate * 1.1) {
    return;
  }
  lent.unmet -= give;
  const Loan loan = MakeLoan(org, lent, room, rate, give, now);
  if (!first) {
    grants.push_back({lent.borrower, {lent.incarnation, lent.last_number, {}}});
  }
  grants.back().message.loans.push_back(loan);
}

Loan RateLimiter::Impl::MakeLoan(RateOrg& org, Lent& lent, Quota room,
                                 double rate, double give, Instant now) {
  RateAccount& account = org.account;
  const Quota before = lent.At(now);
  // Burst without tokens: what the borrower's own generation fills.
  const double wish = std::max(0.0, lent.want.burst - before.burst - give);
  const double keep = lent.onward
                          ? account.held().rate * org.total.burst /
                                std::max(org.total.rate, 1e-9) * kKeptShare
                          : 0;
  const double spare = std::max(0.0, room.burst - give - keep);
  const double extra = std::min({wish, spare, room.burst - give});
  // Tokens may only go along with burst that was not lent before.
  const bool grows = give + extra > 0;
  const Quota level = {rate, grows ? before.burst + give + extra
                                   : std::min(before.burst, lent.want.burst)};
  // Tokens that no longer fit here go along.
  const double overflow =
      account.tokens() - give - (account.held().burst - give - extra);
  give += std::clamp(overflow, 0.0, extra);

  const Instant wished =
      now + Scaled(init.loan_term, kClockDrift) + kTakeBackMargin;
  const Instant until = account.LatestUntil(lent, level, wished);
  const Duration term = std::min(
      init.loan_term, Scaled(until - now - kTakeBackMargin, 1 / kClockDrift));
  Loan loan{org.id, {}, 0, {}, lent.next_part++};
  if (term < kShortestTerm || lent.levels.size() >= kMaxLoanLevels) return loan;
  loan.quota = level;
  loan.tokens = give;
  loan.term = term;
  account.Grant(lent, loan, until);
  ++stats.loans_granted;
  if (lent.onward) lent.drawn.Add(give, now);
  return loan;
}

void RateLimiter::Impl::ServeUnmet(RateOrg& org, Instant now) {
  for (Lent& lent : org.account.lent()) {
    if (lent.UnmetAt(now) > 0 && org.account.tokens() > 0) {
      Serve(org, lent, false, now);
    }
  }
}

bool RateLimiter::Impl::HasUnmet(const RateOrg& org, Instant now) {
  const std::vector<Lent>& lent = org.account.lent();
  return std::any_of(lent.begin(), lent.end(),
                     [now](const Lent& each) { return each.UnmetAt(now) > 0; });
}

}  // namespace lentilcross
