#include "adapters/http_stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace cuminscale
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

/// Maximum time from connecting to the response header.
constexpr Duration OpenTimeout = milliseconds(900);
/// The stream is closed on a line longer than this. Values in the store have at most 1 MB, a third more in base64.
constexpr std::size_t MaxLineBytes = 4U << 20U;

} // namespace

class HttpStream::Impl : public std::enable_shared_from_this<HttpStream::Impl>
{
public:
    Impl(asio::io_context &context, OnLine onLine, OnEnd onEnd)
        : m_stream(context)
        , m_onLine(std::move(onLine))
        , m_onEnd(std::move(onEnd))
    {
        m_parser.body_limit(boost::none);
    }

    void open(const Endpoint &server, const std::string &target, const std::string &body)
    {
        m_request.method(http::verb::post);
        m_request.target(target);
        m_request.version(11);
        m_request.set(http::field::host, toString(server));
        m_request.body() = body;
        m_request.prepare_payload();
        m_stream.expires_after(OpenTimeout);
        const tcp::endpoint address(asio::ip::address_v4(server.ip), server.port);
        m_stream.async_connect(address, [self = shared_from_this()](beast::error_code ec) {
            if (ec) {
                self->end();
                return;
            }
            self->write();
        });
    }

    void close()
    {
        m_closed = true;
        m_stream.close();
    }

private:
    void write()
    {
        http::async_write(m_stream, m_request, [self = shared_from_this()](beast::error_code ec, std::size_t) {
            if (ec) {
                self->end();
                return;
            }
            http::async_read_header(self->m_stream, self->m_buf, self->m_parser,
                                    [self](beast::error_code headerError, std::size_t) {
                                        if (headerError || self->m_parser.get().result() != http::status::ok) {
                                            self->end();
                                            return;
                                        }
                                        self->m_stream.expires_never();
                                        self->read();
                                    });
        });
    }

    void read()
    {
        m_parser.get().body().data = m_chunk.data();
        m_parser.get().body().size = m_chunk.size();
        http::async_read_some(m_stream, m_buf, m_parser, [self = shared_from_this()](beast::error_code ec, std::size_t) {
            if (ec == http::error::need_buffer) {
                ec = {};
            }
            if (self->m_closed) {
                return;
            }
            const std::size_t n = self->m_chunk.size() - self->m_parser.get().body().size;
            self->m_lineBuffer.append(self->m_chunk.data(), n);
            self->emitLines();
            if (ec || self->m_parser.is_done() || self->m_lineBuffer.size() > MaxLineBytes) {
                self->end();
                return;
            }
            self->read();
        });
    }

    void emitLines()
    {
        std::size_t end = m_lineBuffer.find('\n');
        while (end != std::string::npos && !m_closed) {
            const std::string line = m_lineBuffer.substr(0, end);
            m_lineBuffer.erase(0, end + 1);
            if (!line.empty()) {
                m_onLine(line);
            }
            end = m_lineBuffer.find('\n');
        }
    }

    void end()
    {
        if (!m_closed) {
            m_closed = true;
            m_stream.close();
            m_onEnd();
        }
    }

    beast::tcp_stream m_stream;
    OnLine m_onLine;
    OnEnd m_onEnd;
    http::request<http::string_body> m_request;
    http::response_parser<http::buffer_body> m_parser;
    beast::flat_buffer m_buf;
    std::array<char, 16384> m_chunk{};
    std::string m_lineBuffer;
    bool m_closed = false;
};

HttpStream::HttpStream(asio::io_context &context, const Endpoint &server, const std::string &target, const std::string &body,
                       OnLine onLine, OnEnd onEnd)
    : m_impl(std::make_shared<Impl>(context, std::move(onLine), std::move(onEnd)))
{
    m_impl->open(server, target, body);
}

HttpStream::~HttpStream()
{
    m_impl->close();
}

} // namespace cuminscale
