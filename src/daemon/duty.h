/// A thread for one duty.
#pragma once

#include "adapters/asio_waker.h"
#include "daemon/outlet.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace cuminscale
{

/// A thread that runs an io_context and is handed effects by the decision thread.
class Duty
{
public:
    Duty(std::size_t ringCapacity, std::function<void(Effect &&)> onEffect);
    ~Duty();

    Duty(const Duty &) = delete;
    Duty &operator=(const Duty &) = delete;

    boost::asio::io_context &context() noexcept
    {
        return m_context;
    }

    /// Where the decision thread puts effects.
    Outlet<Effect> &effects() noexcept
    {
        return m_effects;
    }

    void start();

    /// Ends the io_context and waits for the thread.
    void stop();

private:
    void drain();

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    AsioWaker m_waker;
    Outlet<Effect> m_effects;
    std::function<void(Effect &&)> m_onEffect;
    std::thread m_thread;
};

} // namespace cuminscale
