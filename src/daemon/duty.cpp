#include "daemon/duty.h"

namespace cuminscale
{

namespace
{

/// Effects taken before the duty's other work has its turn.
constexpr std::size_t Burst = 128;

} // namespace

Duty::Duty(std::size_t ringCapacity, std::function<void(Effect &&)> onEffect)
    : m_context(1)
    , m_work(m_context.get_executor())
    , m_waker(m_context, [this]() { drain(); })
    , m_effects(ringCapacity, m_waker)
    , m_onEffect(std::move(onEffect))
{ }

Duty::~Duty()
{
    stop();
}

void Duty::drain()
{
    m_effects.ring().drain(m_onEffect, Burst);
    if (!m_effects.ring().empty()) {
        m_waker.wake();
    }
}

void Duty::start()
{
    m_thread = std::thread([this]() { m_context.run(); });
}

void Duty::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace cuminscale
