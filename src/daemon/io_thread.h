/// A thread for one kind of I/O.
#pragma once

#include "adapters/asio_waker.h"
#include "daemon/buffered_ring.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace cuminscale
{

/// A thread that runs an io_context and carries out the effects that the decision thread queues for it.
class IoThread
{
public:
    /// `onEffect` is called on the thread for each effect.
    IoThread(std::size_t ringCapacity, std::function<void(Effect &&)> onEffect);
    ~IoThread();

    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    boost::asio::io_context &context() noexcept
    {
        return m_context;
    }

    /// Queue of effects; the decision thread is its producer.
    BufferedRing<Effect> &effects() noexcept
    {
        return m_effects;
    }

    void start();

    /// Stops the io_context and joins the thread.
    void stop();

private:
    void drain();

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    AsioWaker m_waker;
    BufferedRing<Effect> m_effects;
    std::function<void(Effect &&)> m_onEffect;
    std::thread m_thread;
};

} // namespace cuminscale
