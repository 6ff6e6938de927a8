#include "adapters/zmq_link.h"
#include "adapters/zmq_peers.h"

#include "core/dispatch/messages.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <sys/resource.h>
#include <zmq.hpp>

using namespace cuminscale;

namespace
{

constexpr std::uint32_t Loopback = 0x7F000001;

dispatch::Envelope heartbeat(const Endpoint &from)
{
    dispatch::Envelope envelope;
    envelope.from = ProcessId{from, Incarnation(1)};
    envelope.fromEntry = true;
    envelope.message = dispatch::EntryReport();
    return envelope;
}

} // namespace

TEST_CASE("A message to an address that can't be connected to does not keep others from being delivered")
{
    boost::asio::io_context context;
    int received = 0;
    ZmqLink receiver(context, Endpoint{Loopback, 0}, [&received](const dispatch::Envelope &) { ++received; });
    ZmqLink sender(context, Endpoint{Loopback, 0}, [](const dispatch::Envelope &) {});
    receiver.start();
    sender.send(Endpoint{0, 0}, heartbeat(sender.endpoint()));
    sender.send(receiver.endpoint(), heartbeat(sender.endpoint()));
    for (int i = 0; i < 100 && received == 0; ++i) {
        context.run_for(std::chrono::milliseconds(20));
    }
    REQUIRE(received == 1);
}

TEST_CASE("Bytes that are no message are counted and dropped")
{
    boost::asio::io_context context;
    int received = 0;
    ZmqLink receiver(context, Endpoint{Loopback, 0}, [&received](const dispatch::Envelope &) { ++received; });
    receiver.start();
    zmq::context_t zmqContext;
    zmq::socket_t dealer(zmqContext, zmq::socket_type::dealer);
    dealer.set(zmq::sockopt::linger, 0);
    dealer.connect("tcp://" + toString(receiver.endpoint()));
    for (const std::string &bytes : {std::string("no message"), std::string(), std::string(300, '\xff')}) {
        dealer.send(zmq::buffer(bytes), zmq::send_flags::none);
    }
    for (int i = 0; i < 100 && receiver.counters().malformed < 3; ++i) {
        context.run_for(std::chrono::milliseconds(20));
    }
    REQUIRE(receiver.counters().malformed == 3);
    REQUIRE(received == 0);
}

TEST_CASE("More entries in the store than descriptors for connections do not end the thread that sends to them")
{
    ZmqPeers peers(Endpoint{Loopback, 0}, []() { return TimePoint(seconds(1)); });
    peers.setSelf(ProcessId{peers.endpoint(), Incarnation(1)});
    rlimit limit{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    rlimit few = limit;
    few.rlim_cur = 64;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &few) == 0);
    std::size_t failed = 0;
    for (std::uint16_t port = 1; port < 200; ++port) {
        effect::SendPeer effect;
        effect.to = ProcessId{Endpoint{Loopback, port}, Incarnation(2)};
        effect.message = msg::Heartbeat();
        try {
            peers.send(std::move(effect));
        } catch (const std::exception &) {
            ++failed;
        }
    }
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    REQUIRE(failed == 0);
}
