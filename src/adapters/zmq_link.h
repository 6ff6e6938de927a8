/// Transport of the messages of core/dispatch/messages.h over ZeroMQ, on an Asio event loop.
#pragma once

#include "ports/dispatch_ports.h"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace cuminscale
{

/// Receives on one ROUTER socket and sends over one DEALER socket per peer. Must only be used from the thread that runs the
/// io_context, which also calls the handler.
class ZmqLink : public dispatch::LinkPort
{
public:
    using Handler = std::function<void(const dispatch::Envelope &)>;

    /// Binds the address; throws zmq::error_t if that fails. Port 0 lets the operating system choose a port.
    ZmqLink(boost::asio::io_context &context, const Endpoint &listen, Handler handler);
    ~ZmqLink() override;

    ZmqLink(const ZmqLink &) = delete;
    ZmqLink &operator=(const ZmqLink &) = delete;

    /// The bound address, with the actual port if port 0 was requested.
    Endpoint endpoint() const;

    /// Starts receiving messages and passing them to the handler.
    void start();

    void send(const Endpoint &to, const dispatch::Envelope &envelope) override;
    void replaceConnection(const Endpoint &to) override;
    void forgetConnection(const Endpoint &to) override;

    struct Counters
    {
        std::uint64_t sent = 0;
        std::uint64_t bytesSent = 0;
        std::uint64_t received = 0;
        std::uint64_t bytesReceived = 0;
        std::uint64_t malformed = 0; ///< Received messages that could not be decoded.
        std::uint64_t dropped = 0; ///< Messages not sent: the queue to the peer was full, or there was no connection.
    };

    const Counters &counters() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
