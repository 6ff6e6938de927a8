/// Asynchronous HTTP/1.1 server based on Boost.Beast. Single-threaded: use it only on the thread that runs its io_context.
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

/// Limits on the resources that the clients of a server can use.
struct HttpLimits
{
    std::size_t maxBodyBytes = 8U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxConnections = 4096;
    std::vector<HttpHeader> refusalHeaders; ///< Added to the 413 and 400 responses of the server itself.
    Duration idleTimeout = seconds(120); ///< Maximum time to wait for the next request and receive it completely.
    Duration writeTimeout = seconds(20); ///< Maximum time to send a response.
    /// Called with the error of a handler that has thrown.
    std::function<void(const std::string &)> onError = [](const std::string &) {
    };
};

/// A received request that awaits its response.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Sends the response; later calls do nothing. While the server is draining, the connection is closed afterwards.
    virtual void respond(HttpResponse response) = 0;

    /// Called at most once, if the client disconnects before the response is sent. Not called once the client has sent further
    /// data on the connection, such as a pipelined request.
    std::function<void()> onDisconnected;
};

/// Accepts connections and passes each request to the handler. If the handler throws, the request is answered with status 500 and
/// the error goes to HttpLimits::onError. Two kinds of requests are rejected without calling the handler:
/// with status 413 if the body or header exceeds its limit, with 400 if the request is not valid HTTP. Connections beyond the
/// maximum number are closed at once.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest &&, const std::shared_ptr<HttpExchange> &)>;

    /// Starts to listen. Throws boost::system::system_error if that fails, for example because the address is in use.
    HttpServer(boost::asio::io_context &context, const Endpoint &listen, const HttpLimits &limits, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Returns the local address, with the actual port if port 0 was requested.
    Endpoint endpoint() const;

    /// Replaces the limits. Requests that are being read keep the size limits and timeout under which their reading began.
    void setLimits(const HttpLimits &limits);

    /// Closes each connection after its next response, which tells the client so. Idle connections stay open: closing one at once
    /// would break a request that is already on its way. New connections are still accepted and served one request each, because
    /// load balancers send requests here until they notice that the process is no longer ready.
    void startDraining();

    /// Stops accepting connections and closes those that are idle, once the io_context has run the handlers of what they have
    /// received. Connections on which a request is being received or answered remain until their response has been sent.
    void closeIdleConnections();

    /// Whether a connection is open. After closeIdleConnections(), that is one with a request in progress, or one that is about
    /// to be closed.
    bool hasConnections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
