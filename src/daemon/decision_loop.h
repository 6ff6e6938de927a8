/// The thread that runs the core.
#pragma once

#include "adapters/asio_waker.h"
#include "daemon/outlet.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace cuminscale
{

/// Feeds the core with the events of all sources and routes its effects. While some duty is too far behind to take effects,
/// submissions are turned away at once.
class DecisionLoop
{
public:
    using Clock = std::function<TimePoint()>;

    /// The duties' rings; the ones that a role does not have stay empty.
    struct Routes
    {
        Outlet<Effect> *peers = nullptr;
        Outlet<Effect> *callers = nullptr;
        Outlet<Effect> *backend = nullptr;
        Outlet<Effect> *store = nullptr;
        Outlet<Effect> *telemetry = nullptr;
    };

    DecisionLoop(Core &core, Clock clock);
    ~DecisionLoop();

    DecisionLoop(const DecisionLoop &) = delete;
    DecisionLoop &operator=(const DecisionLoop &) = delete;

    /// Adds a thread that hands in events. Before start() only.
    EventOutlet &addSource(std::size_t ringCapacity);

    void setRoutes(const Routes &routes)
    {
        m_routes = routes;
    }

    /// Called on the loop's thread once the core has nothing left to do.
    void onStopped(std::function<void()> handler)
    {
        m_onStopped = std::move(handler);
    }

    void start();

    /// Ends the loop and waits for its thread.
    void stop();

private:
    void drain();
    void take(Event &&event);
    void tickLater();
    void route();
    Outlet<Effect> *outletFor(const Effect &effect) const;
    bool congested();

    Core &m_core;
    Clock m_clock;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    AsioWaker m_waker;
    boost::asio::steady_timer m_tick;
    std::vector<std::unique_ptr<EventOutlet>> m_sources;
    Routes m_routes;
    Effects m_effects;
    std::function<void()> m_onStopped;
    std::thread m_thread;
};

} // namespace cuminscale
