#include <algorithm>
#include <cmath>

#include "rate_book_impl.h"

namespace lentilcross {
namespace {

// Below this many requests per second an organisation counts as idle here.
constexpr double kIdleRate = 0.2;
// Shares of the rate in use from which an owner gathers the others' quotas, and
// below which it gives them back.
constexpr double kGatherAbove = 0.03;
constexpr double kGatherBelow = 0.015;
// Part of the burst that goes with a share of the demand. Hosts and the owner
// that serves them each keep as much; the rest stays with the primary.
constexpr double kStockShare = 0.25;
// An owner passes tokens on; it keeps what is used while it asks for more.
constexpr double kOwnerStockSeconds = 0.1;
// Part of the burst that is kept empty for generation at the borrowed rates.
constexpr double kReachShare = 0.15;
// With less, tokens are fetched one by one: they would lie idle at most hosts.
// 0.5 refuses up to 2.6 times as much without faults at rate 20 and burst 10; 2
// costs a fifth more traffic at large rates.
constexpr double kLeastStock = 1;
// With a smaller stock the bucket is often full and would lose borrowed rate.
constexpr double kLeastStockForRate = 3;
// Share of the stock of tokens below which more are fetched.
// Empty burst is given back from this part of the whole burst on.
constexpr double kLeastRelease = 0.02;
constexpr double kLowStock = 0.3;
// Asks for more than its part of each lender, as some have less.
constexpr double kOverask = 1.5;
constexpr Duration kAskInterval = std::chrono::milliseconds(4);
constexpr Duration kGrownAskInterval = std::chrono::milliseconds(1);
constexpr Duration kRateAskInterval = std::chrono::milliseconds(200);
constexpr Duration kRenewInterval = std::chrono::milliseconds(100);
constexpr Duration kReleaseInterval = std::chrono::milliseconds(50);
// Part of the time in which the whole bucket fills for which unused burst may
// be kept. Burst at other hosts is missing where tokens are saved up.
constexpr double kReleaseShare = 0.2;
constexpr Duration kAskAllInterval = std::chrono::milliseconds(100);
// Time in which an answer from another region arrives, twice over.
constexpr Duration kAnswerLimit = std::chrono::milliseconds(40);
// A lender in this domain answers much sooner than that.
constexpr Duration kNearAnswerLimit = std::chrono::milliseconds(10);
constexpr Duration kSilenceLimit = std::chrono::milliseconds(100);
// One lost message must not make hosts give up a lender and all its loans.
constexpr int kSilentRequests = 3;
constexpr Duration kSilencePenalty = std::chrono::seconds(3);
constexpr Duration kServedMemory = std::chrono::seconds(2);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(10);
constexpr int kMaxBackoffDoublings = 5;

// Part of a demand that arrives in nearly every second. Only this much rate is
// borrowed: rate at a host whose bucket is full is lost to all others.
double SteadyPart(double demand) {
  return std::max(0.0, demand - 2 * std::sqrt(demand));
}

Duration Backoff(const Lender& lender) {
  if (lender.failures == 0) {
    return lender.unanswered > 0 ? kAskInterval : Duration::zero();
  }
  const int doublings = std::min(lender.failures - 1, kMaxBackoffDoublings);
  return kFirstBackoff * (1 << doublings);
}

// A burst arrives while the first request of it is on its way.
bool HasGrown(const Lender& lender, double need, Instant now) {
  return need > 2 * lender.last_need && now - lender.asked >= kGrownAskInterval;
}

Duration ReleaseInterval(Quota total) {
  const std::chrono::duration<double> filled(total.burst /
                                             std::max(total.rate, 1e-9));
  if (filled * kReleaseShare >= kReleaseInterval) return kReleaseInterval;
  return std::chrono::duration_cast<Duration>(filled * kReleaseShare);
}

// Time for whose generation burst is kept empty.
double ReachSeconds(Quota total) {
  return kReachShare * total.burst / std::max(total.rate, 1e-9);
}

// Burst that neither holds tokens nor is needed for generation soon.
double UnusedBurst(const RateOrg& org) {
  const Quota held = org.account.held();
  const double reach = held.rate * ReachSeconds(org.total);
  return std::max(0.0, held.burst - org.account.tokens() - reach);
}

bool IsRenewalDue(const RateAccount& account, const Lender& lender,
                  Instant now) {
  for (const Borrowed& loan : account.borrowed()) {
    if (loan.lender != lender.host || loan.At(now).burst <= 0) continue;
    return loan.until() - now < (loan.until() - loan.since) / 2 &&
           now - lender.asked >= kRenewInterval;
  }
  return false;
}

}  // namespace

double RateLimiter::Impl::RateToBorrow(const RateOrg& org,
                                       const Wishes& wishes) {
  const double own = org.account.own().rate - org.account.own_lent().rate;
  const double steady =
      wishes.stock < kLeastStockForRate ? 0 : SteadyPart(wishes.demand);
  return std::max(0.0, steady - std::max(0.0, own));
}

void RateLimiter::Impl::FindLenders(RateOrg& org) {
  if (org.lenders_known) return;
  org.lenders_known = true;
  std::vector<Lender> found;
  const auto add = [&](FailureDomainId domain, const std::vector<HostId>& of) {
    const double share = owners.ShareOfOwner(domain);
    for (const HostId host : of) {
      if (host == init.self) continue;
      Lender lender;
      lender.host = host;
      lender.potential = {org.total.rate * share, org.total.burst * share};
      found.push_back(lender);
    }
  };
  add(init.failure_domain, org.owners_here);
  if (org.is_owner) {
    for (const FailureDomainId domain : owners.domains()) {
      if (domain == init.failure_domain) continue;
      add(domain, owners.Find(org.id, domain));
    }
  }
  std::sort(found.begin(), found.end(), [&](const auto& a, const auto& b) {
    return RankOf(org, a.host) < RankOf(org, b.host);
  });
  org.lenders = std::move(found);
}

void RateLimiter::Impl::NoteSilence(RateOrg& org, Instant now) const {
  for (Lender& lender : org.lenders) {
    const bool is_near = IsOwnerHere(org, lender.host);
    const Duration limit =
        is_near && lender.unanswered > 0 ? kNearAnswerLimit : kAnswerLimit;
    if (now - lender.asked > limit) lender.in_flight = 0;
    const bool is_late = now - lender.waiting_since > kSilenceLimit;
    if (lender.unanswered >= kSilentRequests && is_late) {
      lender.unanswered = 0;
      lender.silent_until = now + kSilencePenalty;
    }
  }
}

// Hosts borrow from the best ranked owner of their domain that answers, and
// those from the best ranked of all. Tokens are then in one place, where every
// host can get them, instead of in small parts everywhere.
Lender* RateLimiter::Impl::Primary(RateOrg& org, Instant now) {
  Lender* best = nullptr;
  for (Lender& lender : org.lenders) {
    if (org.is_owner && RankOf(org, lender.host) > RankOf(org, init.self)) {
      break;
    }
    if (lender.silent_until > now) continue;
    if (IsOwnerHere(org, lender.host)) return &lender;
    if (best == nullptr) best = &lender;
  }
  if (best != nullptr || org.is_owner) return best;
  return &org.lenders.front();
}

bool RateLimiter::Impl::CountsHere(const Lent& lent, bool is_home) const {
  if (!lent.onward) return false;
  if (is_home || lent.want.rate > 0) return true;
  return owners.DomainOf(lent.borrower) == init.failure_domain;
}

RateLimiter::Impl::Wishes RateLimiter::Impl::Wish(RateOrg& org, bool is_home,
                                                  Instant now) {
  const RateAccount& account = org.account;
  Wishes wishes;
  wishes.demand = org.local.rate(now);
  double wanted = org.waiting;
  for (const Lent& lent : account.lent()) {
    if (!CountsHere(lent, is_home)) continue;
    wishes.demand +=
        lent.drawn.rate(now) + std::max(lent.want.rate, lent.At(now).rate);
    wanted += lent.UnmetAt(now);
  }
  const double part =
      std::min(1.0, wishes.demand / std::max(org.total.rate, 1e-9));
  wishes.stock = part * org.total.burst * kStockShare;
  if (org.is_owner) {
    wishes.stock = std::min(wishes.stock, wishes.demand * kOwnerStockSeconds);
  }
  if (wishes.stock < kLeastStock) wishes.stock = 0;

  double available = account.tokens();
  for (const Lender& lender : org.lenders) available += lender.in_flight;
  const double low =
      wishes.stock > 0 ? std::max(kLowStock * wishes.stock, 1.0) : 0;
  wishes.urgent = wanted > available;
  if (wishes.urgent || available < low) {
    wishes.need = wanted + low + wishes.stock - available;
  }
  return wishes;
}

void RateLimiter::Impl::Plan(RateOrg& org, Instant now) {
  FindLenders(org);
  if (org.lenders.empty()) return;
  if (now - org.last_wait > init.longest_wait) org.waiting = 0;
  NoteSilence(org, now);
  Lender* primary = Primary(org, now);
  const bool is_home = primary == nullptr;
  const Wishes wishes = Wish(org, is_home, now);
  if (wishes.demand < kIdleRate && !wishes.urgent) {
    GiveBackAll(org, now);
  } else if (is_home) {
    Gather(org, wishes, now);
  } else {
    Buy(org, *primary, wishes, now);
  }
}

void RateLimiter::Impl::Gather(RateOrg& org, const Wishes& wishes,
                               Instant now) {
  const bool start =
      wishes.urgent || wishes.demand > kGatherAbove * org.total.rate;
  const bool keep = start || wishes.demand > kGatherBelow * org.total.rate;
  for (Lender& lender : org.lenders) {
    const Quota level = org.account.LevelFrom(lender.host);
    const bool renew = IsRenewalDue(org.account, lender, now);
    if (renew && !keep) {
      Drop(org, lender, now);
      continue;
    }
    const Quota most = lender.potential;
    const bool is_part =
        level.rate < 0.9 * most.rate || level.burst < 0.9 * most.burst;
    const bool more =
        start && is_part && now - lender.asked >= kRateAskInterval;
    if (!renew && !more) continue;
    const double need = std::max(0.0, lender.potential.burst - level.burst);
    Ask(org, lender, level, 0, {lender.potential.rate, 0}, need, now);
  }
}

void RateLimiter::Impl::Buy(RateOrg& org, Lender& primary, const Wishes& wishes,
                            Instant now) {
  const RateAccount& account = org.account;
  const double rate = RateToBorrow(org, wishes);
  const bool ready = now - primary.asked >= Backoff(primary) ||
                     HasGrown(primary, wishes.need, now);
  const double need = ready ? wishes.need : 0;
  const bool is_cold = now - primary.served > kServedMemory &&
                       (primary.failures > 0 || !org.is_owner ||
                        wishes.need > primary.potential.burst / 2);
  if (wishes.urgent && is_cold) AskAll(org, wishes, now);
  for (Lender& lender : org.lenders) {
    if (&lender != &primary && IsRenewalDue(account, lender, now)) {
      Drop(org, lender, now);
    }
  }
  const Quota level = account.LevelFrom(primary.host);
  const Duration since = now - primary.asked;
  const bool renew = IsRenewalDue(account, primary, now);
  const bool raise = rate > level.rate * 1.1 + 0.01 * org.total.rate &&
                     since >= kRateAskInterval;
  const double slack = UnusedBurst(org);
  const double freed = std::min(slack, level.burst);
  const double kept_rate = std::min(level.rate, rate);
  if (need <= 0 && !renew && !raise) {
    const double least =
        std::max(wishes.stock, std::min(2.0, kLeastRelease * org.total.burst));
    if (since >= ReleaseInterval(org.total) && freed > least) {
      Release(org, primary, {kept_rate, level.burst - slack}, 0, now);
    }
    return;
  }
  const double most = 1.5 * std::max(wishes.stock, 1.0);
  const double surplus =
      renew ? std::clamp(account.tokens() - most, 0.0, level.burst - freed) : 0;
  const double room = rate > 0 ? rate * ReachSeconds(org.total) : 0;
  Ask(org, primary, {kept_rate, level.burst - freed - surplus}, surplus,
      {rate, room}, need, now);
}

// Used when it is not known where the tokens are: the primary has not gathered
// them yet, or does not answer.
void RateLimiter::Impl::AskAll(RateOrg& org, const Wishes& wishes,
                               Instant now) {
  const auto count = static_cast<double>(org.lenders.size());
  const Lender* primary = Primary(org, now);
  const bool is_late = primary->unanswered > 0 &&
                       now - primary->waiting_since > kNearAnswerLimit;
  if (!org.is_owner && !is_late) return;
  for (Lender& lender : org.lenders) {
    if (&lender == primary || lender.silent_until > now) continue;
    // More than its part, as some have less and the need may grow.
    const double part =
        std::max(wishes.need / count * kOverask, lender.potential.burst / 2);
    const double need = org.is_owner ? part : wishes.need;
    if (now - lender.asked < kAskAllInterval && !HasGrown(lender, need, now)) {
      continue;
    }
    const Quota level = org.account.LevelFrom(lender.host);
    Ask(org, lender, level, 0, {level.rate, 0}, need, now);
  }
}

void RateLimiter::Impl::Ask(RateOrg& org, Lender& lender, Quota keep,
                            double returned, Quota want_more, double need,
                            Instant now) {
  LoanAsk ask = org.account.Declare(lender.host, keep, returned);
  ask.organisation = org.id;
  const Quota held = org.account.LevelFrom(lender.host);
  ask.want = {std::max(want_more.rate, held.rate),
              held.burst + need + want_more.burst};
  ask.need = need;
  if (lender.unanswered == 0) lender.waiting_since = now;
  ++lender.unanswered;
  lender.asked = now;
  lender.in_flight += need;
  lender.last_need = need;
  asks[lender.host].push_back(ask);
}

void RateLimiter::Impl::Drop(RateOrg& org, Lender& lender, Instant now) {
  const RateAccount& account = org.account;
  const Quota level = account.LevelFrom(lender.host);
  if (level.burst <= 0 && level.rate <= 0) return;
  const double covered = std::max(0.0, account.held().burst - level.burst);
  const double returned = std::max(0.0, account.tokens() - covered);
  Release(org, lender, {}, returned, now);
  lender.in_flight = 0;
}

void RateLimiter::Impl::Release(RateOrg& org, Lender& lender, Quota keep,
                                double returned, Instant now) {
  LoanAsk ask = org.account.Declare(lender.host, keep, returned);
  ask.organisation = org.id;
  lender.asked = now;
  returns[lender.host].push_back(ask);
}

void RateLimiter::Impl::GiveBackAll(RateOrg& org, Instant now) {
  for (Lender& lender : org.lenders) Drop(org, lender, now);
}

bool RateLimiter::Impl::OnGrant(HostId from, const LoanGrant& grant,
                                Instant now) {
  const auto& list = sent[from];
  const auto it = std::find_if(
      list.begin(), list.end(),
      [&](const Sent& request) { return request.number == grant.number; });
  if (grant.borrower != init.incarnation || it == list.end()) {
    ++stats.messages_ignored;
    return false;
  }
  bool more = false;
  for (const Loan& loan : grant.loans) {
    if (AcceptLoan(from, grant.number, it->at, loan, now)) more = true;
  }
  return more;
}

void RateLimiter::Impl::NoteAnswer(RateOrg& org, Lender& lender,
                                   const Loan& loan, Instant now) {
  lender.unanswered = 0;
  lender.silent_until = {};
  lender.in_flight = std::max(0.0, lender.in_flight - loan.tokens);
  // Only the primary sends more tokens once it gets them itself.
  if (&lender != Primary(org, now)) lender.in_flight = 0;
  if (loan.tokens >= 0.1 * lender.last_need) {
    lender.served = now;
    lender.failures = 0;
  } else if (loan.part == 0) {
    ++lender.failures;
  }
}

bool RateLimiter::Impl::AcceptLoan(HostId from, std::uint32_t number,
                                   Instant at, const Loan& loan, Instant now) {
  RateOrg* org = Find(loan.organisation);
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
    if (lender.host == from) NoteAnswer(*org, lender, loan, now);
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
