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

TicketStore MakeBook(const TicketStore::Init& init) {
  auto book = TicketStore::Create(init);
  BOOST_REQUIRE(static_cast<bool>(book));
  return std::move(*book);
}

struct Ticket {
  std::string text;
  std::uint64_t serial = 0;
  bool running = false;
  bool ended = false;
  int runs = 0;
};

}  // namespace

// Guards against a deposit that runs twice (P7): a ticket runs again only after
// its run was proven not to have happened, also with a full table and after it
// has expired.
BOOST_AUTO_TEST_CASE(ticket_runs_at_most_once) {
  BOOST_TEST(rc::check([] {
    TicketStore book = MakeBook(MakeInit());
    Instant now{std::chrono::hours(1)};
    std::vector<Ticket> tickets;
    const int steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::seconds(*rc::gen::inRange(0, 20));
      const int action = *rc::gen::inRange(0, 5);
      if (action == 0 || tickets.empty()) {
        tickets.push_back({book.Issue(kOrganisation, now)});
        continue;
      }
      auto& ticket = tickets[*rc::gen::inRange<std::size_t>(0, tickets.size())];
      if (action == 1) {
        const auto use = book.Claim(ticket.text, kOrganisation, kRoute, now);
        if (use.reason != Reason::kNone) continue;
        RC_ASSERT(!ticket.running && !ticket.ended);
        ticket.running = true;
        ticket.serial = use.serial;
      } else if (ticket.running) {
        ticket.running = false;
        ticket.ended = action != 2;
        if (action == 2) book.Free(ticket.serial);
        if (action == 3) book.Finish(ticket.serial, {200, "text/plain", "ok"});
        if (action == 4) book.FinishUnknown(ticket.serial);
      }
      RC_ASSERT(book.used() <= MakeInit().max_used);
    }
  }));
}

// Guards against forged or altered tickets.
BOOST_AUTO_TEST_CASE(altered_ticket_is_refused) {
  TicketStore book = MakeBook(MakeInit());
  const Instant now{std::chrono::hours(1)};
  const std::string ticket = book.Issue(kOrganisation, now);
  for (std::size_t i = 0; i < ticket.size(); ++i) {
    std::string altered = ticket;
    altered[i] = altered[i] == '0' ? '1' : '0';
    const auto use = book.Claim(altered, kOrganisation, kRoute, now);
    BOOST_TEST((use.reason != Reason::kNone));
  }
  BOOST_TEST(rc::check([&](const std::string& garbage) {
    TicketStore::ParseIssuer(garbage);
    const auto use = book.Claim(garbage, kOrganisation, kRoute, now);
    RC_ASSERT(use.reason != Reason::kNone);
  }));
  BOOST_TEST(book.used() == 0U);
}

// Guards against a ticket that another organisation, another route or another
// process accepts, and against a lost answer of a repeated request.
BOOST_AUTO_TEST_CASE(ticket_is_bound_to_its_use) {
  TicketStore book = MakeBook(MakeInit());
  const Instant now{std::chrono::hours(1)};
  const std::string ticket = book.Issue(kOrganisation, now);
  const auto reason = [&](OrganisationId organisation, RouteId route) {
    return book.Claim(ticket, organisation, route, now).reason;
  };
  BOOST_TEST((reason(OrganisationId(9), kRoute) == Reason::kTicketInvalid));
  const auto use = book.Claim(ticket, kOrganisation, kRoute, now);
  BOOST_TEST((use.reason == Reason::kNone));
  BOOST_TEST((reason(kOrganisation, kRoute) == Reason::kTicketInUse));
  BOOST_TEST((reason(kOrganisation, RouteId(9)) == Reason::kTicketInvalid));
  book.Finish(use.serial, {201, "text/plain", "done"});
  const auto repeat = book.Claim(ticket, kOrganisation, kRoute, now);
  BOOST_TEST((repeat.reason == Reason::kAlreadyRun));
  BOOST_REQUIRE(repeat.answer.has_value());
  BOOST_TEST(repeat.answer->body == "done");

  TicketStore::Init restarted = MakeInit();
  restarted.incarnation = Incarnation(8);
  TicketStore other = MakeBook(restarted);
  BOOST_TEST((other.Claim(ticket, kOrganisation, kRoute, now).reason ==
              Reason::kTicketIssuerUnreachable));
  const auto issuer = TicketStore::ParseIssuer(ticket);
  BOOST_REQUIRE(issuer.has_value());
  BOOST_TEST((issuer->incarnation == Incarnation(7)));
}

}  // namespace lentilcross
