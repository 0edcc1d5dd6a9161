#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http_dialect.h"
#include "http_types.h"
#include "lentilcross/configuration.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Path of the endpoint that issues tickets.
inline constexpr std::string_view kTicketPath = "/.lentilcross/ticket";

/// Time that a request may take: its header, at most the timeout of the route.
/// Empty if the header is malformed.
std::optional<Duration> TimeoutOf(const HttpRequest& request,
                                  const RouteEntry& route,
                                  const HttpDialect& dialect);

/// Number of tickets that a request asks for, 1 by default. Empty if it is
/// malformed or out of range.
std::optional<int> TicketCountOf(const HttpRequest& request);

/// Body of the response of the ticket endpoint.
HttpResponse MakeTicketResponse(const std::vector<std::string>& tickets,
                                Duration lifetime);

/// Removes what only this daemon may see or set: the key, the context headers
/// and the timeout.
void RemoveOwnHeaders(Headers& headers, const HttpDialect& dialect);

/// Response for the caller: the answer of the target, or a problem.
HttpResponse ToHttpResponse(Reply&& reply, const HttpDialect& dialect);

/// Adds up to its own length, at least `least`, to a time to come back, so that
/// refused callers do not come back together.
Duration AddJitter(Duration retry_after, Duration least, Random& random);

/// Service of a request on the route: one of its split by weight, else its
/// only one.
ServiceId PickService(const RouteEntry& route, Random& random);

}  // namespace lentilcross
