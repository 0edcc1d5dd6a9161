#include <algorithm>

#include "lentilcross/findings.h"
#include "rate_book_impl.h"

namespace lentilcross {
namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(20);
constexpr Duration kShortestRetry = std::chrono::milliseconds(1);
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMostRetryAfter = std::chrono::seconds(5);

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
    if (it == next.organisations.end()) ApplyTo(org, nullptr, now);
  }
  for (const auto& [id, entry] : next.organisations) {
    RateOrg& org = orgs[id];
    org.id = id;
    org.total = {entry.rate * next.preset.rate_factor,
                 entry.burst * next.preset.rate_factor};
    ApplyTo(org, &entry, now);
  }
}

void RateLimiter::Impl::ApplyTo(RateOrg& org, const OrganisationEntry* entry,
                                Instant now) {
  Advance(org, now);
  org.lenders_known = false;
  org.owners_here.clear();
  org.is_owner = false;
  if (entry == nullptr) {
    org.total = {};
  } else {
    org.owners_here = owners.Find(org.id, init.failure_domain);
    org.is_owner = std::find(org.owners_here.begin(), org.owners_here.end(),
                             init.self) != org.owners_here.end();
  }
  // The first share of a host counts after the wait of a start, not after a
  // handover. That is the share once it is listed: registrations come late.
  const bool is_listed = owners.DomainOf(init.self).valid();
  if (org.account.has_no_target() && !is_listed) return;
  const double share =
      org.is_owner ? owners.ShareOfOwner(init.failure_domain) : 0;
  org.account.SetTarget({org.total.rate * share, org.total.burst * share}, now,
                        init.handover, init.start_wait.value_or(init.handover));
  MarkDirty(org);
}

RateOrg* RateLimiter::Impl::Find(OrganisationId id) {
  const auto it = orgs.find(id);
  return it == orgs.end() ? nullptr : &it->second;
}

void RateLimiter::Impl::Advance(RateOrg& org, Instant now) {
  stats.loans_expired +=
      static_cast<std::uint64_t>(org.account.Advance(now, own_until));
}

void RateLimiter::Impl::RecordContact(Instant began, Instant now) {
  // The exchange may have begun before a pause; what it proves is as old.
  const Instant until = began + init.handover / 2;
  if (until <= own_until) return;
  if (now >= own_until) {
    // Ends the own quotas first: tokens saved up before do not come back.
    if (own_until != Instant{}) ++stats.suspensions;
    for (auto& [id, org] : orgs) Advance(org, now);
  }
  own_until = until;
}

void RateLimiter::Impl::MarkDirty(RateOrg& org) {
  if (org.dirty) return;
  org.dirty = true;
  dirty.push_back(org.id);
}

RateLimiter::AcquireResult RateLimiter::Impl::TryAcquire(OrganisationId id,
                                                         Duration waited,
                                                         Instant now) {
  RateOrg* org = Find(id);
  if (org == nullptr || org->total.rate <= 0) {
    ++stats.refused;
    return {Verdict::kRefused, {}, kMostRetryAfter};
  }
  Advance(*org, now);
  const bool is_new = waited <= Duration::zero();
  if (is_new) org->local.Add(1, now);
  if (!org->account.TakeToken()) return OnNoToken(*org, waited, now);
  if (!is_new) org->waiting = std::max(0, org->waiting - 1);
  ++stats.admitted;
  return {Verdict::kAdmitted, {}, {}};
}

RateLimiter::AcquireResult RateLimiter::Impl::OnNoToken(RateOrg& org,
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
            now + std::min(std::max(retry, kShortestRetry), left),
            {}};
  }
  if (waited > Duration::zero()) org.waiting = std::max(0, org.waiting - 1);
  ++stats.refused;
  // Hosts borrow from each other, so that a caller who comes back finds what
  // the whole organisation generated meanwhile.
  const Duration after = Seconds((1 + org.waiting) / org.total.rate);
  return {Verdict::kRefused,
          {},
          std::clamp(after, kLeastRetryAfter, kMostRetryAfter)};
}

std::vector<RateLimiter::Outgoing> RateLimiter::Impl::Tick(Instant now) {
  if (now - last_sweep >= kSweepInterval) Sweep(now);
  std::vector<OrganisationId> due;
  due.swap(dirty);
  for (const OrganisationId id : due) {
    RateOrg& org = orgs[id];
    org.dirty = false;
    Advance(org, now);
    ServeUnmet(org, now);
    Plan(org, now);
    // The sweeps may come 40 ms apart, longer than a request waits. Open wishes
    // are looked at in every tick.
    if (HasUnmet(org, now)) MarkDirty(org);
  }
  return Drain(now);
}

void RateLimiter::Impl::Sweep(Instant now) {
  last_sweep = now;
  for (auto& [id, org] : orgs) {
    Advance(org, now);
    org.account.ForgetEnded();
    const bool idle = org.account.borrowed().empty() && org.waiting == 0 &&
                      now - org.local.last() > std::chrono::seconds(3);
    if (!idle) MarkDirty(org);
  }
  const Instant oldest = now - init.loan_term;
  for (auto& [host, list] : sent) {
    while (!list.empty() && list.front().at < oldest) list.pop_front();
  }
}

std::vector<RateLimiter::Outgoing> RateLimiter::Impl::Drain(Instant now) {
  std::vector<Outgoing> out;
  for (auto& [host, list] : returns) {
    out.push_back(
        {host, LoanReturn{init.incarnation, ++last_number, std::move(list)}});
  }
  returns.clear();
  for (auto& [host, list] : asks) {
    sent[host].push_back({++last_number, now});
    out.push_back(
        {host, LoanRequest{init.incarnation, last_number, std::move(list)}});
  }
  asks.clear();
  for (PendingGrant& grant : grants) {
    out.push_back({grant.to, std::move(grant.message)});
  }
  grants.clear();
  return out;
}

std::vector<RateLimiter::Outgoing> RateLimiter::Impl::ReturnAllLoans(
    Instant now) {
  for (auto& [id, org] : orgs) {
    Advance(org, now);
    GiveBackAll(org, now);
  }
  // A grant on its way is not accepted any more.
  sent.clear();
  return Drain(now);
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
  const RateOrg* org = impl_->Find(organisation);
  if (org == nullptr) return {};
  if (org->account.IsSettled(now, impl_->own_until)) return org->account.held();
  RateAccount account = org->account;
  account.Advance(now, impl_->own_until);
  return account.held();
}

double RateLimiter::tokens(OrganisationId organisation, Instant now) const {
  const RateOrg* org = impl_->Find(organisation);
  if (org == nullptr) return 0;
  if (org->account.IsSettled(now, impl_->own_until)) {
    return org->account.TokensAt(now);
  }
  RateAccount account = org->account;
  account.Advance(now, impl_->own_until);
  return account.tokens();
}

bool RateLimiter::suspended(Instant now) const {
  return now >= impl_->own_until;
}

const RateLimiter::Stats& RateLimiter::stats() const { return impl_->stats; }

}  // namespace lentilcross
