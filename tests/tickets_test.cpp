#include "lentilcross/tickets.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace lentilcross {
namespace {

const OrganisationId kOrganisation = OrganisationId::FromName("coopers");
const RouteId kRoute = RouteId::FromName("/deposits");

TicketStore::Init MakeInit() {
  TicketStore::Init init;
  init.self = HostId::FromName("host");
  init.incarnation = Incarnation(7);
  init.secret.fill(42);
  init.lifetime = std::chrono::seconds(60);
  init.max_used = 5;
  init.max_kept_answers = 2;
  return init;
}

TicketStore MakeStore(const TicketStore::Init& init) {
  auto store = TicketStore::Create(init);
  BOOST_REQUIRE(static_cast<bool>(store));
  return std::move(*store);
}

struct Ticket {
  std::string text;
  std::uint64_t serial = 0;
  bool running = false;
  bool ended = false;
  int runs = 0;
};

}  // namespace

// Guards against a non-idempotent request that runs twice (P7). A ticket may be
// claimed again only after its request is proven not to have run, also with a
// full table or after the ticket has expired.
BOOST_AUTO_TEST_CASE(ticket_runs_at_most_once) {
  BOOST_TEST(rc::check([] {
    TicketStore store = MakeStore(MakeInit());
    Instant now{std::chrono::hours(1)};
    std::vector<Ticket> tickets;
    const int steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::seconds(*rc::gen::inRange(0, 20));
      const int action = *rc::gen::inRange(0, 5);
      if (action == 0 || tickets.empty()) {
        tickets.push_back({store.Issue(kOrganisation, now)});
        continue;
      }
      auto& ticket = tickets[*rc::gen::inRange<std::size_t>(0, tickets.size())];
      if (action == 1) {
        const auto use = store.Claim(ticket.text, kOrganisation, kRoute, now);
        if (use.reason != Reason::kNone) continue;
        RC_ASSERT(!ticket.running && !ticket.ended);
        ticket.running = true;
        ticket.serial = use.serial;
      } else if (ticket.running) {
        ticket.running = false;
        ticket.ended = action != 2;
        if (action == 2) store.Free(ticket.serial);
        if (action == 3) store.Finish(ticket.serial, {200, "text/plain", "ok"});
        if (action == 4) store.FinishUnknown(ticket.serial);
      }
      RC_ASSERT(store.used() <= MakeInit().max_used);
    }
  }));
}

// Guards against forged or altered tickets.
BOOST_AUTO_TEST_CASE(altered_ticket_is_refused) {
  TicketStore store = MakeStore(MakeInit());
  const Instant now{std::chrono::hours(1)};
  const std::string ticket = store.Issue(kOrganisation, now);
  for (std::size_t i = 0; i < ticket.size(); ++i) {
    std::string altered = ticket;
    altered[i] = altered[i] == '0' ? '1' : '0';
    const auto use = store.Claim(altered, kOrganisation, kRoute, now);
    BOOST_TEST((use.reason != Reason::kNone));
  }
  BOOST_TEST(rc::check([&](const std::string& garbage) {
    TicketStore::ParseIssuer(garbage);
    const auto use = store.Claim(garbage, kOrganisation, kRoute, now);
    RC_ASSERT(use.reason != Reason::kNone);
  }));
  BOOST_TEST(store.used() == 0U);
}

// Guards against a ticket that is accepted for another organisation or route or
// by another process, and against losing the kept answer for a repeated
// request.
BOOST_AUTO_TEST_CASE(ticket_is_bound_to_organisation_route_and_issuer) {
  TicketStore store = MakeStore(MakeInit());
  const Instant now{std::chrono::hours(1)};
  const std::string ticket = store.Issue(kOrganisation, now);
  const auto reason = [&](OrganisationId organisation, RouteId route) {
    return store.Claim(ticket, organisation, route, now).reason;
  };
  BOOST_TEST((reason(OrganisationId(9), kRoute) == Reason::kTicketInvalid));
  const auto use = store.Claim(ticket, kOrganisation, kRoute, now);
  BOOST_TEST((use.reason == Reason::kNone));
  BOOST_TEST((reason(kOrganisation, kRoute) == Reason::kTicketInUse));
  BOOST_TEST((reason(kOrganisation, RouteId(9)) == Reason::kTicketInvalid));
  store.Finish(use.serial, {201, "text/plain", "done"});
  const auto repeat = store.Claim(ticket, kOrganisation, kRoute, now);
  BOOST_TEST((repeat.reason == Reason::kAlreadyRun));
  BOOST_REQUIRE(repeat.answer.has_value());
  BOOST_TEST(repeat.answer->body == "done");

  TicketStore::Init restarted = MakeInit();
  restarted.incarnation = Incarnation(8);
  TicketStore other = MakeStore(restarted);
  BOOST_TEST((other.Claim(ticket, kOrganisation, kRoute, now).reason ==
              Reason::kTicketIssuerUnreachable));
  const auto issuer = TicketStore::ParseIssuer(ticket);
  BOOST_REQUIRE(issuer.has_value());
  BOOST_TEST((issuer->incarnation == Incarnation(7)));
}

}  // namespace lentilcross
