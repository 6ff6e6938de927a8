/// Common base of the entry and agent processes of the dispatch service: timers, signals, log, metrics and settings.
#pragma once

#include "adapters/event_log.h"
#include "adapters/http_server.h"
#include "adapters/zmq_link.h"
#include "core/dispatch/latency_histogram.h"
#include "daemon/dispatch_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace cuminscale
{

/// Detects changes of the settings file by its content.
class SettingsWatcher
{
public:
    explicit SettingsWatcher(std::string path);

    /// Reads the file; returns its text if it differs from the text read last. Returns nullopt if the file can't be read.
    std::optional<std::string> readIfChanged();

private:
    std::string m_path;
    std::string m_text;
};

/// A single-threaded process: all handlers run on one io_context.
class DispatchProcess
{
public:
    DispatchProcess(DispatchSettings settings, std::string settingsPath);
    virtual ~DispatchProcess() = default;

    DispatchProcess(const DispatchProcess &) = delete;
    DispatchProcess &operator=(const DispatchProcess &) = delete;

    /// Runs until a shutdown requested by a signal is complete.
    void run();

protected:
    /// Monotonic time that includes time spent suspended (CLOCK_BOOTTIME), so that after a resume the process sees that its
    /// leases and deadlines have passed.
    static TimePoint now();

    /// `lag` is how late the timer fired.
    virtual void onTick(TimePoint now, Duration lag) = 0;
    virtual void onPeerMessage(const dispatch::Envelope &envelope) = 0;
    virtual void onShutdownRequested(TimePoint now) = 0;
    /// Whether the process may exit: it has no unfinished work, or the grace period is about to end. Called with each tick after
    /// a shutdown has been requested.
    virtual bool shutdownDone(TimePoint now) = 0;
    /// Called with the new settings when the settings file has changed.
    virtual void onSettings(const DispatchSettings &settings) = 0;
    virtual std::string renderMetrics(TimePoint now) const = 0;
    /// Called after the io_context has stopped, before the final log line.
    virtual void onStopped() { }

    /// Binds the peer socket and the metrics address. Constructors of derived classes call it before they create their dispatch
    /// core, which needs m_link and m_self.
    void openLink();

    DispatchSettings m_settings;
    boost::asio::io_context m_context;
    EventLog m_log;
    ProcessId m_self;
    std::unique_ptr<ZmqLink> m_link;
    TimePoint m_shutdownRequestedAt; ///< Zero while no shutdown has been requested.

    /// Runs a handler. An exception is logged and ends only this handler, not the process.
    void runHandler(const char *name, const std::function<void()> &handler);

    /// The limits of a server, with its handlers' errors going to the log.
    HttpLimits httpLimits();

private:
    void scheduleTick();
    void waitForSignals();
    void reload();
    /// Metrics that entries and agents share.
    std::string renderCommonMetrics() const;

    SettingsWatcher m_settingsWatcher;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::signal_set m_signals;
    std::unique_ptr<HttpServer> m_metricsServer;
    dispatch::LatencyHistogram m_timerLag;
    TimePoint m_settingsCheckedAt;
    TimePoint m_logFlushedAt;
};

/// Creates the process for the role in the settings.
std::unique_ptr<DispatchProcess> makeDispatchProcess(const DispatchSettings &settings, const std::string &settingsPath);

} // namespace cuminscale
