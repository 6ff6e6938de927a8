#include "adapters/zmq_peers.h"

#include "adapters/peer_codec.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <map>
#include <zmq.hpp>

namespace cuminscale
{

namespace
{

/// Messages queued for one connection. Further outgoing ones are dropped; the protocol retransmits those that must arrive.
constexpr int HighWaterMark = 20000;
/// Messages received in a row before pending effects are executed again.
constexpr int MaxReceiveBatch = 256;
/// Limit of the sockets of a process, and so of the peers that it can send to.
constexpr int MaxSockets = 8192;
constexpr std::int64_t MaxMessageBytes = 128 << 20;
/// Interval at which a message is offered again while the core's queue is full.
constexpr std::chrono::milliseconds FullQueueRetryInterval(1);

/// Whether a message counts as control traffic; see TrafficCounters.
bool isControl(const Message &message) noexcept
{
    return std::holds_alternative<msg::Heartbeat>(message) || std::holds_alternative<msg::HeartbeatReply>(message)
        || std::holds_alternative<msg::ConfigPush>(message) || std::holds_alternative<msg::Mint>(message)
        || std::holds_alternative<msg::Minted>(message) || std::holds_alternative<msg::Gone>(message);
}

void count(Traffic &traffic, std::size_t bytes) noexcept
{
    traffic.messages.fetch_add(1, std::memory_order_relaxed);
    traffic.bytes.fetch_add(bytes, std::memory_order_relaxed);
}

/// Interrupts zmq::poll() through an eventfd. At most one wake-up is pending at a time.
class EventFdWaker : public Waker
{
public:
    EventFdWaker()
        : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    { }

    ~EventFdWaker() override
    {
        ::close(m_fd);
    }

    EventFdWaker(const EventFdWaker &) = delete;
    EventFdWaker &operator=(const EventFdWaker &) = delete;

    void wake() override
    {
        if (!m_pending.exchange(true)) {
            const std::uint64_t one = 1;
            [[maybe_unused]] const ssize_t n = ::write(m_fd, &one, sizeof(one));
        }
    }

    /// Resets the wake-up. Must be called before the rings are drained, so that a value pushed after that wakes the thread again.
    void clear()
    {
        std::uint64_t n = 0;
        [[maybe_unused]] const ssize_t got = ::read(m_fd, &n, sizeof(n));
        m_pending.store(false);
    }

    int fd() const noexcept
    {
        return m_fd;
    }

private:
    int m_fd;
    std::atomic<bool> m_pending = false;
};

} // namespace

class ZmqPeers::Impl
{
public:
    Impl(const Endpoint &listen, Clock clock, TrafficCounters &traffic)
        : m_clock(std::move(clock))
        , m_traffic(traffic)
        , m_context(1, MaxSockets)
        , m_router(m_context, zmq::socket_type::router)
    {
        m_router.set(zmq::sockopt::linger, 0);
        m_router.set(zmq::sockopt::rcvhwm, HighWaterMark);
        m_router.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
        // Closes connections whose remote end has vanished. Failed peers are detected by the heartbeats of the protocol instead.
        m_router.set(zmq::sockopt::tcp_keepalive, 1);
        m_router.bind("tcp://"
                      + (listen.port == 0 ? toString(listen).substr(0, toString(listen).find(':')) + ":*" : toString(listen)));
        const std::string bound = m_router.get(zmq::sockopt::last_endpoint);
        constexpr std::string_view Scheme = "tcp://";
        m_endpoint = parseEndpoint(std::string_view(bound).substr(Scheme.size())).value_or(Endpoint());
    }

    zmq::socket_t &dealerFor(const Endpoint &endpoint)
    {
        const auto it = m_dealers.find(endpoint);
        if (it != m_dealers.end()) {
            return it->second;
        }
        zmq::socket_t dealer(m_context, zmq::socket_type::dealer);
        dealer.set(zmq::sockopt::linger, 0);
        dealer.set(zmq::sockopt::sndhwm, HighWaterMark);
        dealer.set(zmq::sockopt::reconnect_ivl, 50);
        dealer.set(zmq::sockopt::reconnect_ivl_max, 500);
        dealer.connect("tcp://" + toString(endpoint));
        return m_dealers.emplace(endpoint, std::move(dealer)).first->second;
    }

