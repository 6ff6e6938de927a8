/// Translates the HTTP API for callers and operators, which docs/API.md specifies, to and from the types of the core.
#pragma once

#include "adapters/http_types.h"
#include "core/events.h"

#include <variant>

namespace cuminscale
{

/// Limits and settings for parsing API requests.
struct ApiLimits
{
    std::uint32_t maxTasksPerJob = 2000;
    std::uint32_t maxIdsPerCall = 1000;
    std::uint32_t traceSamplingInterval = 0; ///< Every n-th request without a valid traceparent header is traced; 0 for none.
};

/// The listener on which a request was received. Callers and operators have separate ones, with different calls.
enum class ApiListener : std::uint8_t { Caller, Operator };

/// Response to a request that is rejected without being passed to the core.
struct ApiError
{
    unsigned status = 400; ///< HTTP status code.
    std::string reason; ///< One sentence; names the invalid field, if there is one.
};

/// Parses and validates a request.
std::variant<CallerRequest, ApiError> parseCall(const HttpRequest &request, ApiListener listener, const ApiLimits &limits);

/// Converts a reply of the core to an HTTP response.
HttpResponse renderReply(const CallerReply &reply);

/// Converts an error to an HTTP response with the outcome "not-run", because no part of the request has been executed.
HttpResponse renderError(const ApiError &error);

/// Returns the headers that state an outcome: Cuminscale-Outcome and, for work that was not run and can be retried, Retry-After.
std::vector<HttpHeader> outcomeHeaders(const Outcome &outcome);

} // namespace cuminscale
