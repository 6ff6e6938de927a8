/// Logs by Boost.Log, and a bounded store of spans.
#pragma once

#include "ports/ports.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <string>

namespace cuminscale
{

/// The last spans of this process and of the submissions it answered; written by the telemetry thread, read by the HTTP
/// thread.
class SpanStore
{
public:
    explicit SpanStore(std::size_t keep)
        : m_keep(keep)
    { }

    void add(Span span);

    /// The spans of one trace in OTLP/JSON; no spans when the trace is not known.
    std::string renderTrace(const std::string &traceId) const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_keep;
    std::deque<Span> m_spans;
};

/// Sets the log up once for the process: one line each, "time level part: text", on standard error.
void startLog(const std::string &level);

/// Writes one line at once, for what happens before and after the threads run.
void logNow(LogLevel level, const char *part, const std::string &text);

/// Writes log lines, at most so many a second of each part below the level of errors, and keeps spans.
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
    std::chrono::steady_clock::time_point m_window;
    std::uint32_t m_linesInWindow = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace cuminscale