    void send(effect::SendPeer &&effect)
    {
        const Endpoint endpoint = effect.to.endpoint;
        const Envelope envelope = std::move(effect).makeEnvelope(m_self, m_clock());
        const std::string bytes = encodeEnvelope(envelope);
        count(isControl(envelope.message) ? m_traffic.controlSent : m_traffic.workSent, bytes.size());
        try {
            dealerFor(endpoint).send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        } catch (const zmq::error_t &) {
            // The address is invalid, or the process has no descriptor left for the socket. Counts as a lost message.
            m_dealers.erase(endpoint);
        }
    }

    void closeConnection(const Endpoint &endpoint)
    {
        m_dealers.erase(endpoint);
    }

    /// Receives until no message is left, the batch is complete, or the core's queue is full.
    void receive(EventSink &sink)
    {
        if (m_undelivered && !sink.offer(*m_undelivered)) {
            return;
        }
        m_undelivered.reset();
        for (int i = 0; i < MaxReceiveBatch; ++i) {
            zmq::message_t identity;
            zmq::message_t body;
            if (!m_router.recv(identity, zmq::recv_flags::dontwait)) {
                return;
            }
            bool more = identity.more();
            while (more) {
                [[maybe_unused]] const zmq::recv_result_t got = m_router.recv(body, zmq::recv_flags::none);
                more = body.more();
            }
            std::optional<Envelope> envelope =
                decodeEnvelope(std::string_view(static_cast<const char *>(body.data()), body.size()));
            if (!envelope) {
                continue;
            }
            count(isControl(envelope->message) ? m_traffic.controlReceived : m_traffic.workReceived, body.size());
            Event event = event::PeerMessageReceived{std::move(*envelope)};
            if (!sink.offer(event)) {
                m_undelivered = std::move(event);
                return;
            }
        }
    }

    void run(EventSink &sink, const std::function<void()> &onWake)
    {
        while (!m_stopped) {
            std::array<zmq::pollitem_t, 2> items = {
                {{m_router.handle(), 0, ZMQ_POLLIN, 0}, {nullptr, m_waker.fd(), ZMQ_POLLIN, 0}}};
            if (m_undelivered) {
                // Backpressure: while the core's queue is full, messages stay in the ROUTER socket. Once its queue is full too,
                // ZeroMQ stops reading from the connections.
                zmq::poll(&items[1], 1, FullQueueRetryInterval);
            } else {
                zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
            }
            if ((items[1].revents & ZMQ_POLLIN) != 0) {
                m_waker.clear();
            }
            onWake();
            receive(sink);
        }
    }

    Clock m_clock;
    TrafficCounters &m_traffic;
    zmq::context_t m_context;
    zmq::socket_t m_router;
    std::map<Endpoint, zmq::socket_t> m_dealers;
    EventFdWaker m_waker;
    std::atomic<bool> m_stopped = false;
    std::optional<Event> m_undelivered;
    ProcessId m_self;
    Endpoint m_endpoint;
};

ZmqPeers::ZmqPeers(const Endpoint &listen, Clock clock)
    : m_impl(std::make_unique<Impl>(listen, std::move(clock), m_traffic))
{ }

ZmqPeers::~ZmqPeers() = default;

Endpoint ZmqPeers::endpoint() const
{
    return m_impl->m_endpoint;
}

void ZmqPeers::setSelf(const ProcessId &self)
{
    m_impl->m_self = self;
}

void ZmqPeers::send(effect::SendPeer &&message)
{
    m_impl->send(std::move(message));
}

void ZmqPeers::replace(const effect::ReplaceConnection &connection)
{
    // The next message opens a new connection. It works even if a device on the path, such as a firewall, silently drops the
    // packets of the old one.
    m_impl->closeConnection(connection.endpoint);
}

void ZmqPeers::forget(const effect::ForgetConnection &connection)
{
    m_impl->closeConnection(connection.endpoint);
}

Waker &ZmqPeers::waker() noexcept
{
    return m_impl->m_waker;
}

void ZmqPeers::run(EventSink &sink, const std::function<void()> &onWake)
{
    m_impl->run(sink, onWake);
}

void ZmqPeers::stop()
{
    m_impl->m_stopped = true;
    m_impl->m_waker.wake();
}

} // namespace cuminscale
