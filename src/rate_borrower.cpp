#include <algorithm>
#include <cmath>

#include "rate_book_impl.h"

namespace lentilcross {
namespace {

// Below this many requests per second an organisation counts as idle here.
constexpr double kIdleRate = 0.2;
// Share of the wished stock of tokens below which more are fetched.
constexpr double kLowStock = 0.3;
constexpr double kRefilledStock = 0.7;
// Owners of other domains are asked in small groups unless a request waits.
constexpr std::size_t kPrefetchLenders = 3;
// Asks for more than its part of each lender, as some have less.
constexpr double kOverask = 1.5;
constexpr Duration kAskInterval = std::chrono::milliseconds(4);
constexpr Duration kRateAskInterval = std::chrono::milliseconds(200);
constexpr Duration kReleaseInterval = std::chrono::milliseconds(50);
constexpr Duration kAnswerLimit = std::chrono::milliseconds(40);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(10);
constexpr int kMaxBackoffDoublings = 5;

// Part of a demand that arrives in nearly every second. Only this much rate is
// borrowed: rate at a host whose bucket is full is lost to all others.
double SteadyPart(double demand) {
  return std::max(0.0, demand - 2 * std::sqrt(demand));
}

Duration Backoff(const Lender& lender) {
  if (lender.failures == 0) return kAskInterval;
  const int doublings = std::min(lender.failures - 1, kMaxBackoffDoublings);
  return kFirstBackoff * (1 << doublings);
}

}  // namespace

void RateBook::Impl::FindLenders(RateOrg& org) {
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
  // Every host starts with another lender.
  std::sort(found.begin(), found.end(), [this](const auto& a, const auto& b) {
    return CombineHash(init.self.value(), a.host.value()) <
           CombineHash(init.self.value(), b.host.value());
  });
  org.lenders = std::move(found);
  org.next_lender = 0;
}

void RateBook::Impl::PlanRates(RateOrg& org, double rate,
                               std::vector<double>& rates) const {
  const std::size_t count = org.lenders.size();
  double left = rate;
  for (std::size_t i = 0; i < count; ++i) {
    // An owner here can borrow on; owners elsewhere lend only their own share.
    const double most = org.is_owner ? org.lenders[i].potential.rate
                                     : rate / static_cast<double>(count);
    rates[i] = std::min(left, most);
    left -= rates[i];
  }
}

void RateBook::Impl::PlanTokens(RateOrg& org, double need, bool urgent,
                                Instant now, std::vector<double>& needs) const {
  const std::size_t count = org.lenders.size();
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (org.next_lender + i) % count;
    const Lender& lender = org.lenders[index];
    if (now - lender.asked >= Backoff(lender)) ready.push_back(index);
  }
  if (ready.empty()) return;
  const std::size_t group = org.is_owner ? kPrefetchLenders : 1;
  if (!urgent && ready.size() > group) ready.resize(group);
  const double part = need / static_cast<double>(ready.size());
  const double overask = ready.size() > 1 ? kOverask : 1;
  for (const std::size_t index : ready) {
    // An owner here is asked for whole tokens: parts of one admit nothing.
    const double least = org.is_owner ? 0 : std::min(need, 2.0);
    needs[index] = std::max(part * overask, least);
  }
  org.next_lender = (ready.back() + 1) % count;
}

