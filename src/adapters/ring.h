/// Bounded rings between threads, with a wake-up instead of a spin.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <memory>

namespace cuminscale
{

/// Wakes the thread that consumes a ring. Safe to call from any thread.
class Waker
{
public:
    virtual ~Waker() = default;

    virtual void wake() = 0;
};

/// A bounded ring from one producer thread to one consumer thread.
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

    /// Hands a value over; leaves it with the caller and returns false when the ring is full.
    bool push(T &value)
    {
        std::unique_ptr<T> held = std::make_unique<T>(std::move(value));
        if (!m_queue.push(held.get())) {
            value = std::move(*held);
            return false;
        }
        held.release();
        m_consumer.wake();
        return true;
    }

    /// Takes at most `most` values and hands each to `consume`. Returns how many.
    template <typename Consume>
    std::size_t drain(Consume &&consume, std::size_t most)
    {
        std::size_t n = 0;
        T *taken = nullptr;
        while (n < most && m_queue.pop(taken)) {
            const std::unique_ptr<T> held(taken);
            consume(std::move(*held));
            ++n;
        }
        return n;
    }

    /// Whether a consumer would find something.
    bool empty() const
    {
        return m_queue.read_available() == 0;
    }

private:
    boost::lockfree::spsc_queue<T *> m_queue;
    Waker &m_consumer;
};

} // namespace cuminscale
