/// Transport of the messages of core/messages.h over ZeroMQ, on a thread of its own.
#pragma once

#include "adapters/ring.h"
#include "ports/ports.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>

namespace cuminscale
{

/// Messages and bytes of one direction and class. Written by the thread in ZmqPeers::run(); may be read from any thread.
struct Traffic
{
    std::atomic<std::uint64_t> messages = 0;
    std::atomic<std::uint64_t> bytes = 0;
};

/// Traffic between a process and its peers. Control traffic consists of heartbeats, their replies, configuration, submission
/// ids, and notices that a message was addressed to an earlier incarnation; work traffic is everything else.
struct TrafficCounters
{
    Traffic controlSent;
    Traffic controlReceived;
    Traffic workSent;
    Traffic workReceived;
};

/// Receives on one ROUTER socket and sends over one DEALER socket per peer. While run() is active, send(), replace() and forget()
/// may only be called from its `onWake`, as the sockets belong to that thread.
class ZmqPeers : public PeerPort
{
public:
    using Clock = std::function<TimePoint()>;

    /// Binds the address; throws zmq::error_t if that fails. Port 0 lets the operating system choose a port.
    ZmqPeers(const Endpoint &listen, Clock clock);
    ~ZmqPeers() override;

    ZmqPeers(const ZmqPeers &) = delete;
    ZmqPeers &operator=(const ZmqPeers &) = delete;

    /// The bound address, with the actual port if port 0 was requested.
    Endpoint endpoint() const;

    /// Sets the sender of all outgoing messages. Must be called before run().
    void setSelf(const ProcessId &self);

    void send(effect::SendPeer &&message) override;
    void replace(const effect::ReplaceConnection &connection) override;
    void forget(const effect::ForgetConnection &connection) override;

    /// Wakes up run(), which then calls `onWake`. Safe to use from any thread.
    Waker &waker() noexcept;

    /// Passes received messages to the sink until stop(). Calls `onWake` after each wake-up, by a message or by the waker, to
    /// execute pending effects.
    void run(EventSink &sink, const std::function<void()> &onWake);

    /// Makes run() return. Safe to call from any thread.
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
