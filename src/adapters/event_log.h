/// Structured log lines on standard output, bounded in rate and never waited for.
#pragma once

#include "ports/dispatch_ports.h"

#include <functional>
#include <string>

namespace cuminscale
{

/// One line a decision: time, level, event, key=value fields. Lines are kept in memory until flush(), which writes what the
/// reader takes at once. Beyond the bounds lines are dropped and their number is logged.
class EventLog : public dispatch::DecisionLog
{
public:
    /// Microseconds since 1970, for the stamp.
    using WallClock = std::function<std::int64_t()>;

    EventLog(std::string process, LogLevel threshold, WallClock clock);
    ~EventLog() override;

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(LogLevel level, const char *event, const std::string &fields) override;

    /// Writes what is kept, as far as standard output takes it without waiting.
    void flush();

    void setThreshold(LogLevel threshold) noexcept
    {
        m_threshold = threshold;
    }

    std::uint64_t dropped() const noexcept
    {
        return m_droppedInAll;
    }

private:
    void append(LogLevel level, std::int64_t nowUs, const char *event, const std::string &fields);

    std::string m_process;
    LogLevel m_threshold;
    WallClock m_clock;
    std::string m_buf;
    std::int64_t m_windowUs = 0;
    std::uint32_t m_linesInWindow = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedInAll = 0;
};

/// Parses "debug", "info", "warning" or "error"; info for anything else.
LogLevel parseLogLevel(std::string_view name) noexcept;

} // namespace cuminscale
