/// Messages between processes over ZeroMQ.
#pragma once

#include "adapters/ring.h"
#include "ports/ports.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>

namespace cuminscale
{

/// Messages and bytes of one direction and class, counted on the peer thread and read from any.
struct Traffic
{
    std::atomic<std::uint64_t> messages = 0;
    std::atomic<std::uint64_t> bytes = 0;
};

/// All that a process exchanges with its peers. Control is what keeps the system together; work is the rest.
struct TrafficCounters
{
    Traffic controlSent;
    Traffic controlReceived;
    Traffic workSent;
    Traffic workReceived;
};

/// One ROUTER socket for what comes in, and one DEALER for each peer that is sent to. Runs on its own thread through run().
class ZmqPeers : public PeerPort
{
public:
    using Clock = std::function<TimePoint()>;

    /// Binds at once; throws zmq::error_t when the address can't be had.
    ZmqPeers(const Endpoint &listen, Clock clock);
    ~ZmqPeers() override;

    ZmqPeers(const ZmqPeers &) = delete;
    ZmqPeers &operator=(const ZmqPeers &) = delete;

    /// Where it listens, with the port that the system picked.
    Endpoint endpoint() const;

    /// The process that all messages come from. Set before run().
    void setSelf(const ProcessId &self);

    void send(effect::SendPeer &&message) override;
    void replace(const effect::ReplaceConnection &connection) override;
    void forget(const effect::ForgetConnection &connection) override;

    /// Wakes run() to look for effects. Safe from any thread.
    Waker &waker() noexcept;

    /// Receives into the sink and calls `onWake` whenever woken, until stop().
    void run(EventSink &sink, const std::function<void()> &onWake);

    /// Ends run(). Safe from any thread.
    void stop();

    const TrafficCounters &traffic() const noexcept
    {
        return m_traffic;
    }

private:
    class Impl;

    TrafficCounters m_traffic;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cuminscale
