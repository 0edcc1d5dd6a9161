#pragma once

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lentilcross/rate.h"
#include "rate_account.h"
#include "rate_demand.h"
#include "rate_owners.h"

namespace lentilcross {

/// State towards another host that may lend quota of one organisation.
struct Lender {
  HostId host;
  Quota assigned;               ///< Its own quota by the configuration.
  bool is_local = false;        ///< In the same owner group as this host.
  Instant last_request{};       ///< Or last return.
  double tokens_in_flight = 0;  ///< Requested and not answered.
  double last_need = 0;         ///< Tokens in the last request.
  int failures = 0;    ///< Successive answers without the requested tokens.
  int unanswered = 0;  ///< Requests since the last answer.
  Instant unanswered_since{};
  Instant unresponsive_until{};  ///< Avoided until then: it did not answer.
  Instant last_served{};  ///< Last answer with at least a tenth of `last_need`.
};

/// Rate limiting state of one organisation.
struct OrganisationState {
  OrganisationId id;
  Quota total;
  RateAccount account;
  RateDemand local_demand;  ///< Requests that arrived at this host.
  int waiting = 0;          ///< Requests that wait for a token.
  Instant last_wait{};
  bool is_owner = false;
  bool dirty = false;   ///< Listed in `Impl::dirty`.
  bool active = false;  ///< Listed in `Impl::active`.
  /// Owners other than this host, best ranked first.
  std::vector<Lender> lenders;
  bool lenders_known = false;
};

struct RateLimiter::Impl {
  // Requested tokens are granted late for as long as a client request may wait
  // for them.
  static constexpr Duration kUnmetTokensLifetime =
      std::chrono::milliseconds(40);

  explicit Impl(const Init& init_values);

  /// Term of loans whose tokens the borrower uses at once. Later the requests
  /// that asked for them are refused anyway. Such loans are neither renewed nor
  /// returned.
  Duration SpotTerm() const {
    return std::min(init.longest_wait + kUnmetTokensLifetime, init.loan_term);
  }

  // Configuration and time.
  void Apply(const Configuration& configuration, Instant now);
  void ApplyTo(OrganisationState& org, const OrganisationEntry* entry,
               Instant now);
  OrganisationState* Find(OrganisationId id);
  void Advance(OrganisationState& org, Instant now);
  void RecordContact(Instant began, Instant now);
  void MarkDirty(OrganisationState& org);

  // Client requests.
  AcquireResult TryAcquire(OrganisationId id, Duration waited, Instant now);
  AcquireResult OnNoToken(OrganisationState& org, Duration waited, Instant now);

