#include "adapters/event_log.h"

#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace cuminscale
{

namespace
{

/// Limit for lines below the error level. An entry logs one line per finished job, about 50 per second.
constexpr std::uint32_t MaxLinesPerSecond = 300;
constexpr std::size_t MaxBufferedBytes = 256U << 10U;
constexpr std::int64_t WindowUs = 1'000'000;
constexpr std::array<const char *, 4> LevelNames = {"debug", "info", "warning", "error"};

} // namespace

LogLevel parseLogLevel(std::string_view name) noexcept
{
    for (std::size_t i = 0; i < LevelNames.size(); ++i) {
        if (name == LevelNames[i]) {
            return static_cast<LogLevel>(i);
        }
    }
    return LogLevel::Info;
}

EventLog::EventLog(std::string process, LogLevel threshold, WallClock clock)
    : m_process(std::move(process))
    , m_threshold(threshold)
    , m_clock(std::move(clock))
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

EventLog::~EventLog()
{
    flush();
}

void EventLog::write(LogLevel level, const char *event, const std::string &fields)
{
    if (level < m_threshold) {
        return;
    }
    const std::int64_t nowUs = m_clock();
    if (nowUs - m_windowStartUs >= WindowUs || nowUs < m_windowStartUs) {
        const std::uint64_t dropped = m_dropped;
        m_windowStartUs = nowUs;
        m_linesInWindow = 0;
        m_dropped = 0;
        if (dropped > 0) {
            append(LogLevel::Warning, nowUs, "lines-dropped", "count=" + std::to_string(dropped));
        }
    }
    const bool overRate = level < LogLevel::Error && ++m_linesInWindow > MaxLinesPerSecond;
    if (overRate || m_buffer.size() + fields.size() > MaxBufferedBytes) {
        ++m_dropped;
        ++m_droppedTotal;
        return;
    }
    append(level, nowUs, event, fields);
}

void EventLog::append(LogLevel level, std::int64_t nowUs, const char *event, const std::string &fields)
{
    m_buffer += "time_us=" + std::to_string(nowUs) + " level=" + LevelNames[static_cast<std::size_t>(level)]
        + " process=" + m_process + " event=" + event;
    if (!fields.empty()) {
        m_buffer += ' ';
        m_buffer += fields;
    }
    m_buffer += '\n';
}

void EventLog::flush()
{
    if (m_buffer.empty()) {
        return;
    }
    const ssize_t n = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
    if (n > 0) {
        m_buffer.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace cuminscale
