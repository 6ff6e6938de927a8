/// Helpers to create trace spans.
#pragma once

#include "core/step.h"

namespace cuminscale
{

/// The context to propagate to the next hop: the same trace, with the given span as parent.
inline TraceContext childContext(const TraceContext &context, std::uint64_t spanId)
{
    TraceContext child = context;
    child.parentSpan = spanId;
    return child;
}

/// Creates a span of this process that ends now.
inline Span makeSpan(const Step &step, const TraceContext &context, std::uint64_t spanId, std::string name, TimePoint start,
                     std::string outcome)
{
    return Span{context, spanId, std::move(name), toString(step.self()), start, step.now(), std::move(outcome)};
}

} // namespace cuminscale
