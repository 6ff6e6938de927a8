/// The producer's end of a ring.
#pragma once

#include "adapters/ring.h"
#include "ports/ports.h"

#include <deque>

namespace cuminscale
{

/// A ring whose producer never blocks and never loses a value: what does not fit waits here, in order, until flush().
template <typename T>
class Outlet
{
public:
    Outlet(std::size_t capacity, Waker &consumer)
        : m_ring(capacity, consumer)
    { }

    /// Hands a value over if the ring has room; false otherwise.
    bool offer(T &value)
    {
        return flush() && m_ring.push(value);
    }

    /// Hands a value over, or holds it back.
    void deliver(T &&value)
    {
        if (!offer(value)) {
            m_held.push_back(std::move(value));
        }
    }

    /// Moves on what was held back; true when nothing is any more.
    bool flush()
    {
        while (!m_held.empty() && m_ring.push(m_held.front())) {
            m_held.pop_front();
        }
        return m_held.empty();
    }

    Ring<T> &ring() noexcept
    {
        return m_ring;
    }

private:
    Ring<T> m_ring;
    std::deque<T> m_held;
};

/// Hands events to the decision thread.
class EventOutlet : public EventSink
{
public:
    EventOutlet(std::size_t capacity, Waker &decisions)
        : m_outlet(capacity, decisions)
    { }

    bool offer(Event &event) override
    {
        return m_outlet.offer(event);
    }

    void deliver(Event &&event) override
    {
        m_outlet.deliver(std::move(event));
    }

    /// Moves on what was held back.
    bool flush()
    {
        return m_outlet.flush();
    }

    Ring<Event> &ring() noexcept
    {
        return m_outlet.ring();
    }

private:
    Outlet<Event> m_outlet;
};

} // namespace cuminscale
