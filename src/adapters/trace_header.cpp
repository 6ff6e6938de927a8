#include "adapters/trace_header.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace cuminscale
{

namespace
{

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string renderSpanId(std::uint64_t span)
{
    std::array<char, 17> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(span));
    return std::string(buffer.data());
}

std::string renderTraceId(const TraceContext &context)
{
    return renderSpanId(context.traceHigh) + renderSpanId(context.traceLow);
}

std::string renderTraceparent(const TraceContext &context)
{
    return "00-" + renderTraceId(context) + "-" + renderSpanId(context.parentSpan) + (context.sampled ? "-01" : "-00");
}

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    // "00-", 32 digits of trace id, "-", 16 digits of parent id, "-", 2 digits of flags.
    constexpr std::size_t Length = 55;
    if (text.size() != Length || text.substr(0, 3) != "00-" || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> high = parseHex(text.substr(3, 16));
    const std::optional<std::uint64_t> low = parseHex(text.substr(19, 16));
    const std::optional<std::uint64_t> parent = parseHex(text.substr(36, 16));
    const std::optional<std::uint64_t> flags = parseHex(text.substr(53, 2));
    if (!high || !low || !parent || !flags || (*high == 0 && *low == 0) || *parent == 0) {
        return std::nullopt;
    }
    return TraceContext{*high, *low, *parent, (*flags & 1U) != 0};
}

} // namespace cuminscale
