#include "rate_account.h"

#include <algorithm>

#include "lentilcross/rate.h"

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

void RateAccount::SetTarget(Quota target, Instant now, Duration handover,
                            Duration start_wait) {
  handover_ = handover;
  if (steps_.empty()) {
    steps_.push_back({Instant::min(), {}});
    steps_.push_back({now - handover + start_wait, target});
    Recompute(time_);
    return;
  }
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
    borrowed_total_ = borrowed_total_ + loan.At(time);
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
  for (const Borrowed& loan : borrowed_) {
    for (const QuotaSlot& slot : loan.levels) consider(slot.until);
  }
  for (const Lent& lent : lent_) {
    for (const QuotaSlot& slot : lent.levels) consider(slot.until);
  }
  return next;
}

void RateAccount::Refill(Instant time) {
  const std::chrono::duration<double> elapsed = time - time_;
  tokens_ = std::min(tokens_ + held_.rate * elapsed.count(), held_.burst);
  time_ = time;
}

// Keeps the newest: its number tells which messages are older.
void RateAccount::DropEnded(std::vector<QuotaSlot>& levels, Instant time) {
  if (levels.empty()) return;
  const auto ended = [time](const QuotaSlot& slot) {
    return slot.until <= time;
  };
  levels.erase(std::remove_if(levels.begin(), levels.end() - 1, ended),
               levels.end() - 1);
}

