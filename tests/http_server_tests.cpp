#include "adapters/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace cuminscale;

namespace
{

using tcp = boost::asio::ip::tcp;

constexpr std::uint32_t Loopback = 0x7F000001;
const std::string Request = "GET /job HTTP/1.1\r\nHost: a\r\n\r\n";

/// A server whose requests are answered by the test, and a client with plain sockets, on one context.
class HttpServerFixture
{
public:
    HttpServerFixture()
        : server(context, Endpoint{Loopback, 0}, HttpLimits(),
                 [this](HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange) {
                     requests.push_back(std::move(request));
                     exchanges.push_back(exchange);
                 })
    { }

    tcp::socket connect()
    {
        tcp::socket socket(context);
        socket.connect(tcp::endpoint(boost::asio::ip::address_v4(Loopback), server.endpoint().port));
        socket.non_blocking(true);
        settle();
        return socket;
    }

    void send(tcp::socket &socket, const std::string &text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        settle();
    }

    /// Sends what the server has answered so far to the client and returns it; "closed" follows when the connection has ended.
    std::string receive(tcp::socket &socket)
    {
        settle();
        std::string text;
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        while (!ec) {
            const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
            text.append(buf.data(), n);
        }
        return text + (ec == boost::asio::error::would_block ? "" : "closed");
    }

    void answerLast()
    {
        HttpResponse response;
        response.status = 200;
        response.body = "{}";
        exchanges.back()->respond(std::move(response));
        settle();
    }

    void settle()
    {
        context.restart();
        context.run_for(std::chrono::milliseconds(30));
    }