  // Borrower (rate_borrower.cpp).
  struct BorrowingNeeds {
    double demand = 0;    ///< Requests per second to be covered.
    double reserve = 0;   ///< Tokens to hold beyond the current need.
    double tokens = 0;    ///< Tokens to request now.
    bool spot = false;    ///< Without a reserve: each token is used at once.
    bool idle = false;    ///< All loans can be returned.
    bool urgent = false;  ///< More requests wait than tokens are available.
  };
  /// Rate to borrow from the primary lender in addition to the own rate.
  static double RateToBorrow(const OrganisationState& org,
                             const BorrowingNeeds& needs);
  void FindLenders(OrganisationState& org);
  static void DetectUnresponsiveLenders(OrganisationState& org, Instant now);
  bool IsRenewalDue(const OrganisationState& org, const Lender& lender,
                    Instant now) const;
  /// True if the loan ends so soon that no message about it is needed.
  bool EndsSoon(const OrganisationState& org, const Lender& lender,
                Instant now) const;
  /// Owner to borrow from. Null if this host is the primary owner, which
  /// borrows from all others.
  Lender* PrimaryLender(OrganisationState& org, Instant now);
  /// True if this host has to fetch what the borrower requests.
  static bool CountsAsDemand(const LentQuota& lent, bool is_primary);
  BorrowingNeeds ComputeNeeds(OrganisationState& org, bool is_primary,
                              Instant now);
  void PlanLoans(OrganisationState& org, Instant now);
  void BorrowFromAll(OrganisationState& org, const BorrowingNeeds& needs,
                     Instant now);
  void BorrowFromPrimary(OrganisationState& org, Lender& primary,
                         const BorrowingNeeds& needs, Instant now);
  void AdjustLoan(OrganisationState& org, Lender& primary,
                  const BorrowingNeeds& needs, double rate, double need,
                  Instant now);
  void RequestFromAll(OrganisationState& org, const BorrowingNeeds& needs,
                      Instant now);
  void RequestRateAndTokens(OrganisationState& org, Lender& lender, Quota keep,
                            double returned, Quota want_more, double need,
                            Instant now);
  void RequestSpotTokens(OrganisationState& org, Lender& lender, double need,
                         Instant now);
  void ReturnLoan(OrganisationState& org, Lender& lender, Instant now);
  void QueueReturn(OrganisationState& org, Lender& lender, Quota keep,
                   double returned, Instant now);
  void QueueRequest(OrganisationState& org, Lender& lender, LoanAsk ask,
                    Instant now);
  void ReturnLoansOf(OrganisationState& org, Instant now);
  struct SentRequest {
    std::uint32_t number = 0;
    Instant at{};
  };
  /// Null if it is unknown or older than a loan term.
  const SentRequest* FindSentRequest(HostId to, std::uint32_t number) const;
  bool OnGrant(HostId from, const LoanGrant& grant, Instant now);
  void RecordAnswer(OrganisationState& org, Lender& lender, const Loan& loan,
                    Instant now);
  bool AcceptLoan(HostId from, std::uint32_t number, Instant sent,
                  const Loan& loan, Instant now);

  // Lender (rate_lender.cpp).
  void OnRequest(HostId from, const LoanRequest& request, Instant now);
  void OnReturn(HostId from, const LoanReturn& message, Instant now);
  LentQuota* ApplyReport(OrganisationState& org, HostId from,
                         Incarnation borrower, std::uint32_t number,
                         const LoanAsk& ask, Instant now);
  bool IsOwner(OrganisationState& org, HostId host);
  bool MayRelendTo(OrganisationState& org, HostId borrower);
  double GrantableRate(const OrganisationState& org, const LentQuota& lent,
                       Instant now) const;
  double GrantableTokens(const OrganisationState& org, const LentQuota& lent,
                         Instant now) const;
  void GrantLoan(OrganisationState& org, LentQuota& lent, bool is_first_grant,
                 Instant now);
  /// Lends `rate` and `tokens`, with as much burst without tokens as fits into
  /// `room`. The loan is empty if its term would be too short.
  Loan MakeLoan(OrganisationState& org, LentQuota& lent, Quota room,
                double rate, double tokens, Instant now);
  void GrantUnmetTokens(OrganisationState& org, Instant now);
  static bool HasUnmetTokens(const OrganisationState& org, Instant now);

  std::vector<Outgoing> Tick(Instant now);
  /// Periodic work on all organisations.
  void Sweep(Instant now);
  std::vector<Outgoing> TakeOutgoing(Instant now);
  std::vector<Outgoing> ReturnAllLoans(Instant now);

  struct PendingGrant {
    HostId to;
    LoanGrant message;
  };

  Init init;
  Stats stats;
  QuotaOwners owners;
  std::shared_ptr<const Configuration> configuration;
  std::unordered_map<OrganisationId, OrganisationState> orgs;
  std::unordered_map<HostId, std::deque<SentRequest>> sent_requests;
  std::unordered_map<HostId, std::vector<LoanAsk>> pending_asks;
  std::unordered_map<HostId, std::vector<LoanAsk>> pending_returns;
  std::vector<PendingGrant> pending_grants;
  std::vector<OrganisationId> dirty;
  std::vector<OrganisationId> active;  ///< Visited by sweeps.
  std::uint32_t last_number = 0;
  Instant own_until{};  ///< Own quotas are suspended from then on.
  Instant last_sweep{};
};

}  // namespace lentilcross
