/// A small HTTP/1.1 server on Boost.Beast, for one thread.
#pragma once

#include "adapters/http_types.h"
#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace cuminscale
{

/// Bounds on what one server holds for its callers.
struct HttpLimits
{
    std::size_t maxBodyBytes = 8U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxConnections = 4096;
    std::vector<HttpHeader> refusalHeaders; ///< Added where a request is refused before any handler sees it.
    Duration idleTimeout = seconds(120); ///< Between two requests, and for a request to arrive whole.
    Duration writeTimeout = seconds(20); ///< For a caller to read its answer.
};

/// One request that waits for its answer. Used on the server's thread only.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Sends the answer; later calls do nothing. With a drain under way the connection closes after it.
    virtual void respond(HttpResponse response) = 0;

    /// Called once if the caller hangs up before its answer.
    std::function<void()> onGone;
};

/// Accepts connections and hands each request to the handler. A refused request is answered before any handler sees it:
/// 413 for a body over the limit, 400 for what is not HTTP.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest &&, const std::shared_ptr<HttpExchange> &)>;

    /// Listens at once; throws boost::system::system_error when the address can't be had.
    HttpServer(boost::asio::io_context &context, const Endpoint &listen, const HttpLimits &limits, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Where it listens, with the port that the system picked.
    Endpoint endpoint() const;

    /// Puts other bounds in force for requests that are read from now on.
    void setLimits(const HttpLimits &limits);

    /// Answers what is in progress, and closes every connection after its answer. Connections keep being accepted, so that
    /// a balancer which has not noticed yet still reaches somebody.
    void startDraining();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
