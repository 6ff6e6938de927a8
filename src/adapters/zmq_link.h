/// Dispatch messages over ZeroMQ, read on an Asio thread.
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

/// One ROUTER socket for what comes in, and one DEALER for each peer that is sent to. For the thread of the io_context.
class ZmqLink : public dispatch::LinkPort
{
public:
    using Handler = std::function<void(const dispatch::Envelope &)>;

    /// Binds at once; throws zmq::error_t when the address can't be had.
    ZmqLink(boost::asio::io_context &context, const Endpoint &listen, Handler handler);
    ~ZmqLink() override;

    ZmqLink(const ZmqLink &) = delete;
    ZmqLink &operator=(const ZmqLink &) = delete;

    /// Where it listens, with the port that the system picked.
    Endpoint endpoint() const;

    /// Begins to hand messages to the handler.
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
        std::uint64_t malformed = 0;
        std::uint64_t dropped = 0; ///< The queue to a peer was full.
    };

    const Counters &counters() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
