#include "adapters/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <unordered_map>

namespace cuminscale
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::uint64_t MaxResponseBytes = 64U << 20U;
constexpr Duration ConnectTimeout = milliseconds(800);

/// A keep-alive connection.
struct Connection
{
    explicit Connection(asio::io_context &context)
        : stream(context)
    { }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
};

/// Returns whether an idle connection can be reused: the socket has neither data nor an end-of-file or error to read.
bool isReusable(Connection &connection)
{
    beast::error_code ec;
    tcp::socket &socket = connection.stream.socket();
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl>
{
public:
    Impl(asio::io_context &context, std::size_t maxConnections)
        : m_context(context)
        , m_maxConnections(maxConnections)
    { }

    RequestId send(const Endpoint &server, HttpRequest &&request, Duration timeout, Callback &&callback)
    {
        const std::shared_ptr<Call> call = std::make_shared<Call>();
        call->requestId = ++m_lastRequestId;
        call->server = server;
        call->timeout = timeout;
        call->callback = std::move(callback);
        call->message.method_string(request.method);
        call->message.target(request.target);
        call->message.version(11);
        call->message.set(http::field::host, toString(server));
        for (const HttpHeader &header : request.headers) {
            call->message.set(header.first, header.second);
        }
        call->message.body() = std::move(request.body);
        call->message.prepare_payload();
        m_calls.emplace(call->requestId, call);
        acquireConnection(call);
        return call->requestId;
    }

    void abort(RequestId requestId)
    {
        const auto it = m_calls.find(requestId);
        if (it != m_calls.end() && it->second->connection) {
            it->second->connection->stream.close();
        }
    }

    void close()
    {
        m_closed = true;
        for (const std::pair<const RequestId, std::shared_ptr<Call>> &call : m_calls) {
            if (call.second->connection) {
                call.second->connection->stream.close();
            }
        }
        m_idle.clear();
    }

private:
    struct Call
    {
        RequestId requestId = 0;
        Endpoint server;
        Duration timeout{0};
        Callback callback;
        http::request<http::string_body> message;
        std::optional<http::response_parser<http::string_body>> parser;
        std::unique_ptr<Connection> connection;
    };

    void acquireConnection(const std::shared_ptr<Call> &call)
    {
        std::vector<std::unique_ptr<Connection>> &idle = m_idle[call->server];
        while (!idle.empty()) {
            call->connection = std::move(idle.back());
            idle.pop_back();
            if (isReusable(*call->connection)) {
                write(call);
                return;
            }
            --m_open[call->server];
            call->connection.reset();
        }
        if (m_open[call->server] >= m_maxConnections) {
            asio::post(m_context, [self = shared_from_this(), call]() { self->finish(call, HttpCompletion::NotSent, false); });
            return;
        }
        ++m_open[call->server];
        call->connection = std::make_unique<Connection>(m_context);
        call->connection->stream.expires_after(std::min(ConnectTimeout, call->timeout));
        const tcp::endpoint address(asio::ip::address_v4(call->server.ip), call->server.port);
        call->connection->stream.async_connect(address, [self = shared_from_this(), call](beast::error_code ec) {
            if (ec) {
                self->finish(call, ec == asio::error::connection_refused ? HttpCompletion::Refused : HttpCompletion::NotSent,
                             false);
                return;
            }
            beast::error_code optionError;
            call->connection->stream.socket().set_option(tcp::no_delay(true), optionError);
            self->write(call);
        });
    }

    void write(const std::shared_ptr<Call> &call)
    {
        call->connection->stream.expires_after(call->timeout);
        http::async_write(call->connection->stream, call->message,
                          [self = shared_from_this(), call](beast::error_code ec, std::size_t) {
                              if (ec) {
                                  self->finish(call, HttpCompletion::Lost, false);
                                  return;
                              }
                              self->read(call);
                          });
    }

    void read(const std::shared_ptr<Call> &call)
    {
        call->parser.emplace();
        call->parser->body_limit(MaxResponseBytes);
        http::async_read(call->connection->stream, call->connection->buf, *call->parser,
                         [self = shared_from_this(), call](beast::error_code ec, std::size_t) {
                             const bool reusable = !ec && call->parser->get().keep_alive() && call->connection->buf.size() == 0;
                             self->finish(call, ec ? HttpCompletion::Lost : HttpCompletion::Answered, reusable);
                         });
    }

    void finish(const std::shared_ptr<Call> &call, HttpCompletion end, bool reusable)
    {
        m_calls.erase(call->requestId);
        if (end == HttpCompletion::Lost) {
            closeIdleConnections(call->server);
        }
        HttpOutcome outcome;
        outcome.completion = end;
        if (end == HttpCompletion::Answered) {
            http::response<http::string_body> message = call->parser->release();
            outcome.response.status = message.result_int();
            for (const http::fields::value_type &field : message.base()) {
                outcome.response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
            }
            outcome.response.body = std::move(message.body());
        }
        if (call->connection && reusable && !m_closed) {
            call->connection->stream.expires_never();
            m_idle[call->server].push_back(std::move(call->connection));
        } else if (call->connection) {
            call->connection->stream.close();
            call->connection.reset();
            --m_open[call->server];
        }
        const Callback callback = std::move(call->callback);
        callback(std::move(outcome));
    }

    /// Closes the idle connections to a server after a request was lost. What broke that connection, such as a server or firewall
    /// that has lost its connection state, may have broken the idle ones too, and they would fail only by timeout.
    void closeIdleConnections(const Endpoint &server)
    {
        std::vector<std::unique_ptr<Connection>> &idle = m_idle[server];
        m_open[server] -= idle.size();
        idle.clear();
    }

    asio::io_context &m_context;
    std::size_t m_maxConnections;
    RequestId m_lastRequestId = 0;
    bool m_closed = false;
    std::unordered_map<RequestId, std::shared_ptr<Call>> m_calls;
    std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> m_idle;
    std::map<Endpoint, std::size_t> m_open; ///< Number of connections to each server, including idle and connecting ones.
};

HttpClient::HttpClient(asio::io_context &context, std::size_t maxConnections)
    : m_impl(std::make_shared<Impl>(context, maxConnections))
{ }

HttpClient::~HttpClient()
{
    m_impl->close();
}

HttpClient::RequestId HttpClient::send(const Endpoint &server, HttpRequest request, Duration timeout, Callback callback)
{
    return m_impl->send(server, std::move(request), timeout, std::move(callback));
}

void HttpClient::abort(RequestId requestId)
{
    m_impl->abort(requestId);
}

} // namespace cuminscale
