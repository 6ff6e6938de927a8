/// The W3C traceparent header.
#pragma once

#include "core/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace cuminscale
{

/// Renders a context as a traceparent value of version 00.
std::string renderTraceparent(const TraceContext &context);

/// Parses a traceparent value; nothing when it is malformed or all zero, as W3C Trace Context level 1 asks.
std::optional<TraceContext> parseTraceparent(std::string_view text);

/// Renders the trace's id as 32 hexadecimal digits.
std::string renderTraceId(const TraceContext &context);

/// Renders a span's id as 16 hexadecimal digits.
std::string renderSpanId(std::uint64_t span);

} // namespace cuminscale