int RateAccount::ApplyEnded(Instant time) {
  int count = 0;
  for (Borrowed& loan : borrowed_) {
    if (loan.levels.empty()) continue;
    if (loan.until() == time && loan.levels.back().quota.burst > 0) ++count;
    DropEnded(loan.levels, time);
  }
  for (Lent& lent : lent_) DropEnded(lent.levels, time);
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

double RateAccount::TokensAt(Instant now) const {
  const std::chrono::duration<double> elapsed = now - time_;
  const double all = tokens_ + held_.rate * elapsed.count();
  return std::max(0.0, std::min(all, held_.burst));
}

bool RateAccount::TakeToken() {
  if (tokens_ < 1 - kRounding) return false;
  tokens_ -= 1;
  return true;
}

Quota RateAccount::LevelFrom(HostId lender) const {
  for (const Borrowed& loan : borrowed_) {
    if (loan.lender == lender) return loan.At(time_);
  }
  return {};
}

Borrowed* RateAccount::FindBorrowed(HostId lender) {
  for (Borrowed& loan : borrowed_) {
    if (loan.lender == lender) return &loan;
  }
  return nullptr;
}

Quota RateAccount::LeastLevel(const Borrowed& loan, Instant from,
                              Instant until) const {
  Quota least;
  const auto consider = [&](Instant time) {
    if (time < from || time >= until) return;
    const Quota others = CapacityAt(time) - loan.At(time);
    least = Max(least, CommittedAt(time) - others);
  };
  consider(from);
  for (const Instant end : CapacityEnds()) consider(end);
  return least;
}

// What was lent on stays lent until it ends or is given back.
void RateAccount::LowerTo(Borrowed& loan, Quota keep) const {
  std::vector<QuotaSlot>& levels = loan.levels;
  std::vector<QuotaSlot> lowered;
  const QuotaSlot& newest = levels.back();
  const Instant newest_end = std::max(newest.until, time_);
  const Quota now_needed = LeastLevel(loan, time_, newest_end);
  const bool covers = !Exceeds(now_needed, newest.quota);
  for (std::size_t i = 0; i + 1 < levels.size(); ++i) {
    QuotaSlot slot = levels[i];
    const Instant from = covers ? newest_end : time_;
    slot.quota = Min(slot.quota, LeastLevel(loan, from, slot.until));
    if (slot.quota.rate > 0 || slot.quota.burst > 0) lowered.push_back(slot);
  }
  lowered.push_back(newest);
  lowered.back().quota = Min(newest.quota, Max(keep, now_needed));
  levels.swap(lowered);
}

LoanAsk RateAccount::Declare(HostId lender, Quota keep, double returned) {
  LoanAsk ask;
  Borrowed* loan = FindBorrowed(lender);
  if (loan == nullptr || loan->levels.empty()) return ask;
  const Quota before = loan->At(time_);
  LowerTo(*loan, keep);
  for (const QuotaSlot& slot : loan->levels) {
    ask.held.push_back({slot.quota, slot.number, slot.part});
  }
  const Quota freed = before - loan->At(time_);
  ask.returned = std::min({returned, tokens(), freed.burst});
  tokens_ -= ask.returned;
  Recompute(time_);
  return ask;
}

bool RateAccount::Accept(HostId lender, std::uint32_t number, const Loan& loan,
                         Instant until) {
  Borrowed* known = FindBorrowed(lender);
  if (known == nullptr) {
    borrowed_.push_back({lender, {}, {}});
    known = &borrowed_.back();
  }
  std::vector<QuotaSlot>& levels = known->levels;
  if (!levels.empty()) {
    const QuotaSlot& last = levels.back();
    if (number < last.number) return false;
    if (number == last.number && loan.part <= last.part) return false;
  }
  if (levels.size() >= kMaxLoanLevels) return false;
  levels.push_back({loan.quota, until, number, loan.part});
  known->since = time_;
  tokens_ += loan.tokens;
  Recompute(time_);
  return true;
}

void RateAccount::Confirm(Lent& lent, const LoanAsk& ask) {
  if (ask.held.empty()) return;
  std::vector<QuotaSlot> kept;
  for (QuotaSlot slot : lent.levels) {
    // Newer grants may still arrive there.
    bool keep = slot.IsNewerThan(ask.held.back());
    for (const HeldLevel& held : ask.held) {
      if (!slot.Is(held)) continue;
      slot.quota = Min(slot.quota, held.quota);
      keep = true;
    }
    if (keep) kept.push_back(slot);
  }
  lent.levels.swap(kept);
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

Quota RateAccount::CapacityAt(Instant time) const {
  Quota capacity = OwnAt(time);
  for (const Borrowed& loan : borrowed_) {
    capacity = capacity + loan.At(time);
  }
  return capacity;
}

Quota RateAccount::CommittedAt(Instant time) const {
  Quota sum;
  for (const Lent& lent : lent_) sum = sum + lent.At(time);
  return sum;
}

Quota RateAccount::OwnCommittedAt(Instant time) const {
  Quota sum;
  for (const Lent& lent : lent_) {
    if (!lent.onward) sum = sum + lent.At(time);
  }
  return sum;
}

std::vector<Instant> RateAccount::CapacityEnds() const {
  std::vector<Instant> ends = {time_, own_until_};
  for (const Borrowed& loan : borrowed_) {
    for (const QuotaSlot& slot : loan.levels) ends.push_back(slot.until);
  }
  std::sort(ends.begin(), ends.end());
  return ends;
}

Instant RateAccount::LatestUntil(const Lent& lent, Quota level,
                                 Instant until) const {
  for (const Instant end : CapacityEnds()) {
    if (end < time_ || end >= until) continue;
    const Quota more = level - lent.At(end);
    if (Exceeds(CommittedAt(end) + more, CapacityAt(end))) return end;
    if (lent.onward) continue;
    if (Exceeds(OwnCommittedAt(end) + more, OwnAt(end))) return end;
  }
  return until;
}

void RateAccount::Grant(Lent& lent, const Loan& loan, Instant until) {
  lent.levels.push_back({loan.quota, until, lent.last_number, loan.part});
  tokens_ -= loan.tokens;
  Recompute(time_);
}

Quota MostAt(const std::vector<QuotaSlot>& levels, Instant time) {
  Quota most;
  for (const QuotaSlot& slot : levels) most = Max(most, slot.At(time));
  return most;
}

Instant Borrowed::LastEnd() const {
  Instant last{};
  for (const QuotaSlot& slot : levels) last = std::max(last, slot.until);
  return last;
}

Instant Lent::LastEnd() const {
  Instant last = unmet_until;
  for (const QuotaSlot& slot : levels) last = std::max(last, slot.until);
  return last;
}

void RateAccount::ForgetEnded() {
  // A borrower's last number is needed until no older message can arrive.
  const auto idle_lent = [this](const Lent& lent) {
    return lent.LastEnd() + kMemory < time_;
  };
  lent_.erase(std::remove_if(lent_.begin(), lent_.end(), idle_lent),
              lent_.end());
  const auto idle_borrowed = [this](const Borrowed& loan) {
    return loan.LastEnd() + kMemory < time_;
  };
  borrowed_.erase(
      std::remove_if(borrowed_.begin(), borrowed_.end(), idle_borrowed),
      borrowed_.end());
}

}  // namespace lentilcross