    boost::asio::io_context context;
    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    HttpServer server;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("While the server drains, a request on an open connection is answered and the client is told to close")
{
    // Scenario: SIGTERM arrives while a client holds an idle connection; the client sends its next request seconds later.
    HttpServerFixture fixture;
    tcp::socket client = fixture.connect();
    fixture.server.startDraining();
    fixture.send(client, Request);
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.answerLast();
    const std::string answer = fixture.receive(client);
    REQUIRE(contains(answer, "200 OK"));
    REQUIRE(contains(answer, "Connection: close"));
    REQUIRE(contains(answer, "closed"));
}

TEST_CASE("A handler that throws fails its own request only")
{
    boost::asio::io_context context;
    std::vector<std::string> errors;
    HttpLimits limits;
    limits.onError = [&errors](const std::string &error) {
        errors.push_back(error);
    };
    int requests = 0;
    HttpServer server(context, Endpoint{Loopback, 0}, limits,
                      [&requests](HttpRequest &&, const std::shared_ptr<HttpExchange> &exchange) {
                          if (++requests == 1) {
                              throw std::runtime_error("unexpected");
                          }
                          exchange->respond(HttpResponse());
                      });
    tcp::socket client(context);
    client.connect(tcp::endpoint(boost::asio::ip::address_v4(Loopback), server.endpoint().port));
    std::string answers;
    for (int i = 0; i < 2; ++i) {
        boost::asio::write(client, boost::asio::buffer(Request));
        context.restart();
        context.run_for(std::chrono::milliseconds(30));
        std::array<char, 4096> buf{};
        answers.append(buf.data(), client.read_some(boost::asio::buffer(buf)));
    }
    REQUIRE(contains(answers, "500 Internal Server Error"));
    REQUIRE(contains(answers, "200 OK"));
    REQUIRE(errors == std::vector<std::string>{"unexpected"});
}

TEST_CASE("Closing idle connections interrupts no request that is being received or handled")
{
    HttpServerFixture fixture;
    tcp::socket idle = fixture.connect();
    tcp::socket receiving = fixture.connect();
    tcp::socket handled = fixture.connect();
    tcp::socket unread = fixture.connect();
    fixture.send(receiving, Request.substr(0, 20));
    fixture.send(handled, Request);
    // The request has arrived, but the server has had no turn to read it.
    boost::asio::write(unread, boost::asio::buffer(Request));
    fixture.server.startDraining();
    fixture.server.closeIdleConnections();
    REQUIRE(fixture.receive(idle) == "closed");
    REQUIRE(fixture.server.hasConnections());
    fixture.answerLast();
    REQUIRE(contains(fixture.receive(unread), "200 OK"));
    fixture.exchanges.front()->respond(HttpResponse());
    REQUIRE(contains(fixture.receive(handled), "closed"));
    REQUIRE(fixture.server.hasConnections());
    fixture.send(receiving, Request.substr(20));
    fixture.answerLast();
    REQUIRE(contains(fixture.receive(receiving), "200 OK"));
    REQUIRE_FALSE(fixture.server.hasConnections());
}

TEST_CASE("A request that has been read but not handled when idle connections are closed is answered")
{
    // Scenario: after a delay of the process, the next request on a kept-open connection and the timer that closes idle
    // connections are due together. The context reads the request, runs the timer's handler, and then that of the read.
    HttpServerFixture fixture;
    tcp::socket client = fixture.connect();
    fixture.send(client, Request);
    fixture.answerLast();
    fixture.receive(client);
    fixture.server.startDraining();
    boost::asio::steady_timer timer(fixture.context, std::chrono::milliseconds(1));
    timer.async_wait([&fixture](boost::system::error_code) { fixture.server.closeIdleConnections(); });
    boost::asio::write(client, boost::asio::buffer(Request));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    fixture.settle();
    REQUIRE(fixture.exchanges.size() == 2);
    fixture.answerLast();
    REQUIRE(contains(fixture.receive(client), "200 OK"));
    REQUIRE_FALSE(fixture.server.hasConnections());
}

TEST_CASE("A request on a connection that waits to be accepted when idle connections are closed is answered")
{
    HttpServerFixture fixture;
    std::vector<tcp::socket> clients;
    for (int i = 0; i < 3; ++i) {
        clients.emplace_back(fixture.context);
        clients.back().connect(tcp::endpoint(boost::asio::ip::address_v4(Loopback), fixture.server.endpoint().port));
        clients.back().non_blocking(true);
        boost::asio::write(clients.back(), boost::asio::buffer(Request));
    }
    fixture.server.startDraining();
    fixture.server.closeIdleConnections();
    fixture.settle();
    REQUIRE(fixture.exchanges.size() == clients.size());
    for (const std::shared_ptr<HttpExchange> &exchange : fixture.exchanges) {
        exchange->respond(HttpResponse());
    }
    for (tcp::socket &client : clients) {
        REQUIRE(contains(fixture.receive(client), "200 OK"));
    }
}

TEST_CASE("A request that is read after its client has closed or reset the connection is marked")
{
    HttpServerFixture fixture;
    tcp::socket open = fixture.connect();
    tcp::socket closed = fixture.connect();
    tcp::socket reset = fixture.connect();
    for (tcp::socket *client : {&open, &closed, &reset}) {
        boost::asio::write(*client, boost::asio::buffer(Request));
    }
    closed.close();
    reset.set_option(boost::asio::socket_base::linger(true, 0));
    reset.close();
    fixture.settle();
    // The operating system may drop a request together with its connection.
    REQUIRE(fixture.requests.size() >= 2);
    const std::ptrdiff_t marked =
        std::count_if(fixture.requests.begin(), fixture.requests.end(), [](const HttpRequest &it) { return it.connectionEnded; });
    REQUIRE(marked + 1 == static_cast<std::ptrdiff_t>(fixture.requests.size()));
}

TEST_CASE("A request that is followed by further data on an open connection is not marked as ended")
{
    HttpServerFixture fixture;
    tcp::socket client = fixture.connect();
    boost::asio::write(client, boost::asio::buffer(Request + Request));
    fixture.settle();
    REQUIRE(fixture.requests.size() == 1);
    REQUIRE_FALSE(fixture.requests.front().connectionEnded);
}
