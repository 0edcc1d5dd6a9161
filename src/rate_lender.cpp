#include <algorithm>
#include <cmath>

#include "rate_book_impl.h"

namespace lentilcross {
namespace {

// The lender's clock may run 1% faster than the borrower's.
constexpr double kMaxClockSpeedRatio = 1.01;
constexpr Duration kExpiryMargin = std::chrono::milliseconds(50);
// Burst that is lent collects no tokens, and a small organisation has little.
constexpr Duration kSpotExpiryMargin = std::chrono::milliseconds(10);
// A shorter loan would end before the borrower can renew it.
constexpr Duration kShortestTerm = std::chrono::milliseconds(200);
// Part of the burst that is kept along with the rate that is not lent.
constexpr double kKeptBurstShare = 0.3;

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

// The borrower has no use for quota beyond the tokens that it needs.
bool WantsTokensOnly(const LentQuota& lent) {
  return lent.want.rate <= 0 && lent.want.burst <= 0;
}

// Max-min fair level f: the sum of min(demand, f) over all demands is
// `capacity`. Returns `capacity` if it covers all demands.
double MaxMinLevel(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  double left = capacity;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double fair = left / static_cast<double>(demands.size() - i);
    if (demands[i] >= fair) return fair;
    left -= demands[i];
  }
  return capacity;
}

}  // namespace

bool RateLimiter::Impl::IsOwner(OrganisationState& org, HostId host) {
  FindLenders(org);
  return std::any_of(org.lenders.begin(), org.lenders.end(),
                     [host](const Lender& each) { return each.host == host; });
}

// Borrowed quota is lent only from better to worse ranked owners, and last to
// hosts that own nothing. So it never returns to a host that it came from.
bool RateLimiter::Impl::MayRelendTo(OrganisationState& org, HostId borrower) {
  if (!org.is_owner) return false;
  if (!IsOwner(org, borrower)) return true;
  return QuotaOwners::RankOf(org.id, init.self) <
         QuotaOwners::RankOf(org.id, borrower);
}

LentQuota* RateLimiter::Impl::ApplyReport(OrganisationState& org, HostId from,
                                          Incarnation borrower,
                                          std::uint32_t number,
                                          const LoanAsk& ask, Instant now) {
  Advance(org, now);
  LentQuota* lent = org.account.ApplyReport(from, borrower, number, ask);
  if (lent == nullptr) {
    ++stats.messages_ignored;
    return nullptr;
  }
  lent->may_relend = MayRelendTo(org, from);
  lent->is_owner = IsOwner(org, from);
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
  pending_grants.push_back({from, {request.borrower, request.number, {}}});
  for (const LoanAsk& ask : request.asks) {
    OrganisationState* org = Find(ask.organisation);
    if (org == nullptr || !IsValid(ask)) {
      ++stats.messages_ignored;
      continue;
    }
    LentQuota* lent =
        ApplyReport(*org, from, request.borrower, request.number, ask, now);
    if (lent == nullptr) continue;
    lent->want = Min(ask.want, org->total);
    // The borrower still expects the tokens that it requested shortly before.
    lent->unmet_tokens =
        std::min(lent->UnmetTokensAt(now) + ask.need, org->total.burst);
    lent->unmet_expires = now + kUnmetTokensLifetime;
    GrantLoan(*org, *lent, true, now);
  }
  if (pending_grants.back().message.loans.empty()) pending_grants.pop_back();
}

void RateLimiter::Impl::OnReturn(HostId from, const LoanReturn& message,
                                 Instant now) {
  for (const LoanAsk& ask : message.asks) {
    OrganisationState* org = Find(ask.organisation);
    if (org == nullptr || !IsValid(ask)) {
      ++stats.messages_ignored;
      continue;
    }
    LentQuota* lent =
        ApplyReport(*org, from, message.borrower, message.number, ask, now);
    if (lent != nullptr) lent->want = Min(lent->want, lent->At(now));
  }
}

double RateLimiter::Impl::GrantableRate(const OrganisationState& org,
                                        const LentQuota& lent,
                                        Instant now) const {
  const RateAccount& account = org.account;
  const double before = lent.At(now).rate;
  // This borrower is a better ranked owner: it collects all quota and lends
  // back what is used here.
  if (!lent.may_relend) {
    const double own = account.own().rate - account.own_lent().rate;
    return std::max(0.0, before + std::min(own, account.held().rate));
  }
  const double others = account.lent_total().rate - before;
  const double capacity = account.own().rate + account.borrowed_total().rate;
  const double own_use = org.local_demand.rate(now);
  std::vector<double> demands = {own_use};
  for (const LentQuota& other : account.lent()) {
    demands.push_back(std::max(other.want.rate, other.At(now).rate));
  }
  const double fair = MaxMinLevel(std::move(demands), capacity);
  const double free = capacity - others - std::min(own_use, fair);
  return std::clamp(free, 0.0, std::max(fair, 0.0));
}

