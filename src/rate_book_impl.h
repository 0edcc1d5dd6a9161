#pragma once

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lentilcross/rate.h"
#include "rate_account.h"
#include "rate_demand.h"
#include "rate_owners.h"

namespace lentilcross {

/// A host that may lend, as one organisation's books see it.
struct Lender {
  HostId host;
  Quota potential;  ///< Own share by the configuration.
  Instant asked{};
  double in_flight = 0;  ///< Tokens asked for and not answered.
  double last_need = 0;
  int failures = 0;    ///< Answers in a row without the tokens asked for.
  int unanswered = 0;  ///< Requests since the last answer.
  Instant waiting_since{};
  Instant silent_until{};  ///< Not preferred until then: it did not answer.
  Instant served{};        ///< Last answer with all that was asked for.
};

/// Everything known about one organisation.
struct RateOrg {
  OrganisationId id;
  Quota total;
  RateAccount account;
  RateDemand local;  ///< Requests that arrived here.
  int waiting = 0;
  Instant last_wait{};
  bool is_owner = false;
  bool dirty = false;
  std::vector<HostId> owners_here;  ///< Owners in this failure domain.
  std::vector<Lender> lenders;      ///< In order of rank.
  bool lenders_known = false;
};

struct RateLimiter::Impl {
  explicit Impl(const Init& init_values);

  // Configuration and time.
  void Apply(const Configuration& configuration, Instant now);
  void ApplyTo(RateOrg& org, const OrganisationEntry* entry, Instant now);
  RateOrg* Find(OrganisationId id);
  void Advance(RateOrg& org, Instant now);
  void RecordContact(Instant began, Instant now);
  void MarkDirty(RateOrg& org);

  // Requests of callers.
  AcquireResult TryAcquire(OrganisationId id, Duration waited, Instant now);
  AcquireResult OnNoToken(RateOrg& org, Duration waited, Instant now);

  // Borrower (rate_borrower.cpp).
  struct Wishes {
    double demand = 0;  ///< Requests per second to be covered.
    double stock = 0;   ///< Tokens to keep at hand.
    double need = 0;    ///< Tokens to fetch now.
    bool urgent = false;
  };
  /// Rate to hold of the primary beyond the own one.
  static double RateToBorrow(const RateOrg& org, const Wishes& wishes);
  void FindLenders(RateOrg& org);
  void NoteSilence(RateOrg& org, Instant now) const;
  Lender* Primary(RateOrg& org, Instant now);
  bool CountsHere(const Lent& lent, bool is_home) const;
  Wishes Wish(RateOrg& org, bool is_home, Instant now);
  void Plan(RateOrg& org, Instant now);
  void Gather(RateOrg& org, const Wishes& wishes, Instant now);
  void Buy(RateOrg& org, Lender& primary, const Wishes& wishes, Instant now);
  void AskAll(RateOrg& org, const Wishes& wishes, Instant now);
  void Drop(RateOrg& org, Lender& lender, Instant now);
  void Release(RateOrg& org, Lender& lender, Quota keep, double returned,
               Instant now);
  void Ask(RateOrg& org, Lender& lender, Quota keep, double returned,
           Quota want_more, double need, Instant now);
  void GiveBackAll(RateOrg& org, Instant now);
  bool OnGrant(HostId from, const LoanGrant& grant, Instant now);
  void NoteAnswer(RateOrg& org, Lender& lender, const Loan& loan, Instant now);
  bool AcceptLoan(HostId from, std::uint32_t number, Instant sent,
                  const Loan& loan, Instant now);

  // Lender (rate_lender.cpp).
  void OnRequest(HostId from, const LoanRequest& request, Instant now);
  void OnReturn(HostId from, const LoanReturn& message, Instant now);
  Lent* TakeDeclaration(RateOrg& org, HostId from, Incarnation borrower,
                        std::uint32_t number, const LoanAsk& ask, Instant now);
  std::uint64_t RankOf(const RateOrg& org, HostId owner) const;
  bool IsOwnerHere(const RateOrg& org, HostId host) const;
  bool IsOnward(const RateOrg& org, HostId borrower) const;
  double GrantableRate(const RateOrg& org, const Lent& lent, Instant now) const;
  double GrantableTokens(const RateOrg& org, const Lent& lent,
                         Instant now) const;
  void Serve(RateOrg& org, Lent& lent, bool first, Instant now);
  /// Lends `rate` and `give` tokens, with as much empty burst as fits into
  /// `room`. The loan is empty if its term would be too short.
  Loan MakeLoan(RateOrg& org, Lent& lent, Quota room, double rate, double give,
                Instant now);
  void ServeUnmet(RateOrg& org, Instant now);
  static bool HasUnmet(const RateOrg& org, Instant now);

  std::vector<Outgoing> Tick(Instant now);
  void Sweep(Instant now);
  std::vector<Outgoing> Drain(Instant now);
  std::vector<Outgoing> ReturnAllLoans(Instant now);

  struct Sent {
    std::uint32_t number = 0;
    Instant at{};
  };
  struct PendingGrant {
    HostId to;
    LoanGrant message;
  };

  Init init;
  Stats stats;
  QuotaOwners owners;
  std::shared_ptr<const Configuration> configuration;
  std::unordered_map<OrganisationId, RateOrg> orgs;
  std::unordered_map<HostId, std::deque<Sent>> sent;
  std::unordered_map<HostId, std::vector<LoanAsk>> asks;
  std::unordered_map<HostId, std::vector<LoanAsk>> returns;
  std::vector<PendingGrant> grants;
  std::vector<OrganisationId> dirty;
  std::uint32_t last_number = 0;
  Instant own_until{};
  Instant last_sweep{};
};

}  // namespace lentilcross
