#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/error.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

inline constexpr Duration kShortestLoanTerm = std::chrono::milliseconds(500);
inline constexpr Duration kLongestLoanTerm = std::chrono::seconds(10);

/// Least `RateLimiter::Init::handover` with this loan term. An owner without
/// contact keeps its quota for half of the handover; within the other half
/// loans must end and a version must spread.
constexpr Duration ShortestHandover(Duration loan_term) {
  return 2 * loan_term + std::chrono::seconds(1);
}

/// Rate and burst of every organisation at this host: quotas that the
/// configuration assigns, loans to and from other hosts, and the tokens.
class RateLimiter {
 public:
  struct Init {
    HostId self;
    FailureDomainId failure_domain;
    Incarnation incarnation;
    Duration loan_term = std::chrono::seconds(2);
    Duration handover = std::chrono::seconds(10);
    Duration longest_wait = std::chrono::milliseconds(30);
    /// Time after the start of this process, and after an organisation is
    /// added, in which own quotas are unused; empty: `handover`. Loans that an
    /// earlier process of this host made stay in force for one loan term beside
    /// the own quota, so that less than that adds up to the loaned rate for one
    /// term.
    std::optional<Duration> start_wait;
  };
  struct Stats {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0;
    std::uint64_t loans_granted = 0;
    std::uint64_t loans_taken = 0;
    std::uint64_t loans_expired = 0;
    std::uint64_t messages_ignored = 0;  ///< Duplicate, late or malformed.
    std::uint64_t suspensions = 0;
  };
  enum class Verdict : std::uint8_t {
    kAdmitted,
    kWait,     ///< Ask again when a grant arrives, at latest at `retry_at`.
    kRefused,  ///< Come back after `retry_after`.
  };
  struct AcquireResult {
    Verdict verdict = Verdict::kRefused;
    Instant retry_at{};
    Duration retry_after{};
  };
  struct Outgoing {
    HostId to;
    std::variant<LoanRequest, LoanGrant, LoanReturn> message;
  };

  /// Fails with `Findings` without host, domain or incarnation, or if the times
  /// do not allow a safe handover.
  static Result<RateLimiter> Create(const Init& init);
  RateLimiter(RateLimiter&&) noexcept;
  RateLimiter& operator=(RateLimiter&&) noexcept;
  ~RateLimiter();

  /// Takes over quotas from a new configuration: losses at once, gains after
  /// `handover`.
  void Apply(std::shared_ptr<const Configuration> configuration, Instant now);

  /// Takes one token for a whole request. `waited` is how long the request has
  /// waited so far; 0 marks a new request. An organisation that the
  /// configuration does not list is refused. The caller lets waiting requests
  /// try in order of arrival and before new ones.
  AcquireResult TryAcquire(OrganisationId organisation, Duration waited,
                           Instant now);

  /// Records that another daemon or the platform compared versions with this
  /// host, in an exchange that this host began at `began`. A newer version
  /// learned by it must be applied first.
  void RecordContact(Instant began, Instant now);

  /// Expires loans and returns the messages that are due. Call at least every
  /// 20 ms while requests arrive, and after `OnRequest`, `OnGrant` and a
  /// `kWait`.
  std::vector<Outgoing> Tick(Instant now);

  void OnRequest(HostId from, const LoanRequest& request, Instant now);
  /// True if a waiting request may now be charged.
  bool OnGrant(HostId from, const LoanGrant& grant, Instant now);
  void OnReturn(HostId from, const LoanReturn& message, Instant now);
  /// Loans to give back before this process exits.
  std::vector<Outgoing> ReturnAllLoans(Instant now);

  /// Quota held now: own, plus borrowed, less lent.
  Quota held(OrganisationId organisation, Instant now) const;
  double tokens(OrganisationId organisation, Instant now) const;
  /// True while the own quotas are unused for lack of contact.
  bool suspended(Instant now) const;
  const Stats& stats() const;

 private:
  struct Impl;
  explicit RateLimiter(const Init& init);

  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
