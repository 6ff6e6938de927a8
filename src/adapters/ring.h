/// Bounded queues between threads. The producer wakes the consumer, so the consumer does not have to poll.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <memory>

namespace cuminscale
{

/// Wakes the consumer thread of a ring. wake() may be called from any thread.
class Waker
{
public:
    virtual ~Waker() = default;

    virtual void wake() = 0;
};

/// Bounded lock-free queue (ring buffer) for one producer thread and one consumer thread.
template <typename T>
class Ring
{
public:
    Ring(std::size_t capacity, Waker &consumer)
        : m_queue(capacity)
        , m_consumer(consumer)
    { }

    ~Ring()
    {
        drain([](T &&) {}, m_queue.read_available());
    }

    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    /// Appends a value and wakes the consumer. If the ring is full, returns false and leaves the value unchanged.
    bool push(T &value)
    {
        std::unique_ptr<T> owned = std::make_unique<T>(std::move(value));
        if (!m_queue.push(owned.get())) {
            value = std::move(*owned);
            return false;
        }
        owned.release();
        m_consumer.wake();
        return true;
    }

    /// Removes up to `maxCount` values and passes each to `consume`. Returns the number of values removed.
    template <typename Consume>
    std::size_t drain(Consume &&consume, std::size_t maxCount)
    {
        std::size_t n = 0;
        T *popped = nullptr;
        while (n < maxCount && m_queue.pop(popped)) {
            const std::unique_ptr<T> owned(popped);
            consume(std::move(*owned));
            ++n;
        }
        return n;
    }

    bool empty() const
    {
        return m_queue.read_available() == 0;
    }

private:
    boost::lockfree::spsc_queue<T *> m_queue;
    Waker &m_consumer;
};

} // namespace cuminscale
