/// Structured log on standard output. Rate-limited and non-blocking.
#pragma once

#include "ports/dispatch_ports.h"

#include <functional>
#include <string>

namespace cuminscale
{

/// Writes one line per decision with the time, level, event and key=value fields. Lines are buffered in memory until flush(),
/// which writes as much as standard output accepts without blocking. Lines beyond the rate limit or the size of the buffer are
/// dropped and their number is logged.
class EventLog : public dispatch::DecisionLog
{
public:
    /// Returns the Unix time in microseconds, for the timestamps.
    using WallClock = std::function<std::int64_t()>;

    /// Makes standard output non-blocking.
    EventLog(std::string process, LogLevel threshold, WallClock clock);
    ~EventLog() override;

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(LogLevel level, const char *event, const std::string &fields) override;

    /// Writes buffered lines, as far as standard output accepts them without blocking; the rest stays in the buffer.
    void flush();

    void setThreshold(LogLevel threshold) noexcept
    {
        m_threshold = threshold;
    }

    /// Lines dropped since the start of the process.
    std::uint64_t dropped() const noexcept
    {
        return m_droppedTotal;
    }

private:
    void append(LogLevel level, std::int64_t nowUs, const char *event, const std::string &fields);

    std::string m_process;
    LogLevel m_threshold;
    WallClock m_clock;
    std::string m_buffer;
    std::int64_t m_windowStartUs = 0;
    std::uint32_t m_linesInWindow = 0;
    std::uint64_t m_dropped = 0; ///< Lines dropped in the current one-second window; logged once the next one begins.
    std::uint64_t m_droppedTotal = 0;
};

/// Parses "debug", "info", "warning" or "error"; info for anything else.
LogLevel parseLogLevel(std::string_view name) noexcept;

} // namespace cuminscale
