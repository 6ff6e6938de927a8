/// The thread that runs the decision core.
#pragma once

#include "adapters/asio_waker.h"
#include "daemon/buffered_ring.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace cuminscale
{

/// Passes the events of all sources to the core, and the core's effects to the threads that carry them out. While the queue of
/// effects for peers, callers or the backend server overflows, new submissions are refused without calling the core.
class DecisionLoop
{
public:
    using Clock = std::function<TimePoint()>;

    /// Queues of the threads that carry out effects; null for those that the role does not have.
    struct Routes
    {
        BufferedRing<Effect> *peers = nullptr;
        BufferedRing<Effect> *callers = nullptr;
        BufferedRing<Effect> *backend = nullptr;
        BufferedRing<Effect> *store = nullptr;
        BufferedRing<Effect> *telemetry = nullptr;
    };

    DecisionLoop(Core &core, Clock clock);
    ~DecisionLoop();

    DecisionLoop(const DecisionLoop &) = delete;
    DecisionLoop &operator=(const DecisionLoop &) = delete;

    /// Creates the queue for one thread that produces events. Must be called before start().
    EventQueue &addSource(std::size_t ringCapacity);

    void setRoutes(const Routes &routes)
    {
        m_routes = routes;
    }

    /// Sets the handler that is called on the loop's thread once the core has finished its shutdown.
    void onStopped(std::function<void()> handler)
    {
        m_onStopped = std::move(handler);
    }

    void start();

    /// Stops the loop and joins its thread.
    void stop();

private:
    void drain();
    void handleEvent(Event &&event);
    void scheduleTick();
    void routeEffects();
    BufferedRing<Effect> *queueFor(const Effect &effect) const;
    /// Flushes the overflow buffers of the queues to peers, callers and backend, in this order. Stops and returns true at the
    /// first one that still does not fit into its ring.
    bool flushAndCheckCongestion();

    Core &m_core;
    Clock m_clock;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    AsioWaker m_waker;
    boost::asio::steady_timer m_tickTimer;
    std::vector<std::unique_ptr<EventQueue>> m_sources;
    Routes m_routes;
    Effects m_effects;
    std::function<void()> m_onStopped;
    std::thread m_thread;
};

} // namespace cuminscale