void RateBook::Impl::Plan(RateOrg& org, Instant now) {
  FindLenders(org);
  const std::size_t count = org.lenders.size();
  if (count == 0) return;
  if (now - org.last_wait > init.longest_wait) org.waiting = 0;

  RateAccount& account = org.account;
  double unmet = 0;
  double lent_rate = 0;
  for (const Lent& lent : account.lent()) {
    if (!lent.onward) continue;
    unmet += lent.UnmetAt(now);
    lent_rate += std::max(lent.want.rate, lent.At(now).rate);
  }
  const double demand = org.local.rate(now) + org.drawn.rate(now) + lent_rate;
  if (demand < kIdleRate && org.waiting == 0 && unmet <= 0) {
    GiveBackAll(org, now);
    return;
  }

  const double part = std::min(1.0, demand / std::max(org.total.rate, 1e-9));
  double stock = part * org.total.burst / 2;
  if (stock < 0.5) stock = 0;
  stock = std::max(stock, std::min(account.own().burst, 2 * stock));

  double in_flight = 0;
  for (Lender& lender : org.lenders) {
    if (now - lender.asked > kAnswerLimit) lender.in_flight = 0;
    in_flight += lender.in_flight;
  }
  const double tokens = account.tokens();
  const double shortage = org.waiting + unmet - tokens - in_flight;
  const bool urgent = shortage > 0;
  double need = 0;
  if (urgent) {
    need = shortage + stock / 2;
  } else if (tokens + in_flight <
             std::max(kLowStock * stock, std::min(stock, 1.0))) {
    need = std::max(kRefilledStock * stock, 1.0) - tokens - in_flight;
  }
  std::vector<double> rates(count, 0);
  std::vector<double> needs(count, 0);
  const double wished_rate =
      std::max(0.0, SteadyPart(demand) - account.own().rate);
  PlanRates(org, wished_rate, rates);
  if (need > 0) PlanTokens(org, need, urgent, now, needs);

  // Burst that neither holds tokens nor is needed for generation soon.
  double slack = account.held().burst - tokens - stock;
  const double cap = std::max(0.0, stock - tokens - need);
  for (std::size_t i = 0; i < count; ++i) {
    Lender& lender = org.lenders[i];
    const Quota level = account.LevelFrom(lender.host);
    Instant until{};
    for (const Borrowed& loan : account.borrowed()) {
      if (loan.lender == lender.host) until = loan.level.until;
    }
    const Duration since = now - lender.asked;
    const bool renew = level.burst > 0 && until - now < init.loan_term / 2 &&
                       since >= kRateAskInterval;
    const bool raise = rates[i] > level.rate * 1.1 + 0.02 * wished_rate &&
                       since >= kRateAskInterval;
    const bool release = level.burst > 0 && slack > std::max(2.0, stock) &&
                         since >= kReleaseInterval;
    if (needs[i] <= 0 && !renew && !raise && !release) continue;
    const double freed = std::clamp(slack, 0.0, level.burst);
    slack -= freed;
    const double surplus = renew
                               ? std::clamp(tokens - 1.5 * std::max(stock, 1.0),
                                            0.0, level.burst - freed)
                               : 0;
    const Quota keep{std::min(level.rate, rates[i]),
                     level.burst - freed - surplus};
    const double share = wished_rate > 0 ? rates[i] / wished_rate : 0;
    Ask(org, lender, keep, surplus, {rates[i], cap * share}, needs[i], now);
  }
}

void RateBook::Impl::Ask(RateOrg& org, Lender& lender, Quota keep,
                         double returned, Quota more, double need,
                         Instant now) {
  LoanAsk ask = org.account.Declare(lender.host, keep, returned);
  ask.organisation = org.id;
  ask.want = {more.rate, ask.held.burst + need + more.burst};
  ask.need = need;
  lender.asked = now;
  lender.in_flight += need;
  lender.last_need = need;
  asks[lender.host].push_back(ask);
}

void RateBook::Impl::GiveBackAll(RateOrg& org, Instant) {
  for (Lender& lender : org.lenders) {
    const Quota level = org.account.LevelFrom(lender.host);
    if (level.burst <= 0 && level.rate <= 0) continue;
    LoanAsk ask = org.account.Declare(lender.host, {}, level.burst);
    ask.organisation = org.id;
    lender.in_flight = 0;
    returns[lender.host].push_back(ask);
  }
}

bool RateBook::Impl::OnGrant(HostId from, const LoanGrant& grant, Instant now) {
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

bool RateBook::Impl::AcceptLoan(HostId from, std::uint32_t number, Instant at,
                                const Loan& loan, Instant now) {
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
    if (lender.host != from) continue;
    const bool failed = loan.tokens < 0.1 * lender.last_need;
    lender.in_flight = std::max(0.0, lender.in_flight - loan.tokens);
    if (loan.part == 0) {
      lender.failures = failed ? lender.failures + 1 : 0;
      // A lender here may still send more; others have nothing left.
      if (org->is_owner) lender.in_flight = 0;
    } else if (!failed) {
      lender.failures = 0;
    }
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
