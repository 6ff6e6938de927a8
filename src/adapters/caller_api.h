/// The HTTP form of callers' and operators' calls; docs/API.md documents it.
#pragma once

#include "adapters/http_types.h"
#include "core/events.h"

#include <variant>

namespace cuminscale
{

/// Bounds on one call.
struct ApiLimits
{
    std::uint32_t maxTasksPerJob = 2000;
    std::uint32_t maxIdsPerCall = 1000;
    std::uint32_t traceOneIn = 0; ///< One request in so many is traced without being asked to; zero for none.
};

/// Which door a call came through.
enum class Door : std::uint8_t { Caller, Operator };

/// A call that was turned away before the core saw it.
struct ApiError
{
    unsigned status = 400;
    std::string reason;
};

/// Reads a call from a request, or says in one sentence, naming the field, what is wrong with it.
std::variant<CallerCall, ApiError> parseCall(const HttpRequest &request, Door door, const ApiLimits &limits);

/// Renders the core's answer.
HttpResponse renderReply(const CallerReply &reply);

/// Renders a call that was turned away: nothing of it has run.
HttpResponse renderError(const ApiError &error);

/// The headers of an answer with this outcome.
std::vector<HttpHeader> outcomeHeaders(const Outcome &outcome);

} // namespace cuminscale
