#include <algorithm>

#include "lentilcross/findings.h"
#include "rate_book_impl.h"

namespace lentilcross {
namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(20);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
// Time without requests after which an organisation costs nothing more.
constexpr Duration kIdleAfter = std::chrono::seconds(3);

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

RateLimiter::Impl::Impl(const Init& init_values) : init(init_values) {}

void RateLimiter::Impl::Apply(const Configuration& next, Instant now) {
  owners.Apply(next);
  for (auto& [id, org] : orgs) {
    const auto it = next.organisations.find(id);
    const bool limited =
        it != next.organisations.end() && !it->second.unlimited;
    if (!limited) ApplyTo(org, nullptr, now);
  }
  for (const auto& [id, entry] : next.organisations) {
    if (entry.unlimited) continue;
    OrganisationState& org = orgs[id];
    org.id = id;
    org.total = {entry.rate * next.preset.rate_factor,
                 entry.burst * next.preset.rate_factor};
    ApplyTo(org, &entry, now);
  }
}

void RateLimiter::Impl::ApplyTo(OrganisationState& org,
                                const OrganisationEntry* entry, Instant now) {
  Advance(org, now);
  org.lenders_known = false;
  org.is_owner = false;
  // An organisation may be back with the next version. Nobody uses its quota
  // until then, so that only one that has moved has to wait for the handover.
  org.account.SetSuspended(entry == nullptr);
  if (entry == nullptr) {
    org.total = {};
    MarkDirty(org);
    return;
  }
  const OwnerGroupId group = owners.GroupOf(init.failure_domain);
  const std::vector<HostId> found = owners.Find(org.id, group);
  org.is_owner =
      std::find(found.begin(), found.end(), init.self) != found.end();
  // The first quota of a host takes effect after `start_wait` instead of the
  // handover. It is not set before the host is listed, as a host may receive a
  // configuration before its own registration.
  const bool is_listed = owners.GroupOf(init.self).valid();
  if (org.account.has_no_assigned_quota() && !is_listed) return;
  const double share = org.is_owner ? owners.ShareOfOwner(group) : 0;
  org.account.SetAssignedQuota(
      {org.total.rate * share, org.total.burst * share}, now, init.handover,
      init.start_wait.value_or(init.handover));
  MarkDirty(org);
}

OrganisationState* RateLimiter::Impl::Find(OrganisationId id) {
  const auto it = orgs.find(id);
  return it == orgs.end() ? nullptr : &it->second;
}

void RateLimiter::Impl::Advance(OrganisationState& org, Instant now) {
  stats.loans_expired +=
      static_cast<std::uint64_t>(org.account.Advance(now, own_until));
}

void RateLimiter::Impl::RecordContact(Instant began, Instant now) {
  // Counts from the start of the exchange: this process may have been paused
  // since, and the compared version may be that old.
  const Instant until = began + init.handover / 2;
  if (until <= own_until) return;
  if (now >= own_until) {
    // Applies the end of the own quotas first, so that tokens accumulated
    // before the suspension are dropped.
    if (own_until != Instant{}) ++stats.suspensions;
    for (auto& [id, org] : orgs) Advance(org, now);
  }
  own_until = until;
}

void RateLimiter::Impl::MarkDirty(OrganisationState& org) {
  if (!org.active) {
    org.active = true;
    active.push_back(org.id);
  }
  if (org.dirty) return;
  org.dirty = true;
  dirty.push_back(org.id);
}

RateLimiter::AcquireResult RateLimiter::Impl::TryAcquire(OrganisationId id,
                                                         Duration waited,
                                                         Instant now) {
  OrganisationState* org = Find(id);
  if (org == nullptr || org->total.rate <= 0) {
    ++stats.refused;
    return {Verdict::kRefused, {}, kMaxRetryAfter};
  }
  Advance(*org, now);
  const bool is_new = waited <= Duration::zero();
  if (is_new) {
    org->local_demand.Add(1, now);
    MarkDirty(*org);
  }
  if (!org->account.TakeToken()) return OnNoToken(*org, waited, now);
  if (!is_new) org->waiting = std::max(0, org->waiting - 1);
  ++stats.admitted;
  return {Verdict::kAdmitted, {}, {}};
}

RateLimiter::AcquireResult RateLimiter::Impl::OnNoToken(OrganisationState& org,
                                                        Duration waited,
                                                        Instant now) {
  const Duration left = init.longest_wait - waited;
  if (left > Duration::zero()) {
    if (waited <= Duration::zero()) {
      ++org.waiting;
      ++stats.waited;
    }
    org.last_wait = now;
    MarkDirty(org);
    Duration retry = left;
    if (const double rate = org.account.held().rate; rate > 0) {
      retry = std::min(retry, Seconds((1 - org.account.tokens()) / rate));
    }
    return {Verdict::kWait,
            now + std::min(std::max(retry, kMinRetryDelay), left),
            {}};
  }
  if (waited > Duration::zero()) org.waiting = std::max(0, org.waiting - 1);
  ++stats.refused;
  // Uses the rate of the whole organisation: hosts borrow from each other, so a
  // retry can use a token that any of them generated.
  const Duration after = Seconds((1 + org.waiting) / org.total.rate);
  return {
      Verdict::kRefused, {}, std::clamp(after, kMinRetryAfter, kMaxRetryAfter)};
}

std::vector<RateLimiter::Outgoing> RateLimiter::Impl::Tick(Instant now) {
  if (now - last_sweep >= kSweepInterval) Sweep(now);
  std::vector<OrganisationId> due;
  due.swap(dirty);
  for (const OrganisationId id : due) {
    OrganisationState& org = orgs[id];
    org.dirty = false;
    Advance(org, now);
    GrantUnmetTokens(org, now);
    PlanLoans(org, now);
    // Sweeps may be 40 ms apart, longer than a request waits. Organisations
    // with unmet token requests are therefore checked in every tick.
    if (HasUnmetTokens(org, now)) MarkDirty(org);
  }
  return TakeOutgoing(now);
}

void RateLimiter::Impl::Sweep(Instant now) {
  last_sweep = now;
  std::vector<OrganisationId> visited;
  visited.swap(active);
  for (const OrganisationId id : visited) {
    OrganisationState& org = orgs[id];
    Advance(org, now);
    org.account.RemoveExpiredLoans();
    const bool idle = org.account.borrowed().empty() && org.waiting == 0 &&
                      now - org.local_demand.last() > kIdleAfter;
    if (!idle) MarkDirty(org);
    org.active = !idle || !org.account.lent().empty();
    if (org.active) active.push_back(id);
  }
  const Instant oldest = now - init.loan_term;
  for (auto& [host, list] : sent_requests) {
    while (!list.empty() && list.front().at < oldest) list.pop_front();
  }
}

std::vector<RateLimiter::Outgoing> RateLimiter::Impl::TakeOutgoing(
    Instant now) {
  std::vector<Outgoing> out;
  for (auto& [host, list] : pending_returns) {
    out.push_back(
        {host, LoanReturn{init.incarnation, ++last_number, std::move(list)}});
  }
  pending_returns.clear();
  for (auto& [host, list] : pending_asks) {
    sent_requests[host].push_back({++last_number, now});
    out.push_back(
        {host, LoanRequest{init.incarnation, last_number, std::move(list)}});
  }
  pending_asks.clear();
  for (PendingGrant& grant : pending_grants) {
    out.push_back({grant.to, std::move(grant.message)});
  }
  pending_grants.clear();
  return out;
}

std::vector<RateLimiter::Outgoing> RateLimiter::Impl::ReturnAllLoans(
    Instant now) {
  for (auto& [id, org] : orgs) {
    Advance(org, now);
    ReturnLoansOf(org, now);
  }
  // Grants in flight are no longer accepted.
  sent_requests.clear();
  return TakeOutgoing(now);
}

RateLimiter::RateLimiter(const Init& init)
    : impl_(std::make_unique<Impl>(init)) {}
RateLimiter::RateLimiter(RateLimiter&&) noexcept = default;
RateLimiter& RateLimiter::operator=(RateLimiter&&) noexcept = default;
RateLimiter::~RateLimiter() = default;

Result<RateLimiter> RateLimiter::Create(const Init& init) {
  Findings findings;
  if (!init.self.valid()) findings.Add("self", "missing");
  if (!init.failure_domain.valid()) findings.Add("failure_domain", "missing");
  if (!init.incarnation.valid()) findings.Add("incarnation", "missing");
  if (init.loan_term < kShortestLoanTerm || init.loan_term > kLongestLoanTerm) {
    findings.Add("loan_term", "out of range");
  }
  if (init.start_wait && (*init.start_wait < Duration::zero() ||
                          *init.start_wait > init.handover)) {
    findings.Add("start_wait", "out of range 0 to handover");
  }
  if (init.handover < ShortestHandover(init.loan_term)) {
    findings.Add("handover", "too short for the loan term");
  }
  if (!findings.empty()) return boost::leaf::new_error(std::move(findings));
  return RateLimiter(init);
}

void RateLimiter::Apply(std::shared_ptr<const Configuration> configuration,
                        Instant now) {
  impl_->Apply(*configuration, now);
  impl_->configuration = std::move(configuration);
}

RateLimiter::AcquireResult RateLimiter::TryAcquire(OrganisationId organisation,
                                                   Duration waited,
                                                   Instant now) {
  return impl_->TryAcquire(organisation, waited, now);
}

void RateLimiter::RecordContact(Instant began, Instant now) {
  impl_->RecordContact(began, now);
}

std::vector<RateLimiter::Outgoing> RateLimiter::Tick(Instant now) {
  return impl_->Tick(now);
}

void RateLimiter::OnRequest(HostId from, const LoanRequest& request,
                            Instant now) {
  impl_->OnRequest(from, request, now);
}

bool RateLimiter::OnGrant(HostId from, const LoanGrant& grant, Instant now) {
  return impl_->OnGrant(from, grant, now);
}

void RateLimiter::OnReturn(HostId from, const LoanReturn& message,
                           Instant now) {
  impl_->OnReturn(from, message, now);
}

std::vector<RateLimiter::Outgoing> RateLimiter::ReturnAllLoans(Instant now) {
  return impl_->ReturnAllLoans(now);
}

Quota RateLimiter::held(OrganisationId organisation, Instant now) const {
  OrganisationState* org = impl_->Find(organisation);
  if (org == nullptr) return {};
  impl_->Advance(*org, now);
  return org->account.held();
}

double RateLimiter::tokens(OrganisationId organisation, Instant now) const {
  OrganisationState* org = impl_->Find(organisation);
  if (org == nullptr) return 0;
  impl_->Advance(*org, now);
  return org->account.tokens();
}

bool RateLimiter::suspended(Instant now) const {
  return now >= impl_->own_until;
}

const RateLimiter::Stats& RateLimiter::stats() const { return impl_->stats; }

}  // namespace lentilcross
