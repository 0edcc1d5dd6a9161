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

/// Returns the timeout of a request: that of its header, limited to the timeout
/// of the route. Empty if the header is malformed.
std::optional<Duration> ParseTimeout(const HttpRequest& request,
                                     const RouteEntry& route,
                                     const HttpDialect& dialect);

/// Returns the number of tickets that a request asks for, 1 by default. Empty
/// if it is malformed or out of range.
std::optional<int> ParseTicketCount(const HttpRequest& request);

/// Returns the response of the ticket endpoint.
HttpResponse MakeTicketResponse(const std::vector<std::string>& tickets,
                                Duration lifetime);

/// Removes the headers that only this daemon may see or set: API key, context,
/// timeout and others of the dialect.
void RemoveInternalHeaders(Headers& headers, const HttpDialect& dialect);

/// Returns the response to the caller: that of the target, or a problem
/// document for a refusal.
HttpResponse ToHttpResponse(Reply&& reply, const HttpDialect& dialect);

/// Adds a random time of up to `retry_after`, or up to `min_range` if that is
/// longer, so that refused callers do not retry all at once.
Duration AddJitter(Duration retry_after, Duration min_range, Random& random);

/// Picks the service for a request on the route: by weight if the route splits
/// its requests, else its only service.
ServiceId PickService(const RouteEntry& route, Random& random);

}  // namespace lentilcross
