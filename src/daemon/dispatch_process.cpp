#include "daemon/dispatch_process.h"

#include "daemon/agent_process.h"
#include "daemon/entry_process.h"
#include "daemon/metrics_text.h"

#include <csignal>
#include <ctime>
#include <fstream>
#include <random>
#include <sstream>

namespace cuminscale
{

namespace
{

/// Resolution of task expiry and of failure detection. It must be well below 90 ms, about the longest queueing delay that the
/// shortest latency objective permits.
constexpr Duration TickInterval = milliseconds(15);
constexpr Duration LogFlushInterval = milliseconds(100);
/// Polled because the platform may change the settings file without sending SIGHUP.
constexpr Duration SettingsCheckInterval = seconds(2);
/// An incarnation is the wall-clock time in milliseconds followed by this many random bits.
constexpr unsigned RandomBits = 12;

std::int64_t wallClockUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Incarnation makeIncarnation()
{
    std::random_device device;
    const std::uint64_t ms = static_cast<std::uint64_t>(wallClockUs() / 1000);
    return Incarnation((ms << RandomBits) | (device() & ((1U << RandomBits) - 1)));
}

} // namespace

SettingsWatcher::SettingsWatcher(std::string path)
    : m_path(std::move(path))
{
    readIfChanged();
}

std::optional<std::string> SettingsWatcher::readIfChanged()
{
    std::ifstream file(m_path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || text.str() == m_text) {
        return std::nullopt;
    }
    m_text = text.str();
    return m_text;
}

DispatchProcess::DispatchProcess(DispatchSettings settings, std::string settingsPath)
    : m_settings(std::move(settings))
    , m_context(1)
    , m_log(m_settings.node, parseLogLevel(m_settings.logLevel), wallClockUs)
    , m_self{m_settings.peerListen, makeIncarnation()}
    , m_settingsWatcher(std::move(settingsPath))
    , m_tickTimer(m_context)
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
{ }

TimePoint DispatchProcess::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

void DispatchProcess::openLink()
{
    m_link = std::make_unique<ZmqLink>(m_context, m_settings.peerListen, [this](const dispatch::Envelope &envelope) {
        runHandler("peer-message", [this, &envelope]() { onPeerMessage(envelope); });
    });
    m_self.endpoint = m_settings.peerAdvertise == Endpoint() ? m_link->endpoint() : m_settings.peerAdvertise;
    m_metricsServer = std::make_unique<HttpServer>(m_context, m_settings.metricsListen, httpLimits(),
                                                   [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                                                       HttpResponse response;
                                                       response.status = request.target == "/metrics" ? 200 : 404;
                                                       response.contentType = "text/plain; version=0.0.4";
                                                       response.body = response.status == 200
                                                           ? renderMetrics(now()) + renderCommonMetrics()
                                                           : "";
                                                       exchange->respond(std::move(response));
                                                   });
}

std::string DispatchProcess::renderCommonMetrics() const
{
    const ZmqLink::Counters &counters = m_link->counters();
    MetricsText metrics;
    metrics.add("peer_messages_sent", counters.sent);
    metrics.add("peer_bytes_sent", counters.bytesSent);
    metrics.add("peer_messages_received", counters.received);
    metrics.add("peer_bytes_received", counters.bytesReceived);
    metrics.add("peer_messages_malformed", counters.malformed);
    metrics.add("peer_messages_dropped", counters.dropped);
    metrics.add("log_lines_dropped", m_log.dropped());
    metrics.add("timer_lag_seconds", m_timerLag);
    return metrics.text();
}

void DispatchProcess::runHandler(const char *name, const std::function<void()> &handler)
{
    try {
        handler();
    } catch (const std::exception &e) {
        m_log.write(LogLevel::Error, "handler-failed", std::string("handler=") + name + " error=\"" + e.what() + "\"");
    }
}

HttpLimits DispatchProcess::httpLimits()
{
    HttpLimits limits;
    limits.onError = [this](const std::string &error) {
        m_log.write(LogLevel::Error, "handler-failed", "handler=http error=\"" + error + "\"");
    };
    return limits;
}

void DispatchProcess::run()
{
    m_log.write(LogLevel::Info, "start",
                "incarnation=" + std::to_string(m_self.incarnation.value()) + " peer=" + toString(m_self.endpoint)
                    + " domain=" + m_settings.domain + " entries=" + std::to_string(m_settings.entries.size()));
    for (const std::string &warning : m_settings.warnings) {
        m_log.write(LogLevel::Warning, "setting-ignored", "reason=\"" + warning + "\"");
    }
    m_link->start();
    waitForSignals();
    scheduleTick();
    m_context.run();
    onStopped();
    m_log.write(LogLevel::Info, "stop", "");
    m_log.flush();
}

void DispatchProcess::scheduleTick()
{
    m_tickTimer.expires_after(TickInterval);
    const TimePoint due = now() + TickInterval;
    m_tickTimer.async_wait([this, due](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        const TimePoint time = now();
        const Duration lag = std::max(time - due, Duration(0));
        m_timerLag.record(lag);
        runHandler("tick", [this, time, lag]() { onTick(time, lag); });
        if (time - m_logFlushedAt >= LogFlushInterval) {
            m_logFlushedAt = time;
            m_log.flush();
        }
        if (time - m_settingsCheckedAt >= SettingsCheckInterval) {
            m_settingsCheckedAt = time;
            reload();
        }
        if (m_shutdownRequestedAt != TimePoint() && shutdownDone(time)) {
            m_context.stop();
            return;
        }
        scheduleTick();
    });
}

void DispatchProcess::waitForSignals()
{
    m_signals.async_wait([this](boost::system::error_code ec, int signal) {
        if (ec) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else if (m_shutdownRequestedAt == TimePoint()) {
            m_shutdownRequestedAt = now();
            m_log.write(LogLevel::Info, "shutdown-asked", "signal=" + std::to_string(signal));
            onShutdownRequested(m_shutdownRequestedAt);
        }
        waitForSignals();
    });
}

void DispatchProcess::reload()
{
    const std::optional<std::string> text = m_settingsWatcher.readIfChanged();
    if (!text) {
        return;
    }
    SettingsError error;
    const std::optional<DispatchSettings> settings = parseDispatchSettings(*text, error);
    if (!settings) {
        m_log.write(LogLevel::Error, "reload-refused", "key=" + error.key + " reason=\"" + error.reason + "\"");
        return;
    }
    m_log.write(LogLevel::Info, "reload", "entries=" + std::to_string(settings->entries.size()));
    m_log.setThreshold(parseLogLevel(settings->logLevel));
    onSettings(*settings);
}

std::unique_ptr<DispatchProcess> makeDispatchProcess(const DispatchSettings &settings, const std::string &settingsPath)
{
    if (settings.role == Role::Entry) {
        return std::make_unique<EntryProcess>(settings, settingsPath);
    }
    return std::make_unique<AgentProcess>(settings, settingsPath);
}

} // namespace cuminscale
