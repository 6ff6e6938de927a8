#include "adapters/asio_waker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace cuminscale
{

AsioWaker::AsioWaker(boost::asio::io_context &context, std::function<void()> handler)
    : m_context(context)
    , m_handler(std::move(handler))
{ }

void AsioWaker::wake()
{
    if (m_scheduled.exchange(true)) {
        return;
    }
    boost::asio::post(m_context, [this]() {
        // Cleared before the handler drains the rings, so that a value pushed while it runs schedules another run.
        m_scheduled.store(false);
        m_handler();
    });
}

} // namespace cuminscale
