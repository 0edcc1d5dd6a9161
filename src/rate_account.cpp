#include "rate_account.h"

#include <algorithm>

namespace lentilcross {
namespace {

constexpr std::size_t kMaxSteps = 16;
constexpr std::size_t kMaxBorrowers = 4096;
// Absorbs rounding when levels are added and subtracted.
constexpr double kRounding = 1e-9;
constexpr Instant kNever = Instant::max();
// Longer than any loan, so that no message about a forgotten one still counts.
constexpr Duration kMemory = kLongestLoanTerm + std::chrono::seconds(1);

bool Exceeds(Quota a, Quota b) {
  return a.rate > b.rate + kRounding || a.burst > b.burst + kRounding;
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

void RateAccount::SetTarget(Quota target, Instant now, Duration handover) {
  handover_ = handover;
  if (steps_.empty()) steps_.push_back({Instant::min(), {}});
  const Quota last = steps_.back().quota;
  if (last.rate == target.rate && last.burst == target.burst) return;
  if (steps_.size() >= kMaxSteps) {
    // Joins the two oldest; the lower quota then counts for longer.
    steps_[1].quota = Min(steps_[0].quota, steps_[1].quota);
    steps_[1].at = steps_[0].at;
    steps_.erase(steps_.begin());
  }
  steps_.push_back({now, target});
  Recompute(time_);
}

void RateAccount::PruneSteps(Instant time) {
  while (steps_.size() > 1 && steps_[1].at + handover_ <= time) {
    steps_.erase(steps_.begin());
  }
}

void RateAccount::Recompute(Instant time) {
  PruneSteps(time);
  own_ = {};
  if (!steps_.empty() && time < own_until_) {
    own_ = steps_.front().quota;
    for (const Step& step : steps_) own_ = Min(own_, step.quota);
  }
  borrowed_total_ = {};
  for (const Borrowed& loan : borrowed_) {
    borrowed_total_ = borrowed_total_ + loan.level.At(time);
  }
  lent_total_ = {};
  for (const Lent& lent : lent_) lent_total_ = lent_total_ + lent.At(time);
  held_ = own_ + borrowed_total_ - lent_total_;
  tokens_ = std::min(tokens_, held_.burst);
  next_event_ = NextEvent();
}

Instant RateAccount::NextEvent() const {
  Instant next = kNever;
  const auto consider = [&next, this](Instant time) {
    if (time > time_) next = std::min(next, time);
  };
  if (steps_.size() > 1) consider(steps_[1].at + handover_);
  consider(own_until_);
  for (const Borrowed& loan : borrowed_) consider(loan.level.until);
  for (const Lent& lent : lent_) {
    consider(lent.held.until);
    consider(lent.granted.until);
  }
  return next;
}

void RateAccount::Refill(Instant time) {
  const std::chrono::duration<double> elapsed = time - time_;
  tokens_ = std::min(tokens_ + held_.rate * elapsed.count(), held_.burst);
  time_ = time;
}

int RateAccount::ApplyEnded(Instant time) {
  int count = 0;
  for (Borrowed& loan : borrowed_) {
    if (loan.level.until > time || loan.level.quota.burst == 0) continue;
    loan.level.quota = {};
    ++count;
  }
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
    expired += ApplyEnded(event);
  }
  if (now > time_) Refill(now);
  return expired;
}

bool RateAccount::TakeToken() {
  if (tokens_ < 1 - kRounding) return false;
  tokens_ -= 1;
  return true;
}

Quota RateAccount::LevelFrom(HostId lender) const {
  for (const Borrowed& loan : borrowed_) {
    if (loan.lender == lender) return loan.level.quota;
  }
  return {};
}

LoanAsk RateAccount::Declare(HostId lender, Quota keep, double returned) {
  LoanAsk ask;
  for (Borrowed& loan : borrowed_) {
    if (loan.lender != lender) continue;
    const Quota before = loan.level.quota;
    loan.level.quota = Min(before, keep);
    ask.held = loan.level.quota;
    ask.grant = loan.level.number;
    ask.returned =
        std::min({returned, tokens(), before.burst - ask.held.burst});
    tokens_ -= ask.returned;
    Recompute(time_);
  }
  return ask;
}

bool RateAccount::Accept(HostId lender, std::uint32_t number, const Loan& loan,
                         Instant until) {
  auto it = std::find_if(borrowed_.begin(), borrowed_.end(),
                         [&](const Borrowed& b) { return b.lender == lender; });
  if (it == borrowed_.end()) {
    it = borrowed_.insert(borrowed_.end(), Borrowed{lender, {}, 0});
  } else if (number < it->level.number ||
             (number == it->level.number && loan.part <= it->part)) {
    return false;
  }
  it->level = {loan.quota, until, number};
  it->part = loan.part;
  tokens_ += loan.tokens;
  Recompute(time_);
  return true;
}

void RateAccount::Confirm(Lent& lent, const LoanAsk& ask) const {
  if (ask.grant == 0) {
    lent.held = {};
  } else if (ask.grant == lent.granted.number) {
    lent.held = lent.granted;
    lent.held.quota = Min(ask.held, lent.granted.At(time_));
    lent.granted = {};
  } else if (ask.grant == lent.held.number) {
    lent.held.quota = Min(ask.held, lent.held.At(time_));
  } else {
    // A grant between the two: the later end covers both.
    lent.held.quota = Min(ask.held, lent.At(time_));
    lent.held.until = std::max(lent.held.until, lent.granted.until);
    lent.held.number = ask.grant;
  }
}

Lent* RateAccount::OnDeclared(HostId borrower, Incarnation incarnation,
                              std::uint32_t number, const LoanAsk& ask) {
  auto it = std::find_if(lent_.begin(), lent_.end(), [&](const Lent& lent) {
    return lent.borrower == borrower && lent.incarnation == incarnation;
  });
  if (it == lent_.end()) {
    if (lent_.size() >= kMaxBorrowers) return nullptr;
    it = lent_.insert(lent_.end(), Lent{});
    it->borrower = borrower;
    it->incarnation = incarnation;
  } else if (number <= it->last_number) {
    return nullptr;
  }
  it->last_number = number;
  const Quota before = it->At(time_);
  Confirm(*it, ask);
  const Quota freed = before - it->At(time_);
  Recompute(time_);
  // Only tokens that come with the burst covering them are taken back.
  tokens_ =
      std::min(tokens_ + std::min(ask.returned, freed.burst), held_.burst);
  return &*it;
}

Quota RateAccount::CapacityAt(Instant time, bool onward) const {
  Quota capacity = time < own_until_ ? own_ : Quota{};
  if (!onward) return capacity;
  for (const Borrowed& loan : borrowed_) {
    capacity = capacity + loan.level.At(time);
  }
  return capacity;
}

Quota RateAccount::CommittedAt(Instant time, const Lent& except) const {
  Quota sum;
  for (const Lent& lent : lent_) {
    if (&lent != &except) sum = sum + lent.At(time);
  }
  return sum;
}

Instant RateAccount::LatestUntil(const Lent& lent, Quota level,
                                 Instant until) const {
  std::vector<Instant> ends = {time_, own_until_};
  for (const Borrowed& loan : borrowed_) ends.push_back(loan.level.until);
  std::sort(ends.begin(), ends.end());
  for (const Instant end : ends) {
    if (end < time_ || end >= until) continue;
    const Quota total = CommittedAt(end, lent) + Max(level, lent.At(end));
    if (Exceeds(total, CapacityAt(end, lent.onward))) return end;
  }
  return until;
}

void RateAccount::Grant(Lent& lent, std::uint32_t number, Quota level,
                        double tokens, Instant until) {
  QuotaSlot& slot = lent.granted;
  slot.quota = Max(slot.At(time_), level);
  slot.until = std::max(slot.until, until);
  slot.number = number;
  tokens_ -= tokens;
  Recompute(time_);
}

void RateAccount::ForgetEnded() {
  const auto idle_lent = [this](const Lent& lent) {
    const Instant last =
        std::max({lent.held.until, lent.granted.until, lent.unmet_until});
    return last + kMemory < time_;
  };
  lent_.erase(std::remove_if(lent_.begin(), lent_.end(), idle_lent),
              lent_.end());
  // The number of the last grant is needed until no older one can arrive.
  const auto idle_borrowed = [this](const Borrowed& loan) {
    return loan.level.until + kMemory < time_;
  };
  borrowed_.erase(
      std::remove_if(borrowed_.begin(), borrowed_.end(), idle_borrowed),
      borrowed_.end());
}

std::size_t RateAccount::StateBytes() const {
  return sizeof(*this) + steps_.capacity() * sizeof(Step) +
         borrowed_.capacity() * sizeof(Borrowed) +
         lent_.capacity() * sizeof(Lent);
}

}  // namespace lentilcross
