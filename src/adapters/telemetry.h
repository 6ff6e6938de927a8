/// Writes logs through Boost.Log and keeps recent trace spans in memory.
#pragma once

#include "ports/ports.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <string>

namespace cuminscale
{

/// The most recent spans of this process and of the submissions that it answered; the oldest are evicted. Written by the
/// telemetry thread, read by the HTTP thread.
class SpanStore
{
public:
    explicit SpanStore(std::size_t capacity)
        : m_capacity(capacity)
    { }

    void add(Span span);

    /// Renders the spans of one trace as OTLP/JSON; the list of spans is empty if the trace is unknown.
    std::string renderTrace(const std::string &traceId) const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::deque<Span> m_spans;
};

/// Configures the process-wide log; must be called once. Lines go to standard error in the form "time level component: text".
void initLogging(const std::string &level);

/// Writes one line synchronously and without a rate limit. Meant for Telemetry, and for start-up and shutdown, while the
/// other threads do not run.
void writeLogLine(LogLevel level, const char *component, const std::string &text);

/// Writes log lines and stores spans. Lines below the error level are limited in rate; suppressed lines are counted and their
/// number is logged.
class Telemetry : public TelemetryPort
{
public:
    explicit Telemetry(SpanStore &spans)
        : m_spans(spans)
    { }

    void log(const effect::LogLine &line) override;
    void span(effect::SpanEnded &&span) override;

private:
    SpanStore &m_spans;
    std::chrono::steady_clock::time_point m_windowStart;
    std::uint32_t m_linesInWindow = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace cuminscale
