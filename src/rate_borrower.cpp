#include <algorithm>
#include <cmath>

#include "rate_book_impl.h"

namespace lentilcross {
namespace {

// Requests per second below which an organisation counts as idle here.
constexpr double kIdleRate = 0.2;
// The primary owner borrows the quotas of all other owners while the demand is
// above the first share of the organisation's rate, and returns them below the
// second.
constexpr double kBorrowFromAllAbove = 0.03;
constexpr double kBorrowFromAllBelow = 0.015;
// Part of the burst that is held as a reserve of tokens, in proportion to the
// share of the rate that is in demand. A host and the owner that lends to it
// each hold this much; the rest stays with the primary owner.
constexpr double kReserveShare = 0.25;
// An owner lends its tokens on, so its reserve only covers the demand while it
// requests more.
constexpr double kOwnerReserveSeconds = 0.1;
// Part of the burst that is kept free for tokens generated at borrowed rates.
constexpr double kHeadroomShare = 0.15;
// Without a reserve of this size, tokens are requested one by one, as a smaller
// reserve would lie idle at most hosts. 0.5 refuses up to 2.6 times as much
// without faults at rate 20 and burst 10; 2 costs a fifth more traffic at large
// rates.
constexpr double kMinReserveTokens = 1;
// With a smaller reserve no rate is borrowed: the bucket would often be full
// and the tokens generated at the borrowed rate would be lost.
constexpr double kMinReserveForRate = 3;
// Smallest part of the whole burst that is worth returning.
constexpr double kMinReturnShare = 0.02;
// Part of a borrowed rate that is kept when the bucket is full.
constexpr double kOverflowRateShare = 0.5;
// More tokens are requested below this share of the reserve.
constexpr double kLowReserveShare = 0.3;
// Requests more than an equal part from each lender, as some have less.
constexpr double kOverRequestFactor = 1.5;
constexpr Duration kRequestInterval = std::chrono::milliseconds(4);
constexpr Duration kGrownRequestInterval = std::chrono::milliseconds(1);
constexpr Duration kRateRequestInterval = std::chrono::milliseconds(200);
constexpr Duration kRenewInterval = std::chrono::milliseconds(100);
// A loan is renewed when no more than this share of its term is left: enough
// for three more attempts with the shortest term in use.
constexpr double kRenewalShare = 0.35;
constexpr Duration kMaxReturnInterval = std::chrono::milliseconds(50);
// Part of the refill time of the whole bucket for which unused burst may be
// kept. Meanwhile other hosts lack that burst to accumulate tokens.
constexpr double kReturnIntervalShare = 0.2;
constexpr Duration kRequestAllInterval = std::chrono::milliseconds(100);
// Twice the time in which an answer from another region arrives.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(40);
// For lenders in this failure domain, which answer much sooner.
constexpr Duration kLocalAnswerTimeout = std::chrono::milliseconds(10);
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(100);
// A single lost message must not make hosts abandon a lender and all its loans.
constexpr int kMaxUnansweredRequests = 3;
constexpr Duration kUnresponsivePeriod = std::chrono::seconds(3);
constexpr Duration kRecentlyServedPeriod = std::chrono::seconds(2);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(10);
constexpr int kMaxBackoffDoublings = 5;

// Part of a demand that arrives in nearly every second: the mean less two
// standard deviations of Poisson arrivals. No more rate than this is borrowed,
// as the rate of a host whose bucket is full is lost to all others.
double SteadyPart(double demand) {
  return std::max(0.0, demand - 2 * std::sqrt(demand));
}

Duration Backoff(const Lender& lender) {
  if (lender.failures == 0) {
    return lender.unanswered > 0 ? kRequestInterval : Duration::zero();
  }
  const int doublings = std::min(lender.failures - 1, kMaxBackoffDoublings);
  return kFirstBackoff * (1 << doublings);
}

// More of a burst may arrive while the first loan request for it is in flight.
bool NeedHasGrown(const Lender& lender, double need, Instant now) {
  return need > 2 * lender.last_need &&
         now - lender.last_request >= kGrownRequestInterval;
}

Duration ReturnInterval(Quota total) {
  const std::chrono::duration<double> filled(total.burst /
                                             std::max(total.rate, 1e-9));
  if (filled * kReturnIntervalShare >= kMaxReturnInterval) {
    return kMaxReturnInterval;
  }
  return std::chrono::duration_cast<Duration>(filled * kReturnIntervalShare);
}

// Time of token generation for which burst is kept free.
double HeadroomSeconds(Quota total) {
  return kHeadroomShare * total.burst / std::max(total.rate, 1e-9);
}

// Burst that neither holds tokens nor is kept free for generated ones.
double UnusedBurst(const OrganisationState& org) {
  const Quota held = org.account.held();
  const double headroom = held.rate * HeadroomSeconds(org.total);
  return std::max(0.0, held.burst - org.account.tokens() - headroom);
}

const BorrowedQuota* FindLoan(const RateAccount& account, HostId lender) {
  for (const BorrowedQuota& loan : account.borrowed()) {
    if (loan.lender == lender) return &loan;
  }
  return nullptr;
}

}  // namespace

bool RateLimiter::Impl::IsRenewalDue(const OrganisationState& org,
                                     const Lender& lender, Instant now) const {
  const BorrowedQuota* loan = FindLoan(org.account, lender.host);
  if (loan == nullptr || loan->At(now).burst <= 0) return false;
  const Duration term = loan->until() - loan->since;
  if (term <= SpotTerm()) return false;
  const std::chrono::duration<double> left = loan->until() - now;
  return left < term * kRenewalShare &&
         now - lender.last_request >= kRenewInterval;
}

bool RateLimiter::Impl::EndsSoon(const OrganisationState& org,
                                 const Lender& lender, Instant now) const {
  const BorrowedQuota* loan = FindLoan(org.account, lender.host);
  return loan == nullptr || loan->until() - now <= SpotTerm();
}

double RateLimiter::Impl::RateToBorrow(const OrganisationState& org,
                                       const BorrowingNeeds& needs) {
  const double own = org.account.own().rate - org.account.own_lent().rate;
  const double steady =
      needs.reserve < kMinReserveForRate ? 0 : SteadyPart(needs.demand);
  return std::max(0.0, steady - std::max(0.0, own));
}

void RateLimiter::Impl::FindLenders(OrganisationState& org) {
  if (org.lenders_known) return;
  org.lenders_known = true;
  org.lenders.clear();
  const OwnerGroupId own_group = owners.GroupOf(init.failure_domain);
  for (const HostId host : owners.FindAll(org.id)) {
    if (host == init.self) continue;
    const OwnerGroupId group = owners.GroupOf(host);
    const double share = owners.ShareOfOwner(group);
    Lender lender;
    lender.host = host;
    lender.assigned = {org.total.rate * share, org.total.burst * share};
    lender.is_local = group == own_group;
    org.lenders.push_back(lender);
  }
}

void RateLimiter::Impl::DetectUnresponsiveLenders(OrganisationState& org,
                                                  Instant now) {
  for (Lender& lender : org.lenders) {
    const Duration limit = lender.is_local && lender.unanswered > 0
                               ? kLocalAnswerTimeout
                               : kAnswerTimeout;
    if (now - lender.last_request > limit) lender.tokens_in_flight = 0;
    const bool is_late = now - lender.unanswered_since > kUnresponsiveAfter;
    if (lender.unanswered >= kMaxUnansweredRequests && is_late) {
      lender.unanswered = 0;
      lender.unresponsive_until = now + kUnresponsivePeriod;
    }
  }
}

// All hosts borrow from the best ranked owner, which borrows from the other
// owners. That keeps the tokens in one place, where every host can get them,
// instead of in small parts everywhere. If it does not respond, the next one
// near by takes its place, as a partition may separate this host from all
// others.
Lender* RateLimiter::Impl::PrimaryLender(OrganisationState& org, Instant now) {
  Lender* best = nullptr;
  for (Lender& lender : org.lenders) {
    if (org.is_owner && QuotaOwners::RankOf(org.id, lender.host) >
                            QuotaOwners::RankOf(org.id, init.self)) {
      break;
    }
    if (lender.unresponsive_until > now) continue;
    const bool is_first = &lender == &org.lenders.front();
    if (is_first || lender.is_local) return &lender;
    if (best == nullptr) best = &lender;
  }
  if (best != nullptr || org.is_owner) return best;
  return &org.lenders.front();
}

bool RateLimiter::Impl::CountsAsDemand(const LentQuota& lent, bool is_primary) {
  if (!lent.may_relend) return false;
  return is_primary || lent.want.rate > 0 || !lent.is_owner;
}

RateLimiter::Impl::BorrowingNeeds RateLimiter::Impl::ComputeNeeds(
    OrganisationState& org, bool is_primary, Instant now) {
  const RateAccount& account = org.account;
  BorrowingNeeds needs;
  needs.demand = org.local_demand.rate(now);
  double wanted = org.waiting;
  for (const LentQuota& lent : account.lent()) {
    if (!CountsAsDemand(lent, is_primary)) continue;
    needs.demand += lent.tokens_lent.rate(now) +
                    std::max(lent.want.rate, lent.At(now).rate);
    wanted += lent.UnmetTokensAt(now);
  }
  const double part =
      std::min(1.0, needs.demand / std::max(org.total.rate, 1e-9));
  needs.reserve = part * org.total.burst * kReserveShare;
  if (org.is_owner) {
    needs.reserve =
        std::min(needs.reserve, needs.demand * kOwnerReserveSeconds);
  }
  if (needs.reserve < kMinReserveTokens) needs.reserve = 0;
  needs.spot = needs.reserve <= 0 && !org.is_owner;

  double available = account.tokens();
  for (const Lender& lender : org.lenders) available += lender.tokens_in_flight;
  const double low =
      needs.reserve > 0 ? std::max(kLowReserveShare * needs.reserve, 1.0) : 0;
  // Tokens on their way must not be given back as long as requests need them.
  needs.idle = needs.demand < kIdleRate && wanted <= 0;
  needs.urgent = wanted > available + kRoundingTolerance;
  if (needs.urgent || available < low) {
    needs.tokens = wanted + low + needs.reserve - available;
  }
  return needs;
}

void RateLimiter::Impl::PlanLoans(OrganisationState& org, Instant now) {
  FindLenders(org);
  if (org.lenders.empty()) return;
  if (now - org.last_wait > init.longest_wait) org.waiting = 0;
  DetectUnresponsiveLenders(org, now);
  Lender* primary = PrimaryLender(org, now);
  const bool is_primary = primary == nullptr;
  const BorrowingNeeds needs = ComputeNeeds(org, is_primary, now);
  if (needs.idle) {
    ReturnLoansOf(org, now);
  } else if (is_primary) {
    BorrowFromAll(org, needs, now);
  } else {
    BorrowFromPrimary(org, *primary, needs, now);
  }
}

void RateLimiter::Impl::BorrowFromAll(OrganisationState& org,
                                      const BorrowingNeeds& needs,
                                      Instant now) {
  const bool start =
      needs.urgent || needs.demand > kBorrowFromAllAbove * org.total.rate;
  const bool keep =
      start || needs.demand > kBorrowFromAllBelow * org.total.rate;
  for (Lender& lender : org.lenders) {
    const Quota level = org.account.BorrowedFrom(lender.host);
    const bool renew = IsRenewalDue(org, lender, now);
    if (renew && !keep) {
      ReturnLoan(org, lender, now);
      continue;
    }
    const Quota assigned = lender.assigned;
    const bool is_part =
        level.rate < 0.9 * assigned.rate || level.burst < 0.9 * assigned.burst;
    const bool more =
        start && is_part && now - lender.last_request >= kRateRequestInterval;
    if (!renew && !more) continue;
    const double need = std::max(0.0, lender.assigned.burst - level.burst);
    RequestRateAndTokens(org, lender, level, 0, {lender.assigned.rate, 0}, need,
                         now);
  }
}

void RateLimiter::Impl::BorrowFromPrimary(OrganisationState& org,
                                          Lender& primary,
                                          const BorrowingNeeds& needs,
                                          Instant now) {
  const RateAccount& account = org.account;
  const double rate = RateToBorrow(org, needs);
  const bool ready = now - primary.last_request >= Backoff(primary) ||
                     NeedHasGrown(primary, needs.tokens, now);
  const double need = ready ? needs.tokens : 0;
  const bool primary_lacks_tokens =
      now - primary.last_served > kRecentlyServedPeriod &&
      (primary.failures > 0 || !org.is_owner ||
       needs.tokens > primary.assigned.burst / 2);
  if (needs.urgent && primary_lacks_tokens) RequestFromAll(org, needs, now);
  for (Lender& lender : org.lenders) {
    if (&lender != &primary && IsRenewalDue(org, lender, now)) {
      ReturnLoan(org, lender, now);
    }
  }
  // The lender takes no tokens back together with burst that a grant on its way
  // includes.
  const bool grant_due = primary.tokens_in_flight > 0;
  if (needs.spot && rate <= 0) {
    // Tokens without a waiting request were granted twice or too late.
    const bool unused_token = account.tokens() >= 1 - kRoundingTolerance;
    if (need > 0) {
      RequestSpotTokens(org, primary, need, now);
    } else if (org.waiting == 0 && unused_token && !grant_due) {
      ReturnLoansOf(org, now);
    }
    return;
  }
  AdjustLoan(org, primary, needs, rate, need, now);
}

// Keeps a loan at a host with a reserve: renews it, asks for more tokens or a
// higher rate, and returns what is not used.
void RateLimiter::Impl::AdjustLoan(OrganisationState& org, Lender& primary,
                                   const BorrowingNeeds& needs, double rate,
                                   double need, Instant now) {
  const RateAccount& account = org.account;
  const Quota level = account.BorrowedFrom(primary.host);
  const Duration since = now - primary.last_request;
  const bool renew = IsRenewalDue(org, primary, now);
  const bool raise = rate > level.rate * 1.1 + 0.01 * org.total.rate &&
                     since >= kRateRequestInterval;
  const double unused = UnusedBurst(org);
  const double freed = std::min(unused, level.burst);
  // What a full bucket generates is lost. Traffic that has left this host shows
  // so before it shows in the demand.
  const bool overflows =
      level.rate > 0 && account.tokens() >= account.held().burst - 1;
  const double kept_rate =
      std::min(level.rate * (overflows ? kOverflowRateShare : 1), rate);
  const double most = 1.5 * std::max(needs.reserve, 1.0);
  const double surplus =
      std::clamp(account.tokens() - most, 0.0, level.burst - freed);
  const Quota kept = {kept_rate, level.burst - freed - surplus};
  if (need <= 0 && !renew && !raise) {
    const double least = std::max(
        needs.reserve, std::min(2.0, kMinReturnShare * org.total.burst));
    const bool returns = since >= ReturnInterval(org.total) &&
                         (freed + surplus > least || overflows);
    const bool grant_due = primary.tokens_in_flight > 0;
    if (returns && !grant_due && !EndsSoon(org, primary, now)) {
      QueueReturn(org, primary, kept, surplus, now);
    }
    return;
  }
  const double room = rate > 0 ? rate * HeadroomSeconds(org.total) : 0;
  RequestRateAndTokens(org, primary, kept, surplus, {rate, room}, need, now);
}

// Used when it is not known which owners have tokens: the primary has not
// collected them yet, or does not answer.
void RateLimiter::Impl::RequestFromAll(OrganisationState& org,
                                       const BorrowingNeeds& needs,
                                       Instant now) {
  const auto count = static_cast<double>(org.lenders.size());
  const Lender* primary = PrimaryLender(org, now);
  const bool is_late =
      primary->unanswered > 0 &&
      now - primary->unanswered_since >
          (primary->is_local ? kLocalAnswerTimeout : kAnswerTimeout);
  if (!org.is_owner && !is_late) return;
  for (Lender& lender : org.lenders) {
    if (&lender == primary || lender.unresponsive_until > now) continue;
    // More than an equal part, as some have less and the need may grow.
    const double part = std::max(needs.tokens / count * kOverRequestFactor,
                                 lender.assigned.burst / 2);
    const double need = org.is_owner ? part : needs.tokens;
    if (now - lender.last_request < kRequestAllInterval &&
        !NeedHasGrown(lender, need, now)) {
      continue;
    }
    if (needs.spot) {
      RequestSpotTokens(org, lender, need, now);
      continue;
    }
    const Quota level = org.account.BorrowedFrom(lender.host);
    RequestRateAndTokens(org, lender, level, 0, {level.rate, 0}, need, now);
  }
}

void RateLimiter::Impl::RequestRateAndTokens(OrganisationState& org,
                                             Lender& lender, Quota keep,
                                             double returned, Quota want_more,
                                             double need, Instant now) {
  LoanAsk ask = org.account.ReduceAndReport(lender.host, keep, returned);
  const Quota held = org.account.BorrowedFrom(lender.host);
  ask.want = {std::max(want_more.rate, held.rate),
              held.burst + need + want_more.burst};
  ask.need = need;
  QueueRequest(org, lender, std::move(ask), now);
}

// Gives back all that is not needed for tokens, so that nothing is left to be
// returned later.
void RateLimiter::Impl::RequestSpotTokens(OrganisationState& org,
                                          Lender& lender, double need,
                                          Instant now) {
  const Quota level = org.account.BorrowedFrom(lender.host);
  const Quota keep = {0, std::max(0.0, level.burst - UnusedBurst(org))};
  LoanAsk ask = org.account.ReduceAndReport(lender.host, keep, 0);
  ask.need = need;
  QueueRequest(org, lender, std::move(ask), now);
}

void RateLimiter::Impl::QueueRequest(OrganisationState& org, Lender& lender,
                                     LoanAsk ask, Instant now) {
  if (lender.unanswered == 0) lender.unanswered_since = now;
  ++lender.unanswered;
  lender.last_request = now;
  lender.tokens_in_flight += ask.need;
  lender.last_need = ask.need;
  ask.organisation = org.id;
  pending_asks[lender.host].push_back(std::move(ask));
}

void RateLimiter::Impl::ReturnLoan(OrganisationState& org, Lender& lender,
                                   Instant now) {
  const RateAccount& account = org.account;
  const Quota level = account.BorrowedFrom(lender.host);
  if (level.burst <= 0 && level.rate <= 0) return;
  const double covered = std::max(0.0, account.held().burst - level.burst);
  const double returned = std::max(0.0, account.tokens() - covered);
  QueueReturn(org, lender, {}, returned, now);
  lender.tokens_in_flight = 0;
}

void RateLimiter::Impl::QueueReturn(OrganisationState& org, Lender& lender,
                                    Quota keep, double returned, Instant now) {
  LoanAsk ask = org.account.ReduceAndReport(lender.host, keep, returned);
  ask.organisation = org.id;
  lender.last_request = now;
  pending_returns[lender.host].push_back(ask);
}

void RateLimiter::Impl::ReturnLoansOf(OrganisationState& org, Instant now) {
  for (Lender& lender : org.lenders) ReturnLoan(org, lender, now);
}

const RateLimiter::Impl::SentRequest* RateLimiter::Impl::FindSentRequest(
    HostId to, std::uint32_t number) const {
  const auto list = sent_requests.find(to);
  if (list == sent_requests.end()) return nullptr;
  const auto it = std::find_if(
      list->second.begin(), list->second.end(),
      [number](const SentRequest& each) { return each.number == number; });
  return it == list->second.end() ? nullptr : &*it;
}

bool RateLimiter::Impl::OnGrant(HostId from, const LoanGrant& grant,
                                Instant now) {
  const SentRequest* request = FindSentRequest(from, grant.number);
  if (grant.borrower != init.incarnation || request == nullptr) {
    ++stats.messages_ignored;
    return false;
  }
  bool more = false;
  for (const Loan& loan : grant.loans) {
    if (AcceptLoan(from, grant.number, request->at, loan, now)) more = true;
  }
  return more;
}

void RateLimiter::Impl::RecordAnswer(OrganisationState& org, Lender& lender,
                                     const Loan& loan, Instant now) {
  lender.unanswered = 0;
  lender.unresponsive_until = {};
  lender.tokens_in_flight =
      std::max(0.0, lender.tokens_in_flight - loan.tokens);
  // Only the primary grants further tokens later, when it gets them itself.
  if (&lender != PrimaryLender(org, now)) lender.tokens_in_flight = 0;
  if (loan.tokens >= 0.1 * lender.last_need) {
    lender.last_served = now;
    lender.failures = 0;
  } else if (loan.part == 0) {
    ++lender.failures;
  }
}

bool RateLimiter::Impl::AcceptLoan(HostId from, std::uint32_t number,
                                   Instant at, const Loan& loan, Instant now) {
  OrganisationState* org = Find(loan.organisation);
  const bool valid = loan.quota.rate >= 0 && loan.quota.burst >= 0 &&
                     loan.tokens >= 0 && loan.tokens <= loan.quota.burst &&
                     std::isfinite(loan.quota.rate + loan.quota.burst) &&
                     loan.term <= init.loan_term;
  if (org == nullptr || !valid) {
    ++stats.messages_ignored;
    return false;
  }
  Advance(*org, now);
  for (Lender& lender : org->lenders) {
    if (lender.host == from) RecordAnswer(*org, lender, loan, now);
  }
  const Instant until = at + loan.term;
  if (loan.term <= Duration::zero() || until <= now) return false;
  if (!org->account.Accept(from, number, loan, until)) {
    ++stats.messages_ignored;
    return false;
  }
  ++stats.loans_taken;
  MarkDirty(*org);
  return org->account.tokens() >= 1;
}

}  // namespace lentilcross
