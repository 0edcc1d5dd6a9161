#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "lentilcross/config.h"
#include "lentilcross/error.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Issues tickets for non-idempotent requests and records their use. A ticket
/// is valid only at the process that issued it and runs at most one request.
class TicketStore {
 public:
  struct Init {
    HostId self;
    Incarnation incarnation;
    Sha256Digest secret{};  ///< Random, never leaves the process.
    Duration lifetime = std::chrono::minutes(10);
    std::size_t max_used = LENTILCROSS_CONFIG_MAX_USED_TICKETS;
    std::size_t max_kept_answers = 4096;
  };
  struct Stats {
    std::uint64_t issued = 0;
    std::uint64_t used = 0;
    std::uint64_t freed = 0;    ///< Released claims.
    std::uint64_t repeats = 0;  ///< Claims of used tickets.
    std::uint64_t refused_full = 0;
  };
  /// Process that issued a ticket and accepts it.
  struct Issuer {
    HostId host;
    Incarnation incarnation;
  };
  struct Answer {
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
  };
  /// Result of a claim. `reason` is `kNone` if the request may run now,
  /// `kAlreadyRun` if it has run before, with its `answer` if that was kept,
  /// and `kTicketIssuerUnreachable` if another process issued the ticket.
  struct Use {
    Reason reason = Reason::kNone;
    std::uint64_t serial = 0;
    std::optional<Answer> answer;
  };

  /// Fails with `Findings` if host, incarnation or secret is missing or the
  /// lifetime isn't positive.
  static Result<TicketStore> Create(const Init& init);

  std::string Issue(OrganisationId organisation, Instant now);
  /// Reads the issuer without authenticating the ticket. Empty if the text is
  /// malformed.
  static std::optional<Issuer> ParseIssuer(std::string_view ticket);

  /// Claims the ticket for one run of (organisation, route).
  Use Claim(std::string_view ticket, OrganisationId organisation, RouteId route,
            Instant now);
  /// Releases a claim whose request is proven not to have run.
  void Free(std::uint64_t serial);
  /// Records the answer. Later claims return it while it is kept.
  void Finish(std::uint64_t serial, Answer answer);
  /// Records that the outcome is unknown. The ticket can't be claimed again.
  void FinishUnknown(std::uint64_t serial);

  std::size_t used() const { return used_.size(); }
  const Stats& stats() const { return stats_; }

 private:
  enum class State : std::uint8_t { kDispatching, kDone, kUnknown };
  struct Used {
    State state = State::kDispatching;
    RouteId route;
    Instant expires{};
    std::optional<Answer> answer;
  };

  explicit TicketStore(const Init& init) : init_(init) {}

  void RemoveExpired(Instant now);
  Use ClaimUsed(const Used& used, RouteId route, std::uint64_t serial);
  void KeepAnswer(std::uint64_t serial, Used& used, Answer answer);

  Init init_;
  Stats stats_;
  std::uint64_t last_serial_ = 0;
  std::unordered_map<std::uint64_t, Used> used_;
  std::set<std::pair<Instant, std::uint64_t>> by_expiry_;
  /// Serials of tickets with a kept answer, oldest first.
  std::deque<std::uint64_t> kept_answers_;
};

}  // namespace lentilcross
