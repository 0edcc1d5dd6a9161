#pragma once

#include <cstdint>
#include <vector>

#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"
#include "rate_demand.h"

namespace lentilcross {

/// Most grants that one borrower may hold of one lender.
inline constexpr std::size_t kMaxLoanLevels = 24;

Quota operator+(Quota a, Quota b);
Quota operator-(Quota a, Quota b);
Quota Min(Quota a, Quota b);
Quota Max(Quota a, Quota b);

/// A level of quota until a time on this host's clock.
struct QuotaSlot {
  Quota quota;
  Instant until{};
  std::uint32_t number = 0;  ///< Request that the grant answers.
  std::uint16_t part = 0;    ///< Which of several grants for it.

  Quota At(Instant time) const { return until > time ? quota : Quota{}; }
  bool IsNewerThan(const HeldLevel& held) const {
    return number > held.grant || (number == held.grant && part > held.part);
  }
  bool Is(const HeldLevel& held) const {
    return number == held.grant && part == held.part;
  }
};

Quota MostAt(const std::vector<QuotaSlot>& levels, Instant time);

/// What one borrower process may hold of this host's quota.
struct Lent {
  HostId borrower;
  Incarnation incarnation;
  bool onward = false;  ///< Borrowed quota may be lent on to it.
  std::uint32_t last_number = 0;
  /// Grants by age: those that the borrower named and all newer ones.
  std::vector<QuotaSlot> levels;
  // Open wishes of the last request.
  Quota want;
  double unmet = 0;
  Instant unmet_until{};
  std::uint16_t next_part = 0;
  RateDemand drawn;  ///< Tokens lent on.

  Quota At(Instant time) const { return MostAt(levels, time); }
  Instant LastEnd() const;
  double UnmetAt(Instant time) const { return unmet_until > time ? unmet : 0; }
};

/// What this host holds of a lender's quota.
struct Borrowed {
  HostId lender;
  /// Grants by age. Older ones are kept up to the next message to the lender,
  /// and beyond if the newest does not cover what was lent on.
  std::vector<QuotaSlot> levels;
  Instant since{};  ///< When the newest was accepted.

  Quota At(Instant time) const { return MostAt(levels, time); }
  Instant until() const {
    return levels.empty() ? Instant{} : levels.back().until;
  }
  Instant LastEnd() const;
};

/// Quota and tokens of one organisation at one host. Keeps the rules that bound
/// admissions over all hosts: every quota is counted by exactly one holder, and
/// tokens move only together with the burst that covers them.
class RateAccount {
 public:
  /// Share that the configuration assigns from now on. The account uses the
  /// lowest share in force during the last `handover`. The first share counts
  /// after `start_wait`.
  void SetTarget(Quota target, Instant now, Duration handover,
                 Duration start_wait);
  /// True until the first `SetTarget`.
  bool has_no_target() const { return steps_.empty(); }
  Quota target() const {
    return steps_.empty() ? Quota{} : steps_.back().quota;
  }

  /// Applies what ended up to `now` in order of time, and generates tokens. The
  /// own share is void from `own_until`. Returns the number of expired loans.
  int Advance(Instant now, Instant own_until);

  /// True if nothing ends up to `now`, so that only tokens change.
  bool IsSettled(Instant now, Instant own_until) const {
    return own_until == own_until_ && now < next_event_ && now >= time_;
  }
  /// Tokens at a time up to which the account is settled.
  double TokensAt(Instant now) const;

  Quota own() const { return own_; }
  Quota held() const { return held_; }
  Quota borrowed_total() const { return borrowed_total_; }
  Quota lent_total() const { return lent_total_; }
  /// Lent to hosts that only get own quota.
  Quota own_lent() const { return OwnCommittedAt(time_); }
  double tokens() const { return tokens_ > 0 ? tokens_ : 0; }
  bool TakeToken();

  // Borrower.
  const std::vector<Borrowed>& borrowed() const { return borrowed_; }
  Quota LevelFrom(HostId lender) const;
  /// Lowers what is held of a lender to `keep`, gives up to `returned` tokens
  /// back, and describes both for the lender.
  LoanAsk Declare(HostId lender, Quota keep, double returned);
  /// False if it was accepted before, or a newer one was.
  bool Accept(HostId lender, std::uint32_t number, const Loan& loan,
              Instant until);

  // Lender.
  std::vector<Lent>& lent() { return lent_; }
  const std::vector<Lent>& lent() const { return lent_; }
  /// Takes over what the borrower says it still holds. Null if the message is
  /// older than one seen, or too many borrowers are known.
  Lent* OnDeclared(HostId borrower, Incarnation incarnation,
                   std::uint32_t number, const LoanAsk& ask);
  /// Latest time, at most `until`, up to which `level` can be lent without
  /// promising more than this host is sure to hold.
  Instant LatestUntil(const Lent& lent, Quota level, Instant until) const;
  /// Lends `level` in place of what the borrower holds.
  void Grant(Lent& lent, const Loan& loan, Instant until);
  /// Drops records of loans that ended a while ago.
  void ForgetEnded();

 private:
  struct Step {
    Instant at{};
    Quota quota;
  };

  void Refill(Instant time);
  int ApplyEnded(Instant time);
  void PruneSteps(Instant time);
  void Recompute(Instant time);
  Instant NextEvent() const;
  static void Confirm(Lent& lent, const LoanAsk& ask);
  static void DropEnded(std::vector<QuotaSlot>& levels, Instant time);
  Quota OwnAt(Instant time) const { return time < own_until_ ? own_ : Quota{}; }
  Quota CapacityAt(Instant time) const;
  Quota CommittedAt(Instant time) const;
  Quota OwnCommittedAt(Instant time) const;
  std::vector<Instant> CapacityEnds() const;
  void LowerTo(Borrowed& loan, Quota keep) const;
  Borrowed* FindBorrowed(HostId lender);
  /// Least that must be kept of a loan in a period to cover what is lent on.
  Quota LeastLevel(const Borrowed& loan, Instant from, Instant until) const;

  std::vector<Step> steps_;
  Duration handover_{};
  Quota own_;
  Quota borrowed_total_;
  Quota lent_total_;
  Quota held_;
  double tokens_ = 0;
  Instant time_{};
  Instant own_until_{};
  Instant next_event_{};
  std::vector<Borrowed> borrowed_;
  std::vector<Lent> lent_;
};

}  // namespace lentilcross
