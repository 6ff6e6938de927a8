#include "adapters/zmq_link.h"

#include "adapters/dispatch_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <zmq.hpp>

namespace cuminscale
{

namespace asio = boost::asio;

namespace
{

/// Messages queued for one peer. Beyond that, messages are dropped and the protocol retransmits them later; a longer queue would
/// only delay orders until they expire.
constexpr int HighWaterMark = 250;
constexpr std::int64_t MaxMessageBytes = 16 << 20;
constexpr int ReconnectMs = 50;
constexpr int ReconnectMaxMs = 100;
/// A connection attempt that is not answered, during a partition or while the peer has no power, is abandoned after this, so that
/// a new attempt succeeds soon after the peer is reachable again.
constexpr int ConnectTimeoutMs = 100;
constexpr int MaxSockets = 8192;
/// Messages received in a row before the event loop runs timers and HTTP handlers again.
constexpr int MaxReceiveBatch = 64;

} // namespace

class ZmqLink::Impl : public std::enable_shared_from_this<ZmqLink::Impl>
{
public:
    Impl(asio::io_context &context, const Endpoint &listen, Handler handler)
        : m_context(context)
        , m_zmq(1, MaxSockets)
        , m_router(m_zmq, zmq::socket_type::router)
        , m_readable(context)
        , m_handler(std::move(handler))
    {
        m_router.set(zmq::sockopt::linger, 0);
        m_router.set(zmq::sockopt::rcvhwm, HighWaterMark);
        m_router.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
        const std::string address = toString(listen);
        m_router.bind("tcp://" + (listen.port == 0 ? address.substr(0, address.find(':')) + ":*" : address));
        const std::string bound = m_router.get(zmq::sockopt::last_endpoint);
        constexpr std::string_view Scheme = "tcp://";
        m_endpoint = parseEndpoint(std::string_view(bound).substr(Scheme.size())).value_or(Endpoint());
        m_readable.assign(m_router.get(zmq::sockopt::fd));
    }

    ~Impl()
    {
        // The ROUTER socket owns the descriptor and closes it.
        m_readable.release();
    }

    void waitUntilReadable()
    {
        m_readable.async_wait(asio::posix::stream_descriptor::wait_read,
                              [self = shared_from_this()](boost::system::error_code ec) {
                                  if (!ec && !self->m_closed) {
                                      self->receiveBatch();
                                  }
                              });
    }

    /// Receives a batch of messages. ZMQ_FD is edge-triggered: the descriptor is waited for again only once the socket has no
    /// message left, as it does not signal messages that are already queued.
    void receiveBatch()
    {
        for (int i = 0; i < MaxReceiveBatch; ++i) {
            if ((m_router.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
                waitUntilReadable();
                return;
            }
            receiveOne();
        }
        asio::post(m_context, [self = shared_from_this()]() {
            if (!self->m_closed) {
                self->receiveBatch();
            }
        });
    }

    void receiveOne()
    {
        zmq::message_t part;
        if (!m_router.recv(part, zmq::recv_flags::dontwait)) {
            return;
        }
        while (part.more()) {
            if (!m_router.recv(part, zmq::recv_flags::dontwait)) {
                return;
            }
        }
        ++m_counters.received;
        m_counters.bytesReceived += part.size();
        const std::optional<dispatch::Envelope> envelope =
            dispatch::decode(std::string_view(static_cast<const char *>(part.data()), part.size()));
        if (envelope) {
            m_handler(*envelope);
        } else {
            ++m_counters.malformed;
        }
    }

    zmq::socket_t &dealerFor(const Endpoint &endpoint)
    {
        const std::map<Endpoint, zmq::socket_t>::iterator it = m_dealers.find(endpoint);
        if (it != m_dealers.end()) {
            return it->second;
        }
        zmq::socket_t dealer(m_zmq, zmq::socket_type::dealer);
        dealer.set(zmq::sockopt::linger, 0);
        dealer.set(zmq::sockopt::sndhwm, HighWaterMark);
        dealer.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
        dealer.set(zmq::sockopt::reconnect_ivl_max, ReconnectMaxMs);
        dealer.set(zmq::sockopt::connect_timeout, ConnectTimeoutMs);
        dealer.connect("tcp://" + toString(endpoint));
        return m_dealers.emplace(endpoint, std::move(dealer)).first->second;
    }

    void send(const Endpoint &to, const dispatch::Envelope &envelope)
    {
        const std::string bytes = dispatch::encode(envelope);
        bool sent = false;
        try {
            sent = dealerFor(to).send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
        } catch (const zmq::error_t &) {
            // The address is invalid, or the process has no descriptor left for the socket.
            m_dealers.erase(to);
        }
        if (!sent) {
            ++m_counters.dropped;
            return;
        }
        ++m_counters.sent;
        m_counters.bytesSent += bytes.size();
    }

    asio::io_context &m_context;
    zmq::context_t m_zmq;
    zmq::socket_t m_router;
    asio::posix::stream_descriptor m_readable;
    Handler m_handler;
    std::map<Endpoint, zmq::socket_t> m_dealers;
    Endpoint m_endpoint;
    Counters m_counters;
    bool m_closed = false;
};

ZmqLink::ZmqLink(asio::io_context &context, const Endpoint &listen, Handler handler)
    : m_impl(std::make_shared<Impl>(context, listen, std::move(handler)))
{ }

ZmqLink::~ZmqLink()
{
    m_impl->m_closed = true;
    m_impl->m_readable.cancel();
}

Endpoint ZmqLink::endpoint() const
{
    return m_impl->m_endpoint;
}

void ZmqLink::start()
{
    m_impl->receiveBatch();
}

void ZmqLink::send(const Endpoint &to, const dispatch::Envelope &envelope)
{
    m_impl->send(to, envelope);
}

void ZmqLink::replaceConnection(const Endpoint &to)
{
    // The next message opens a new connection. It works even if a device on the path, such as a firewall, silently drops the
    // packets of the old one.
    m_impl->m_dealers.erase(to);
}

void ZmqLink::forgetConnection(const Endpoint &to)
{
    m_impl->m_dealers.erase(to);
}

const ZmqLink::Counters &ZmqLink::counters() const noexcept
{
    return m_impl->m_counters;
}

} // namespace cuminscale
