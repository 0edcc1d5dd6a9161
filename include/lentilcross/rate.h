#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Rate and burst of every organisation at this host: quotas that the
/// configuration assigns, loans to and from other hosts, and the tokens.
class RateBook {
 public:
  struct Init {
    HostId self;
    FailureDomainId failure_domain;
    Duration loan_term = std::chrono::seconds(2);
    Duration handover = std::chrono::seconds(10);
    Duration longest_wait = std::chrono::milliseconds(30);
  };
  struct Stats {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0;
    std::uint64_t loans_granted = 0;
    std::uint64_t loans_taken = 0;
    std::uint64_t loans_expired = 0;
  };
  enum class Verdict : std::uint8_t {
    kAdmitted,
    kWait,     ///< Ask again when a grant arrives, at latest at `retry_at`.
    kRefused,  ///< Come back after `retry_after`.
  };
  struct Charge {
    Verdict verdict = Verdict::kRefused;
    Instant retry_at{};
    Duration retry_after{};
  };
  template <typename Message>
  struct Outgoing {
    HostId to;
    Message message;
  };

  static Result<RateBook> Create(const Init& init);

  /// Takes over quotas from a new configuration: losses at once, gains after
  /// `handover`.
  void Apply(std::shared_ptr<const Configuration> configuration, Instant now);

  /// Takes one token for a whole request. `waited` is how long the request has
  /// waited so far.
  Charge TryCharge(OrganisationId organisation, Duration waited, Instant now);

  /// Records contact with another daemon or the platform that compared
  /// versions with this host.
  void RecordContact(Instant now);

  /// Expires loans and returns the loan requests that are due. Call at least
  /// every 50 ms, and after a `kWait`.
  std::vector<Outgoing<LoanRequest>> Tick(Instant now);

  LoanGrant OnRequest(HostId from, const LoanRequest& request, Instant now);
  /// True if a waiting request may now be charged.
  bool OnGrant(HostId from, const LoanGrant& grant, Instant now);
  void OnReturn(HostId from, const LoanReturn& message, Instant now);
  /// Loans to give back before this process exits.
  std::vector<Outgoing<LoanReturn>> ReturnAll(Instant now);

  /// Quota held now: own, plus borrowed, less lent.
  Quota held(OrganisationId organisation, Instant now) const;
  const Stats& stats() const { return stats_; }

 private:
  explicit RateBook(const Init& init) : init_(init) {}

  Init init_;
  Stats stats_;
};

}  // namespace lentilcross
