#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http_message.h"
#include "lentilcross/error.h"
#include "lentilcross/peer_message.h"

namespace lentilcross {

using web::FindHeader;
using web::HttpRequest;
using web::HttpResponse;
using web::MakeResponse;

/// Header names of section 3.1 of the design.
namespace header {
inline constexpr std::string_view kApiKey = "X-Api-Key";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kTimeout = "Request-Timeout-Ms";
inline constexpr std::string_view kContext = "Lentilcross-Context";
inline constexpr std::string_view kOrganisation = "Lentilcross-Organisation";
inline constexpr std::string_view kImportance = "Lentilcross-Importance";
/// From a target: `draining`, on any response. With status 503 it means that
/// the target did not run the request.
inline constexpr std::string_view kTargetState = "Lentilcross-Target-State";
inline constexpr std::string_view kContentType = "Content-Type";
inline constexpr std::string_view kRetryAfter = "Retry-After";
}  // namespace header

/// Largest header section of a request or response.
inline constexpr std::size_t kMaxHeaderBytes = 32 * 1024;

/// Compares header names, ignoring case.
bool EqualHeaderName(std::string_view a, std::string_view b);
std::size_t CountHeaders(const Headers& headers, std::string_view name);
void RemoveHeader(Headers& headers, std::string_view name);
/// Removes hop-by-hop headers, including those listed in `Connection`, and
/// `Content-Length`.
void RemoveConnectionHeaders(Headers& headers);

/// True if method, path and headers are safe to serialise: none holds a
/// character that ends its line or word early. Data from peers must be checked.
bool IsSafeToSerialise(const HttpRequest& request);
bool IsSafeToSerialise(const Headers& headers);
/// The same for the value of one header.
bool IsFieldValue(std::string_view text);

}  // namespace lentilcross