double RateLimiter::Impl::GrantableTokens(const OrganisationState& org,
                                          const LentQuota& lent,
                                          Instant now) const {
  const double tokens = org.account.tokens();
  int others = org.waiting > 0 ? 1 : 0;
  for (const LentQuota& other : org.account.lent()) {
    if (&other != &lent && other.UnmetTokensAt(now) > 0) ++others;
  }
  const double fair = std::max(1.0, tokens / (1 + others));
  return std::clamp(tokens - org.waiting, 0.0, fair);
}

void RateLimiter::Impl::GrantLoan(OrganisationState& org, LentQuota& lent,
                                  bool is_first_grant, Instant now) {
  if (!is_first_grant && lent.leases.size() >= kMaxLeasesPerLoan) return;
  Quota room = org.account.held();
  if (!lent.may_relend) {
    room = Min(room, org.account.own() - org.account.own_lent());
  }
  const double rate = std::min(lent.want.rate, GrantableRate(org, lent, now));
  const double unmet = lent.UnmetTokensAt(now);
  double tokens =
      std::min({unmet, GrantableTokens(org, lent, now), room.burst});
  // The borrower would lose a part of a token at the end of the loan.
  if (WantsTokensOnly(lent) && tokens < unmet) {
    tokens = std::floor(tokens + kRoundingTolerance);
  }
  if (!is_first_grant &&
      tokens < std::min(1.0, lent.unmet_tokens) - kRoundingTolerance &&
      rate <= lent.At(now).rate * 1.1) {
    return;
  }
  lent.unmet_tokens -= tokens;
  const Loan loan = MakeLoan(org, lent, room, rate, tokens, now);
  if (!is_first_grant) {
    pending_grants.push_back(
        {lent.borrower, {lent.incarnation, lent.last_number, {}}});
  }
  pending_grants.back().message.loans.push_back(loan);
}

Loan RateLimiter::Impl::MakeLoan(OrganisationState& org, LentQuota& lent,
                                 Quota room, double rate, double tokens,
                                 Instant now) {
  RateAccount& account = org.account;
  const Quota before = lent.At(now);
  // Burst without tokens, to be filled by what the borrower generates.
  const double wanted_burst =
      std::max(0.0, lent.want.burst - before.burst - tokens);
  const double keep = lent.may_relend
                          ? account.held().rate * org.total.burst /
                                std::max(org.total.rate, 1e-9) * kKeptBurstShare
                          : 0;
  const double spare = std::max(0.0, room.burst - tokens - keep);
  const double empty_burst =
      std::min({wanted_burst, spare, room.burst - tokens});
  // Tokens may be transferred only with burst that was not lent before.
  const bool grows = tokens + empty_burst > 0;
  const Quota level = {rate, grows ? before.burst + tokens + empty_burst
                                   : std::min(before.burst, lent.want.burst)};
  // Also transfers the tokens that no longer fit into the burst held here.
  const double overflow =
      account.tokens() - tokens - (account.held().burst - tokens - empty_burst);
  tokens += std::clamp(overflow, 0.0, empty_burst);

  const bool is_spot = WantsTokensOnly(lent);
  const Duration wanted_term = is_spot ? SpotTerm() : init.loan_term;
  const Duration shortest_term = is_spot ? SpotTerm() / 2 : kShortestTerm;
  const Duration margin = is_spot ? kSpotExpiryMargin : kExpiryMargin;
  const Instant wanted_until =
      now + Scaled(wanted_term, kMaxClockSpeedRatio) + margin;
  const Instant until = account.LatestSafeEnd(lent, level, wanted_until);
  const Duration term = std::min(
      wanted_term, Scaled(until - now - margin, 1 / kMaxClockSpeedRatio));
  Loan loan{org.id, {}, 0, {}, lent.next_part++};
  if (term < shortest_term || lent.leases.size() >= kMaxLeasesPerLoan) {
    return loan;
  }
  loan.quota = level;
  loan.tokens = tokens;
  loan.term = term;
  account.Grant(lent, loan, until);
  ++stats.loans_granted;
  if (lent.may_relend) lent.tokens_lent.Add(tokens, now);
  return loan;
}

void RateLimiter::Impl::GrantUnmetTokens(OrganisationState& org, Instant now) {
  for (LentQuota& lent : org.account.lent()) {
    if (lent.UnmetTokensAt(now) > 0 && org.account.tokens() > 0) {
      GrantLoan(org, lent, false, now);
    }
  }
}

bool RateLimiter::Impl::HasUnmetTokens(const OrganisationState& org,
                                       Instant now) {
  const std::vector<LentQuota>& lent = org.account.lent();
  return std::any_of(lent.begin(), lent.end(), [now](const LentQuota& each) {
    return each.UnmetTokensAt(now) > 0;
  });
}

}  // namespace lentilcross
