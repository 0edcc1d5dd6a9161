#pragma once

#include <cstdint>
#include <vector>

#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"
#include "rate_demand.h"

namespace lentilcross {

/// Most unexpired grants of one lender to one borrower.
inline constexpr std::size_t kMaxLeasesPerLoan = 24;

/// Tolerates rounding errors of adding and subtracting quotas.
inline constexpr double kRoundingTolerance = 1e-9;

Quota operator+(Quota a, Quota b);
Quota operator-(Quota a, Quota b);
Quota Min(Quota a, Quota b);
Quota Max(Quota a, Quota b);

/// Quota that is granted until a time on this host's clock.
struct QuotaLease {
  Quota quota;
  Instant until{};
  std::uint32_t request_number = 0;  ///< Request that the grant answers.
  std::uint16_t part = 0;  ///< Position among the grants for that request.

  Quota At(Instant time) const { return until > time ? quota : Quota{}; }
  bool IsNewerThan(const HeldLevel& held) const {
    return request_number > held.grant ||
           (request_number == held.grant && part > held.part);
  }
  bool Matches(const HeldLevel& held) const {
    return request_number == held.grant && part == held.part;
  }
};

/// Highest rate and highest burst among the leases that are valid at `time`.
Quota MaxAt(const std::vector<QuotaLease>& leases, Instant time);

/// Quota that this host has lent to one borrower process.
struct LentQuota {
  HostId borrower;
  Incarnation incarnation;
  bool may_relend = false;  ///< Quota borrowed by this host may be lent to it.
  bool is_owner = false;    ///< The borrower owns part of the quota.
  std::uint32_t last_number = 0;  ///< Of its last request or return.
  /// Oldest first: the grants in the borrower's last report and all newer ones.
  std::vector<QuotaLease> leases;
  // Unserved part of the last request.
  Quota want;
  double unmet_tokens = 0;
  Instant unmet_expires{};
  std::uint16_t next_part = 0;
  RateDemand tokens_lent;  ///< Tokens lent with `may_relend`.

  Quota At(Instant time) const { return MaxAt(leases, time); }
  Instant LastEnd() const;
  double UnmetTokensAt(Instant time) const {
    return unmet_expires > time ? unmet_tokens : 0;
  }
};

/// Quota that this host has borrowed from one lender.
struct BorrowedQuota {
  HostId lender;
  /// Oldest first. Older grants are kept until the next message to the lender,
  /// and longer if the newest one does not cover the quota that was re-lent.
  std::vector<QuotaLease> leases;
  Instant since{};  ///< When the newest grant was accepted.

  Quota At(Instant time) const { return MaxAt(leases, time); }
  Instant until() const {
    return leases.empty() ? Instant{} : leases.back().until;
  }
  Instant LastEnd() const;
};

/// Quota and tokens of one organisation at one host. Maintains two invariants
/// that bound the admissions of all hosts together: every quota is counted by
/// exactly one holder, and tokens are transferred only with at least as much
/// burst.
class RateAccount {
 public:
  /// Sets the quota that the configuration assigns from now on. The account
  /// uses the lowest quota assigned during the last `handover`. The first one
  /// takes effect after `start_wait`.
  void SetAssignedQuota(Quota assigned, Instant now, Duration handover,
                        Duration start_wait);
  /// While suspended, the account has no quota of its own. The assigned one is
  /// in force again at once afterwards. For an organisation that the
  /// configuration does not list or limit.
  void SetSuspended(bool suspended);
  /// True until the first `SetAssignedQuota`.
  bool has_no_assigned_quota() const { return assignments_.empty(); }
  Quota assigned_quota() const {
    return assignments_.empty() ? Quota{} : assignments_.back().quota;
  }

  /// Generates tokens and applies expiries up to `now`, in order of time. The
  /// own quota is 0 from `own_until` on. Returns the number of borrowed loans
  /// that expired.
  int Advance(Instant now, Instant own_until);

  Quota own() const { return own_; }
  Quota held() const { return held_; }
  Quota borrowed_total() const { return borrowed_total_; }
  Quota lent_total() const { return lent_total_; }
  /// Lent to borrowers that may not be lent borrowed quota.
  Quota own_lent() const { return OwnCommittedAt(time_); }
  double tokens() const { return tokens_ > 0 ? tokens_ : 0; }
  bool TakeToken();

  // Borrower side.
  const std::vector<BorrowedQuota>& borrowed() const { return borrowed_; }
  Quota BorrowedFrom(HostId lender) const;
  /// Reduces the quota borrowed from a lender to `keep`, as far as it is not
  /// re-lent, and takes out up to `returned` tokens. Returns the report of both
  /// for the lender.
  LoanAsk ReduceAndReport(HostId lender, Quota keep, double returned);
  /// Adds a granted loan. False if it or a newer one was accepted before, or if
  /// too many grants of this lender are valid.
  bool Accept(HostId lender, std::uint32_t number, const Loan& loan,
              Instant until);

  // Lender side.
  std::vector<LentQuota>& lent() { return lent_; }
  const std::vector<LentQuota>& lent() const { return lent_; }
  /// Reduces the lent quota to what the borrower reports to hold, and adds the
  /// tokens it returns. Null if this or a newer message was seen before, or too
  /// many borrowers are known.
  LentQuota* ApplyReport(HostId borrower, Incarnation incarnation,
                         std::uint32_t number, const LoanAsk& ask);
  /// Latest time, at most `until`, up to which `level` can be lent such that
  /// all lent quota stays covered by the quota that this host holds until then.
  Instant LatestSafeEnd(const LentQuota& lent, Quota level,
                        Instant until) const;
  /// Lends the quota of `loan` in place of the borrower's present one.
  void Grant(LentQuota& lent, const Loan& loan, Instant until);
  /// Removes loans that expired so long ago that no message about them can
  /// still count.
  void RemoveExpiredLoans();

 private:
  struct Assignment {
    Instant at{};
    Quota quota;
  };

  void Refill(Instant time);
  int ExpireLeases(Instant time);
  void PruneAssignments(Instant time);
  void Recompute(Instant time);
  Instant NextEvent() const;
  static void KeepReportedLeases(LentQuota& lent, const LoanAsk& ask);
  static void RemoveExpired(std::vector<QuotaLease>& leases, Instant time);
  Quota OwnAt(Instant time) const { return time < own_until_ ? own_ : Quota{}; }
  Quota CapacityAt(Instant time) const;
  Quota CommittedAt(Instant time) const;
  Quota OwnCommittedAt(Instant time) const;
  std::vector<Instant> CapacityChangeTimes() const;
  void ReduceTo(BorrowedQuota& loan, Quota keep) const;
  BorrowedQuota* FindBorrowed(HostId lender);
  /// Minimum that must be kept of a loan during a period to cover lent quota.
  Quota RequiredLevel(const BorrowedQuota& loan, Instant from,
                      Instant until) const;

  std::vector<Assignment> assignments_;
  Duration handover_{};
  bool suspended_ = false;
  Quota own_;
  Quota borrowed_total_;
  Quota lent_total_;
  Quota held_;
  double tokens_ = 0;
  Instant time_{};
  Instant own_until_{};
  Instant next_event_{};
  std::vector<BorrowedQuota> borrowed_;
  std::vector<LentQuota> lent_;
};

}  // namespace lentilcross
