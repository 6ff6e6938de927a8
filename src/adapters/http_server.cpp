#include "adapters/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <set>

namespace cuminscale
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds AcceptRetryInterval(50);

std::string findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (beast::iequals(beast::string_view(header.first), beast::string_view(name.data(), name.size()))) {
            return header.second;
        }
    }
    return std::string();
}

class Session;

/// State that a server shares with its sessions.
struct ServerState
{
    HttpLimits limits;
    HttpServer::Handler handler;
    std::set<std::shared_ptr<Session>> sessions;
    bool draining = false;
    bool closed = false;
};

/// A client connection. Reads a request, passes it to the handler, sends the response and then reads the next request. After
/// reading a request, waits for its response before reading further, so pipelined requests are handled one at a time.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<ServerState> state)
        : m_stream(std::move(socket))
        , m_state(std::move(state))
    { }

    void read();
    void respond(std::uint64_t exchange, HttpResponse response);
    void close();

    /// Whether a request is being received, is being handled, or its response is being sent.
    bool hasRequestInProgress();

    /// Closes the connection, unless a request is in progress.
    void closeIfIdle();

    /// Whether the client has closed or reset the connection and no further data of it is waiting.
    bool endedByClient();

private:
    class Exchange;

    void continueReading();
    void onRead(beast::error_code ec);
    void watchForDisconnect(std::uint64_t exchange);
    void reject(unsigned status, const std::string &reason);

    beast::tcp_stream m_stream;
    std::shared_ptr<ServerState> m_state;
    beast::flat_buffer m_buf;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::weak_ptr<HttpExchange> m_exchange;
    std::uint64_t m_exchangeNumber = 0;
    bool m_keepAlive = false;
    bool m_responded = true;
    bool m_idle = true;
};

class Session::Exchange : public HttpExchange
{
public:
    Exchange(std::shared_ptr<Session> session, std::uint64_t number)
        : m_session(std::move(session))
        , m_number(number)
    { }

    void respond(HttpResponse response) override
    {
        m_session->respond(m_number, std::move(response));
    }

private:
    std::shared_ptr<Session> m_session;
    std::uint64_t m_number;
};

bool Session::hasRequestInProgress()
{
    if (!m_idle || m_parser->got_some() || m_buf.size() > 0) {
        return true;
    }
    // Bytes that have arrived and were not read yet may be a whole request.
    beast::error_code ec;
    return m_stream.socket().available(ec) > 0 && !ec;
}

bool Session::endedByClient()
{
    char next = 0;
    beast::error_code ec;
    m_stream.socket().non_blocking(true, ec);
    m_stream.socket().receive(asio::buffer(&next, 1), tcp::socket::message_peek, ec);
    return ec && ec != asio::error::would_block && ec != asio::error::try_again;
}

void Session::read()
{
    m_idle = true;
    m_parser.emplace();
    m_parser->body_limit(m_state->limits.maxBodyBytes);
    m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.maxHeaderBytes));
    m_stream.expires_after(m_state->limits.idleTimeout);
    continueReading();
}

void Session::continueReading()
{
    http::async_read(m_stream, m_buf, *m_parser,
                     [self = shared_from_this()](beast::error_code ec, std::size_t) { self->onRead(ec); });
}

void Session::closeIfIdle()
{
    // The bytes of a request may have been read already by an operation whose handler waits for its turn. Cancelling the read
    // does not affect it, so onRead() handles that request and sees the cancellation only if there is none.
    if (!hasRequestInProgress()) {
        m_stream.cancel();
    }
}

void Session::onRead(beast::error_code ec)
{
    if (ec == asio::error::operation_aborted && m_stream.socket().is_open() && hasRequestInProgress()) {
        continueReading();
        return;
    }
    if (ec == http::error::body_limit || ec == http::error::header_limit) {
        reject(413, "The request exceeds the size limit.");
        return;
    }
    if (ec == http::error::end_of_stream || ec == beast::error::timeout || (ec && !m_parser->got_some())) {
        close();
        return;
    }
    if (ec) {
        reject(400, "The request is not valid HTTP.");
        return;
    }
    m_idle = false;
    m_responded = false;
    m_stream.expires_never();
    http::request<http::string_body> message = m_parser->release();
    m_keepAlive = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    request.connectionEnded = endedByClient();
    for (const http::fields::value_type &field : message.base()) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    const std::uint64_t number = ++m_exchangeNumber;
    std::shared_ptr<HttpExchange> exchange = std::make_shared<Exchange>(shared_from_this(), number);
    m_exchange = exchange;
    watchForDisconnect(number);
    try {
        m_state->handler(std::move(request), exchange);
    } catch (const std::exception &e) {
        m_state->limits.onError(e.what());
        HttpResponse response;
        response.status = static_cast<unsigned>(http::status::internal_server_error);
        exchange->respond(std::move(response));
    }
}

void Session::watchForDisconnect(std::uint64_t exchange)
{
    m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), exchange](beast::error_code ec) {
        if (ec || self->m_responded || exchange != self->m_exchangeNumber) {
            return;
        }
        beast::error_code availableError;
        const std::size_t available = self->m_stream.socket().available(availableError);
        if (!availableError && available > 0) {
            // Further data from the client, such as a pipelined request: not a disconnect.
            return;
        }
        self->m_responded = true;
        if (const std::shared_ptr<HttpExchange> waiting = self->m_exchange.lock(); waiting && waiting->onDisconnected) {
            waiting->onDisconnected();
        }
        self->close();
    });
}

