#include "adapters/telemetry.h"

#include "adapters/trace_header.h"

#include <boost/json.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace cuminscale
{

namespace logging = boost::log;
namespace json = boost::json;

namespace
{

/// Limit for lines below the error level; further ones are counted and dropped.
constexpr std::uint32_t MaxLinesPerSecond = 200;

const char *levelName(LogLevel level)
{
    constexpr const char *Names[] = {"debug", "info", "warning", "error"};
    return Names[static_cast<std::size_t>(level)];
}

LogLevel parseLevel(const std::string &name)
{
    for (const LogLevel level : {LogLevel::Debug, LogLevel::Info, LogLevel::Warning}) {
        if (name == levelName(level)) {
            return level;
        }
    }
    return LogLevel::Error;
}

std::atomic<LogLevel> threshold = LogLevel::Info;

std::string unixNanos(TimePoint when)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(when.time_since_epoch()).count());
}

json::object renderSpan(const Span &span)
{
    const json::object outcome{{"key", "outcome"}, {"value", json::object{{"stringValue", span.outcome}}}};
    const json::object process{{"key", "process"}, {"value", json::object{{"stringValue", span.process}}}};
    return json::object{{"traceId", renderTraceId(span.context)},
                        {"spanId", renderSpanId(span.spanId)},
                        {"parentSpanId", span.context.parentSpan == 0 ? std::string() : renderSpanId(span.context.parentSpan)},
                        {"name", span.name},
                        {"startTimeUnixNano", unixNanos(span.start)},
                        {"endTimeUnixNano", unixNanos(span.end)},
                        {"attributes", json::array{process, outcome}}};
}

} // namespace

void SpanStore::add(Span span)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_spans.push_back(std::move(span));
    while (m_spans.size() > m_capacity) {
        m_spans.pop_front();
    }
}

std::string SpanStore::renderTrace(const std::string &traceId) const
{
    json::array spans;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const Span &span : m_spans) {
            if (renderTraceId(span.context) == traceId) {
                spans.push_back(renderSpan(span));
            }
        }
    }
    const json::object service{{"key", "service.name"}, {"value", json::object{{"stringValue", "cuminscale"}}}};
    const json::object scope{{"scope", json::object{{"name", "cuminscale"}}}, {"spans", std::move(spans)}};
    const json::object resource{{"resource", json::object{{"attributes", json::array{service}}}},
                                {"scopeSpans", json::array{scope}}};
    return json::serialize(json::object{{"resourceSpans", json::array{resource}}}) + "\n";
}

void initLogging(const std::string &level)
{
    threshold = parseLevel(level);
    logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    logging::add_console_log(
        std::clog,
        logging::keywords::format = logging::expressions::stream
            << logging::expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ ")
            << logging::expressions::smessage,
        logging::keywords::auto_flush = true);
}

void writeLogLine(LogLevel level, const char *component, const std::string &text)
{
    if (level < threshold.load()) {
        return;
    }
    logging::sources::logger_mt logger;
    BOOST_LOG(logger) << levelName(level) << " " << component << ": " << text;
}

void Telemetry::log(const effect::LogLine &line)
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        if (m_suppressed > 0) {
            writeLogLine(LogLevel::Warning, "telemetry",
                         std::to_string(m_suppressed) + " log lines were suppressed by the rate limit.");
        }
        m_windowStart = now;
        m_linesInWindow = 0;
        m_suppressed = 0;
    }
    if (line.level < LogLevel::Error && ++m_linesInWindow > MaxLinesPerSecond) {
        ++m_suppressed;
        return;
    }
    writeLogLine(line.level, line.component, line.text);
}

void Telemetry::span(effect::SpanEnded &&span)
{
    m_spans.add(std::move(span.span));
}

} // namespace cuminscale
