#include "daemon/io_thread.h"

namespace cuminscale
{

namespace
{

/// Effects handled in a row before other handlers of the io_context may run.
constexpr std::size_t MaxEffectBatch = 128;

} // namespace

IoThread::IoThread(std::size_t ringCapacity, std::function<void(Effect &&)> onEffect)
    : m_context(1)
    , m_work(m_context.get_executor())
    , m_waker(m_context, [this]() { drain(); })
    , m_effects(ringCapacity, m_waker)
    , m_onEffect(std::move(onEffect))
{ }

IoThread::~IoThread()
{
    stop();
}

void IoThread::drain()
{
    m_effects.ring().drain(m_onEffect, MaxEffectBatch);
    if (!m_effects.ring().empty()) {
        m_waker.wake();
    }
}

void IoThread::start()
{
    m_thread = std::thread([this]() { m_context.run(); });
}

void IoThread::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace cuminscale
