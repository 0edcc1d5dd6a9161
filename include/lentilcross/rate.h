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

/// Minimum `RateLimiter::Init::handover` for a loan term. An owner without
/// contact keeps its quota for half of the handover time. In the other half its
/// loans must expire and a new configuration version must reach all hosts.
constexpr Duration ShortestHandover(Duration loan_term) {
  return 2 * loan_term + std::chrono::seconds(1);
}

/// Distributed token bucket rate limiter: the part of every organisation's rate
/// and burst that this host holds. It consists of the quota that the
/// configuration assigns to this host (its own quota) plus quota borrowed from
/// other hosts, less quota lent to them. Loans are exchanged in peer messages.
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
    /// added, during which own quotas are not used; default: `handover`. Loans
    /// made by an earlier process of this host stay valid for up to one loan
    /// term. With a shorter wait, up to the lent rate is admitted in excess of
    /// the quota for one loan term.
    std::optional<Duration> start_wait;
  };
  struct Stats {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0;
    std::uint64_t loans_granted = 0;
    std::uint64_t loans_taken = 0;       ///< Borrowed from other hosts.
    std::uint64_t loans_expired = 0;     ///< Borrowed and expired.
    std::uint64_t messages_ignored = 0;  ///< Duplicate, late or malformed.
    std::uint64_t suspensions = 0;       ///< Counted when contact is back.
  };
  enum class Verdict : std::uint8_t {
    kAdmitted,
    kWait,     ///< Retry when a grant arrives, or at `retry_at` at the latest.
    kRefused,  ///< The client may retry after `retry_after`.
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

  /// Fails with `Findings` if the host, failure domain or incarnation is
  /// missing, or if the loan term, the start wait or the handover time is out
  /// of range; see `ShortestHandover`.
  static Result<RateLimiter> Create(const Init& init);
  RateLimiter(RateLimiter&&) noexcept;
  RateLimiter& operator=(RateLimiter&&) noexcept;
  ~RateLimiter();

  /// Applies the quotas of a new configuration. A reduction takes effect at
  /// once, an increase after `handover`.
  void Apply(std::shared_ptr<const Configuration> configuration, Instant now);

  /// Takes one token for a request. `waited` is how long the request has waited
  /// so far; 0 marks a new request. Refuses organisations that the
  /// configuration does not list. The caller must retry waiting requests in
  /// order of arrival and before new ones.
  AcquireResult TryAcquire(OrganisationId organisation, Duration waited,
                           Instant now);

  /// Records that this host compared configuration versions with another daemon
  /// or the platform, in an exchange that it began at `began`. A newer version
  /// learned in the exchange must be applied first.
  void RecordContact(Instant began, Instant now);

  /// Expires loans and returns the messages to send. Call at least every 20 ms
  /// while requests arrive, and after `OnRequest`, `OnGrant` and a `kWait`.
  std::vector<Outgoing> Tick(Instant now);

  void OnRequest(HostId from, const LoanRequest& request, Instant now);
  /// True if a token is available for a waiting request.
  bool OnGrant(HostId from, const LoanGrant& grant, Instant now);
  void OnReturn(HostId from, const LoanReturn& message, Instant now);
  /// Returns the messages that give back all borrowed quota, to be sent before
  /// this process exits. Grants for earlier requests are ignored from then on.
  std::vector<Outgoing> ReturnAllLoans(Instant now);

  /// Own quota in force, plus borrowed, less lent quota.
  Quota held(OrganisationId organisation, Instant now) const;
  double tokens(OrganisationId organisation, Instant now) const;
  /// True while own quotas are not used because contact was lost.
  bool suspended(Instant now) const;
  const Stats& stats() const;

 private:
  struct Impl;
  explicit RateLimiter(const Init& init);

  std::unique_ptr<Impl> impl_;
};

}  // namespace lentilcross
