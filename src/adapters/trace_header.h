/// Renders and parses the `traceparent` header of W3C Trace Context.
#pragma once

#include "core/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// Renders a header value of version 00.
std::string renderTraceparent(const TraceContext &context);

/// Parses a header value. Returns nullopt if it is malformed, or if the trace id or the parent id is zero, which W3C Trace
/// Context Level 1 declares invalid.
std::optional<TraceContext> parseTraceparent(std::string_view text);

/// Renders the trace id as 32 hexadecimal digits.
std::string renderTraceId(const TraceContext &context);

/// Renders a span id as 16 hexadecimal digits.
std::string renderSpanId(std::uint64_t span);

} // namespace cuminscale