void Session::reject(unsigned status, const std::string &reason)
{
    m_idle = false;
    m_responded = false;
    m_keepAlive = false;
    HttpResponse response;
    response.status = status;
    response.body = "{\"error\":\"" + reason + "\"}\n";
    response.headers = m_state->limits.refusalHeaders;
    respond(m_exchangeNumber, std::move(response));
}

void Session::respond(std::uint64_t exchange, HttpResponse response)
{
    if (m_responded || exchange != m_exchangeNumber) {
        return;
    }
    m_responded = true;
    m_response = {};
    m_response.version(11);
    m_response.result(response.status);
    m_response.set(http::field::content_type, response.contentType);
    for (const HttpHeader &header : response.headers) {
        m_response.set(header.first, header.second);
    }
    m_response.keep_alive(m_keepAlive && !m_state->draining && !response.closeConnection);
    m_response.body() = std::move(response.body);
    m_response.prepare_payload();
    m_stream.expires_after(m_state->limits.writeTimeout);
    http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code ec, std::size_t) {
        if (ec || !self->m_response.keep_alive()) {
            self->close();
            return;
        }
        self->read();
    });
}

void Session::close()
{
    beast::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    m_stream.close();
    m_state->sessions.erase(shared_from_this());
}

} // namespace

std::string HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(asio::io_context &context, const Endpoint &listen, const HttpLimits &limits, Handler handler)
        : m_acceptor(context)
        , m_retryTimer(context)
        , m_state(std::make_shared<ServerState>())
    {
        m_state->limits = limits;
        m_state->handler = std::move(handler);
        const tcp::endpoint address(asio::ip::address_v4(listen.ip), listen.port);
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen(asio::socket_base::max_listen_connections);
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](beast::error_code ec, tcp::socket socket) {
            if (self->m_state->closed) {
                return;
            }
            if (!ec) {
                self->startSession(std::move(socket));
            }
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (ec) {
                self->acceptLater();
            } else {
                self->accept();
            }
        });
    }

    void startSession(tcp::socket &&socket)
    {
        if (m_state->sessions.size() >= m_state->limits.maxConnections) {
            return;
        }
        beast::error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        const std::shared_ptr<Session> session = std::make_shared<Session>(std::move(socket), m_state);
        m_state->sessions.insert(session);
        session->read();
    }

    /// Accepts again after a pause. An error such as too many open files lasts, and repeated attempts would take up the CPU.
    void acceptLater()
    {
        m_retryTimer.expires_after(AcceptRetryInterval);
        m_retryTimer.async_wait([self = shared_from_this()](beast::error_code ec) {
            if (!ec && !self->m_state->closed && self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    Endpoint endpoint() const
    {
        const tcp::endpoint local = m_acceptor.local_endpoint();
        return Endpoint{local.address().to_v4().to_uint(), local.port()};
    }

    void setLimits(const HttpLimits &limits)
    {
        m_state->limits = limits;
    }

    void startDraining()
    {
        m_state->draining = true;
    }

    void closeIdleConnections()
    {
        acceptWaiting();
        beast::error_code ec;
        m_acceptor.close(ec);
        const std::set<std::shared_ptr<Session>> sessions = m_state->sessions;
        for (const std::shared_ptr<Session> &session : sessions) {
            session->closeIfIdle();
        }
    }

    bool hasConnections() const
    {
        return !m_state->sessions.empty();
    }

    void close()
    {
        m_state->closed = true;
        beast::error_code ec;
        m_acceptor.close(ec);
        m_retryTimer.cancel();
        const std::set<std::shared_ptr<Session>> sessions = m_state->sessions;
        for (const std::shared_ptr<Session> &session : sessions) {
            session->close();
        }
    }

private:
    /// Accepts the established connections that wait in the queue: a request may have been sent on them.
    void acceptWaiting()
    {
        beast::error_code ec;
        m_acceptor.non_blocking(true, ec);
        while (!ec && m_acceptor.is_open()) {
            tcp::socket socket(m_acceptor.get_executor());
            m_acceptor.accept(socket, ec);
            if (!ec) {
                startSession(std::move(socket));
            }
        }
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::shared_ptr<ServerState> m_state;
};

HttpServer::HttpServer(asio::io_context &context, const Endpoint &listen, const HttpLimits &limits, Handler handler)
    : m_impl(std::make_shared<Impl>(context, listen, limits, std::move(handler)))
{
    m_impl->accept();
}

HttpServer::~HttpServer()
{
    m_impl->close();
}

Endpoint HttpServer::endpoint() const
{
    return m_impl->endpoint();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_impl->setLimits(limits);
}

void HttpServer::startDraining()
{
    m_impl->startDraining();
}

void HttpServer::closeIdleConnections()
{
    m_impl->closeIdleConnections();
}

bool HttpServer::hasConnections() const
{
    return m_impl->hasConnections();
}

} // namespace cuminscale
