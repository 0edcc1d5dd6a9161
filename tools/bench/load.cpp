#include "load.h"

#include <numeric>
#include <random>

namespace lentilcross::bench {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr int kEntries = 6;
constexpr std::uint16_t kExtraAttempts = 2;
// A refused critical request counts as refused in favour of a lower one that
// the same entry admitted this shortly before.
constexpr Duration kInFavourOf = std::chrono::milliseconds(10);
const RouteId kRoute = RouteId::FromName("/");

}  // namespace

struct Load::Sent {
  std::shared_ptr<const Request> request;
  int repeats = 0;
  bool ended = false;
};

Load::Load(World& world) : world_(world), start_(world.loop.now()) {
  for (int i = 0; i < kEntries; ++i) {
    entries_.push_back(std::make_unique<Entry>(world));
  }
  for (const auto& organisation : world.deployment.organisations) {
    organisation_shares_.push_back(organisation.demand_share);
  }
  if (world.scenario.greedy >= 0) {
    organisation_shares_[static_cast<std::size_t>(world.scenario.greedy)] *=
        kGreedyFactor;
  }
  const auto bins =
      static_cast<std::size_t>(world.scenario.length / Seconds(kBin).count());
  completed_.assign(bins + 1, std::vector<std::uint64_t>(
                                  world.deployment.organisations.size()));

  offered_ = completed_;
}

void Load::Start() { ScheduleArrival(); }

double Load::RatePerSecond() const {
  const double time = Seconds(world_.loop.now() - start_).count();
  const double shares = std::accumulate(organisation_shares_.begin(),
                                        organisation_shares_.end(), 0.0);
  return world_.deployment.capacity() * world_.scenario.DemandAt(time) * shares;
}

void Load::ScheduleArrival() {
  std::exponential_distribution<double> gap(RatePerSecond());
  const Seconds wait(gap(world_.random));
  world_.loop.After(std::chrono::duration_cast<Duration>(wait), [this] {
    const std::size_t organisation = DrawOrganisation();
    const auto bin =
        static_cast<std::size_t>((world_.loop.now() - start_) / kBin);
    if (bin < offered_.size()) ++offered_[bin][organisation];
    Send(organisation, DrawImportance(), world_.scenario.repeats);
    ScheduleArrival();
  });
}

std::size_t Load::DrawOrganisation() {
  std::discrete_distribution<std::size_t> draw(organisation_shares_.begin(),
                                               organisation_shares_.end());
  return draw(world_.random);
}

Importance Load::DrawImportance() {
  std::discrete_distribution<int> draw(ImportanceMix().begin(),
                                       ImportanceMix().end());
  return static_cast<Importance>(draw(world_.random));
}

void Load::Send(std::size_t organisation, Importance importance, int repeats) {
  auto request = std::make_shared<Request>();
  request->id = RequestId::Make(world_.random);
  request->organisation = organisation;
  request->importance = importance;
  request->deadline = world_.loop.now() + world_.deployment.timeout;
  auto sent = std::make_shared<Sent>();
  sent->request = request;
  sent->repeats = repeats;
  std::uniform_int_distribution<std::size_t> pick(0, entries_.size() - 1);
  SendThrough(*entries_[pick(world_.random)], sent);
}

bool Load::Admit(Entry& entry, const Request& request) {
  const Instant now = world_.loop.now();
  const auto organisation =
      world_.deployment.organisations[request.organisation].id;
  const bool critical = request.importance == Importance::kCritical;
  const auto verdict = entry.gate.Admit(
      kRoute, organisation, request.importance, request.id, now, world_.random);
  if (verdict.admitted && !critical) entry.lower_admitted = now;
  if (!verdict.admitted && critical) {
    ++world_.counters.critical_refused;
    if (now - entry.lower_admitted < kInFavourOf) {
      ++world_.counters.critical_refused_in_favour;
    }
  }
  return verdict.admitted;
}

void Load::SendThrough(Entry& entry, const std::shared_ptr<Sent>& sent) {
  const bool controlled = world_.policy == Policy::kLentilcross;
  if (controlled && !Admit(entry, *sent->request)) {
    End(sent, false);
    return;
  }
  world_.loop.At(sent->request->deadline, [this, sent] { End(sent, false); });
  const auto organisation =
      world_.deployment.organisations[sent->request->organisation].id;
  entry.caller.Call(0, sent->request, kExtraAttempts,
                    [this, &entry, sent, organisation](const CallReply& reply) {
                      entry.gate.OnReply(kRoute, organisation, reply.levels,
                                         world_.loop.now());
                      End(sent, reply.end == CallEnd::kOk);
                    });
}

void Load::End(const std::shared_ptr<Sent>& sent, bool ok) {
  if (sent->ended) return;
  sent->ended = true;
  const Instant now = world_.loop.now();
  if (ok) {
    const auto bin = static_cast<std::size_t>((now - start_) / kBin);
    if (bin < completed_.size()) {
      ++completed_[bin][sent->request->organisation];
    }
    return;
  }
  if (sent->repeats == 0) return;
  world_.loop.After(2 * world_.deployment.client_latency, [this, sent] {
    Send(sent->request->organisation, sent->request->importance,
         sent->repeats - 1);
  });
}

}  // namespace lentilcross::bench
