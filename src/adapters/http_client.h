/// Asynchronous HTTP/1.1 client with connection pooling, based on Boost.Beast. Single-threaded: use it only on the thread that
/// runs its io_context.
#pragma once

#include "adapters/http_types.h"
#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace cuminscale
{

/// How a request was completed.
enum class HttpCompletion : std::uint8_t {
    Answered, ///< A complete response was received, with any status code.
    NotSent, ///< No byte of the request was sent, so the server can't have processed it.
    Refused, ///< As NotSent, because the connection was refused: nothing listens at the address.
    Lost, ///< No complete response was received; the server may have processed the request.
};

/// Result of a request.
struct HttpOutcome
{
    HttpCompletion completion = HttpCompletion::Lost;
    HttpResponse response; ///< Valid only for Answered.

    /// Whether the server certainly has not received the request.
    bool notSent() const noexcept
    {
        return completion == HttpCompletion::NotSent || completion == HttpCompletion::Refused;
    }
};

/// Sends requests over pooled keep-alive connections, with a maximum number of connections per server. A connection returns to
/// the pool only after a complete response and is closed in all other cases, so a late response can't be taken for the response
/// to another request.
class HttpClient
{
public:
    using Callback = std::function<void(HttpOutcome &&)>;
    using RequestId = std::uint64_t;

    HttpClient(boost::asio::io_context &context, std::size_t maxConnections);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request. `callback` is called exactly once, from the io_context. Requests are not queued: if all connections to
    /// the server are in use, the request completes as NotSent. `timeout` applies to sending the request and receiving the
    /// response; connecting has a limit of its own.
    RequestId send(const Endpoint &server, HttpRequest request, Duration timeout, Callback callback);

    /// Closes the connection of a request, which completes as Lost, or as NotSent while the connection is being established.
    /// Does nothing if the request has completed or has no connection.
    void abort(RequestId requestId);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
