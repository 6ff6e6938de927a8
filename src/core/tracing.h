/// Building spans.
#pragma once

#include "core/step.h"

namespace cuminscale
{

/// The context that a hop passes on: the same trace, with the hop's own span as parent.
inline TraceContext childOf(const TraceContext &context, std::uint64_t spanId)
{
    TraceContext child = context;
    child.parentSpan = spanId;
    return child;
}

/// A span of this process that has just ended.
inline Span endedSpan(const Step &step, const TraceContext &context, std::uint64_t spanId, std::string name, TimePoint start,
                      std::string outcome)
{
    return Span{context, spanId, std::move(name), toString(step.self()), start, step.now(), std::move(outcome)};
}

} // namespace cuminscale
