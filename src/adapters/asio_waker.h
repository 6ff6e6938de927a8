/// Waker for a thread that runs an io_context.
#pragma once

#include "adapters/ring.h"

#include <atomic>
#include <functional>

namespace boost::asio
{
class io_context;
}

namespace cuminscale
{

/// Posts a handler to an io_context. Wake-ups before the handler starts to run are coalesced into one run.
class AsioWaker : public Waker
{
public:
    AsioWaker(boost::asio::io_context &context, std::function<void()> handler);

    void wake() override;

private:
    boost::asio::io_context &m_context;
    std::function<void()> m_handler;
    std::atomic<bool> m_scheduled = false;
};

} // namespace cuminscale
