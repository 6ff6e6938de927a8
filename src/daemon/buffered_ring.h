/// Queues between threads that never block the producer and never drop a value.
#pragma once

#include "adapters/ring.h"
#include "ports/ports.h"

#include <deque>

namespace cuminscale
{

/// A bounded ring with an unbounded overflow buffer at the producer's end. Values that do not fit into the ring stay in the
/// overflow buffer, in order, until flush() moves them. All functions are for the producer thread, except Ring::drain() and
/// Ring::empty() of ring().
template <typename T>
class BufferedRing
{
public:
    BufferedRing(std::size_t capacity, Waker &consumer)
        : m_ring(capacity, consumer)
    { }

    /// Adds a value if the ring has room and the overflow buffer is empty; otherwise returns false and leaves the value
    /// unchanged.
    bool offer(T &value)
    {
        return flush() && m_ring.push(value);
    }

    /// Adds a value to the ring, or to the overflow buffer if the ring is full.
    void deliver(T &&value)
    {
        if (!offer(value)) {
            m_overflow.push_back(std::move(value));
        }
    }

    /// Moves values from the overflow buffer to the ring; returns whether the overflow buffer is empty now.
    bool flush()
    {
        while (!m_overflow.empty() && m_ring.push(m_overflow.front())) {
            m_overflow.pop_front();
        }
        return m_overflow.empty();
    }

    Ring<T> &ring() noexcept
    {
        return m_ring;
    }

private:
    Ring<T> m_ring;
    std::deque<T> m_overflow;
};

/// Queue of events from one producer thread to the decision thread.
class EventQueue : public EventSink
{
public:
    EventQueue(std::size_t capacity, Waker &decisions)
        : m_queue(capacity, decisions)
    { }

    bool offer(Event &event) override
    {
        return m_queue.offer(event);
    }

    void deliver(Event &&event) override
    {
        m_queue.deliver(std::move(event));
    }

    /// See BufferedRing::flush().
    bool flush()
    {
        return m_queue.flush();
    }

    Ring<Event> &ring() noexcept
    {
        return m_queue.ring();
    }

private:
    BufferedRing<Event> m_queue;
};

} // namespace cuminscale
