#include "rate_account.h"

#include <algorithm>
#include <utility>

#include "lentilcross/rate.h"

namespace lentilcross {
namespace {

constexpr std::size_t kMaxAssignments = 16;
constexpr std::size_t kMaxBorrowers = 4096;
constexpr Instant kNoEvent = Instant::max();
// Longer than any loan term, so that no message about a removed loan is valid.
constexpr Duration kExpiredLoanRetention =
    kLongestLoanTerm + std::chrono::seconds(1);

bool Exceeds(Quota a, Quota b) {
  return a.rate > b.rate + kRoundingTolerance ||
         a.burst > b.burst + kRoundingTolerance;
}

}  // namespace

Quota operator+(Quota a, Quota b) {
  return {a.rate + b.rate, a.burst + b.burst};
}
Quota operator-(Quota a, Quota b) {
  return {std::max(0.0, a.rate - b.rate), std::max(0.0, a.burst - b.burst)};
}
Quota Min(Quota a, Quota b) {
  return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}
Quota Max(Quota a, Quota b) {
  return {std::max(a.rate, b.rate), std::max(a.burst, b.burst)};
}

void RateAccount::SetAssignedQuota(Quota assigned, Instant now,
                                   Duration handover, Duration start_wait) {
  handover_ = handover;
  if (assignments_.empty()) {
    assignments_.push_back({Instant::min(), {}});
    assignments_.push_back({now - handover + start_wait, assigned});
    Recompute(time_);
    return;
  }
  const Quota last = assignments_.back().quota;
  if (last.rate == assigned.rate && last.burst == assigned.burst) return;
  if (assignments_.size() >= kMaxAssignments) {
    // Merges the two oldest entries; the lower quota then applies for longer.
    assignments_[1].quota = Min(assignments_[0].quota, assignments_[1].quota);
    assignments_[1].at = assignments_[0].at;
    assignments_.erase(assignments_.begin());
  }
  assignments_.push_back({now, assigned});
  Recompute(time_);
}

void RateAccount::SetSuspended(bool suspended) {
  if (std::exchange(suspended_, suspended) != suspended) Recompute(time_);
}

void RateAccount::PruneAssignments(Instant time) {
  while (assignments_.size() > 1 && assignments_[1].at + handover_ <= time) {
    assignments_.erase(assignments_.begin());
  }
}

void RateAccount::Recompute(Instant time) {
  PruneAssignments(time);
  own_ = {};
  if (!suspended_ && !assignments_.empty() && time < own_until_) {
    own_ = assignments_.front().quota;
    for (const Assignment& each : assignments_) own_ = Min(own_, each.quota);
  }
  borrowed_total_ = {};
  for (const BorrowedQuota& loan : borrowed_) {
    borrowed_total_ = borrowed_total_ + loan.At(time);
  }
  lent_total_ = {};
  for (const LentQuota& lent : lent_) lent_total_ = lent_total_ + lent.At(time);
  held_ = own_ + borrowed_total_ - lent_total_;
  tokens_ = std::min(tokens_, held_.burst);
  next_event_ = NextEvent();
}

Instant RateAccount::NextEvent() const {
  Instant next = kNoEvent;
  const auto add_candidate = [&next, this](Instant time) {
    if (time > time_) next = std::min(next, time);
  };
  if (assignments_.size() > 1) add_candidate(assignments_[1].at + handover_);
  add_candidate(own_until_);
  for (const BorrowedQuota& loan : borrowed_) {
    for (const QuotaLease& lease : loan.leases) add_candidate(lease.until);
  }
  for (const LentQuota& lent : lent_) {
    for (const QuotaLease& lease : lent.leases) add_candidate(lease.until);
  }
  return next;
}

void RateAccount::Refill(Instant time) {
  const std::chrono::duration<double> elapsed = time - time_;
  tokens_ = std::min(tokens_ + held_.rate * elapsed.count(), held_.burst);
  time_ = time;
}

// Keeps the newest lease even if it expired: its request number identifies
// outdated messages.
void RateAccount::RemoveExpired(std::vector<QuotaLease>& leases, Instant time) {
  if (leases.empty()) return;
  const auto ended = [time](const QuotaLease& lease) {
    return lease.until <= time;
  };
  leases.erase(std::remove_if(leases.begin(), leases.end() - 1, ended),
               leases.end() - 1);
}

int RateAccount::ExpireLeases(Instant time) {
  int count = 0;
  for (BorrowedQuota& loan : borrowed_) {
    if (loan.leases.empty()) continue;
    if (loan.until() == time && loan.leases.back().quota.burst > 0) ++count;
    RemoveExpired(loan.leases, time);
  }
  for (LentQuota& lent : lent_) RemoveExpired(lent.leases, time);
  Recompute(time);
  return count;
}

int RateAccount::Advance(Instant now, Instant own_until) {
  if (time_ == Instant{}) time_ = now;
  int expired = 0;
  if (own_until != own_until_) {
    own_until_ = own_until;
    Recompute(time_);
  }
  while (next_event_ <= now) {
    const Instant event = next_event_;
    Refill(event);
    expired += ExpireLeases(event);
  }
  if (now > time_) Refill(now);
  return expired;
}

bool RateAccount::TakeToken() {
  if (tokens_ < 1 - kRoundingTolerance) return false;
  tokens_ = std::max(0.0, tokens_ - 1);
  return true;
}

Quota RateAccount::BorrowedFrom(HostId lender) const {
  for (const BorrowedQuota& loan : borrowed_) {
    if (loan.lender == lender) return loan.At(time_);
  }
  return {};
}

BorrowedQuota* RateAccount::FindBorrowed(HostId lender) {
  for (BorrowedQuota& loan : borrowed_) {
    if (loan.lender == lender) return &loan;
  }
  return nullptr;
}

Quota RateAccount::RequiredLevel(const BorrowedQuota& loan, Instant from,
                                 Instant until) const {
  Quota required;
  const auto add_candidate = [&](Instant time) {
    if (time < from || time >= until) return;
    const Quota others = CapacityAt(time) - loan.At(time);
    required = Max(required, CommittedAt(time) - others);
  };
  add_candidate(from);
  for (const Instant end : CapacityChangeTimes()) add_candidate(end);
  return required;
}

// Keeps as much quota as was re-lent, until that expires or is returned.
void RateAccount::ReduceTo(BorrowedQuota& loan, Quota keep) const {
  std::vector<QuotaLease>& leases = loan.leases;
  std::vector<QuotaLease> reduced;
  const QuotaLease& newest = leases.back();
  const Instant newest_end = std::max(newest.until, time_);
  const Quota required_now = RequiredLevel(loan, time_, newest_end);
  const bool covers = !Exceeds(required_now, newest.quota);
  for (std::size_t i = 0; i + 1 < leases.size(); ++i) {
    QuotaLease lease = leases[i];
    const Instant from = covers ? newest_end : time_;
    lease.quota = Min(lease.quota, RequiredLevel(loan, from, lease.until));
    if (lease.quota.rate > 0 || lease.quota.burst > 0) reduced.push_back(lease);
  }
  reduced.push_back(newest);
  reduced.back().quota = Min(newest.quota, Max(keep, required_now));
  leases.swap(reduced);
}

LoanAsk RateAccount::ReduceAndReport(HostId lender, Quota keep,
                                     double returned) {
  LoanAsk ask;
  BorrowedQuota* loan = FindBorrowed(lender);
  if (loan == nullptr || loan->leases.empty()) return ask;
  const Quota before = loan->At(time_);
  ReduceTo(*loan, keep);
  for (const QuotaLease& lease : loan->leases) {
    ask.held.push_back({lease.quota, lease.request_number, lease.part});
  }
  const Quota freed = before - loan->At(time_);
  ask.returned = std::min({returned, tokens(), freed.burst});
  tokens_ -= ask.returned;
  Recompute(time_);
  return ask;
}

bool RateAccount::Accept(HostId lender, std::uint32_t number, const Loan& loan,
                         Instant until) {
  BorrowedQuota* known = FindBorrowed(lender);
  if (known == nullptr) {
    borrowed_.push_back({lender, {}, {}});
    known = &borrowed_.back();
  }
  std::vector<QuotaLease>& leases = known->leases;
  if (!leases.empty()) {
    const QuotaLease& last = leases.back();
    if (number < last.request_number) return false;
    if (number == last.request_number && loan.part <= last.part) return false;
  }
  if (leases.size() >= kMaxLeasesPerLoan) return false;
  leases.push_back({loan.quota, until, number, loan.part});
  known->since = time_;
  tokens_ += loan.tokens;
  Recompute(time_);
  return true;
}

void RateAccount::KeepReportedLeases(LentQuota& lent, const LoanAsk& ask) {
  if (ask.held.empty()) return;
  std::vector<QuotaLease> kept;
  for (QuotaLease lease : lent.leases) {
    // The borrower may not have received newer grants yet.
    bool keep = lease.IsNewerThan(ask.held.back());
    for (const HeldLevel& held : ask.held) {
      if (!lease.Matches(held)) continue;
      lease.quota = Min(lease.quota, held.quota);
      keep = true;
    }
    if (keep) kept.push_back(lease);
  }
  lent.leases.swap(kept);
}

LentQuota* RateAccount::ApplyReport(HostId borrower, Incarnation incarnation,
                                    std::uint32_t number, const LoanAsk& ask) {
  auto it =
      std::find_if(lent_.begin(), lent_.end(), [&](const LentQuota& lent) {
        return lent.borrower == borrower && lent.incarnation == incarnation;
      });
  if (it == lent_.end()) {
    if (lent_.size() >= kMaxBorrowers) return nullptr;
    it = lent_.insert(lent_.end(), LentQuota{});
    it->borrower = borrower;
    it->incarnation = incarnation;
  } else if (number <= it->last_number) {
    return nullptr;
  }
  it->last_number = number;
  const Quota before = it->At(time_);
  KeepReportedLeases(*it, ask);
  const Quota freed = before - it->At(time_);
  Recompute(time_);
  // Accepts returned tokens only up to the burst that is returned with them.
  tokens_ =
      std::min(tokens_ + std::min(ask.returned, freed.burst), held_.burst);
  return &*it;
}

Quota RateAccount::CapacityAt(Instant time) const {
  Quota capacity = OwnAt(time);
  for (const BorrowedQuota& loan : borrowed_) {
    capacity = capacity + loan.At(time);
  }
  return capacity;
}

Quota RateAccount::CommittedAt(Instant time) const {
  Quota sum;
  for (const LentQuota& lent : lent_) sum = sum + lent.At(time);
  return sum;
}

Quota RateAccount::OwnCommittedAt(Instant time) const {
  Quota sum;
  for (const LentQuota& lent : lent_) {
    if (!lent.may_relend) sum = sum + lent.At(time);
  }
  return sum;
}

std::vector<Instant> RateAccount::CapacityChangeTimes() const {
  std::vector<Instant> ends = {time_, own_until_};
  for (const BorrowedQuota& loan : borrowed_) {
    for (const QuotaLease& lease : loan.leases) ends.push_back(lease.until);
  }
  std::sort(ends.begin(), ends.end());
  return ends;
}

Instant RateAccount::LatestSafeEnd(const LentQuota& lent, Quota level,
                                   Instant until) const {
  for (const Instant end : CapacityChangeTimes()) {
    if (end < time_ || end >= until) continue;
    const Quota more = level - lent.At(end);
    if (Exceeds(CommittedAt(end) + more, CapacityAt(end))) return end;
    if (lent.may_relend) continue;
    if (Exceeds(OwnCommittedAt(end) + more, OwnAt(end))) return end;
  }
  return until;
}

void RateAccount::Grant(LentQuota& lent, const Loan& loan, Instant until) {
  lent.leases.push_back({loan.quota, until, lent.last_number, loan.part});
  tokens_ = std::max(0.0, tokens_ - loan.tokens);
  Recompute(time_);
}

Quota MaxAt(const std::vector<QuotaLease>& leases, Instant time) {
  Quota max;
  for (const QuotaLease& lease : leases) max = Max(max, lease.At(time));
  return max;
}

Instant BorrowedQuota::LastEnd() const {
  Instant last{};
  for (const QuotaLease& lease : leases) last = std::max(last, lease.until);
  return last;
}

Instant LentQuota::LastEnd() const {
  Instant last = unmet_expires;
  for (const QuotaLease& lease : leases) last = std::max(last, lease.until);
  return last;
}

void RateAccount::RemoveExpiredLoans() {
  // A borrower's last number is needed until no valid older message can arrive.
  const auto is_expired_lent = [this](const LentQuota& lent) {
    return lent.LastEnd() + kExpiredLoanRetention < time_;
  };
  lent_.erase(std::remove_if(lent_.begin(), lent_.end(), is_expired_lent),
              lent_.end());
  const auto is_expired_borrowed = [this](const BorrowedQuota& loan) {
    return loan.LastEnd() + kExpiredLoanRetention < time_;
  };
  borrowed_.erase(
      std::remove_if(borrowed_.begin(), borrowed_.end(), is_expired_borrowed),
      borrowed_.end());
}

}  // namespace lentilcross
