/// An HTTP/1.1 client with kept connections on Boost.Beast, for one thread.
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

/// How a request ended.
enum class HttpEnd : std::uint8_t {
    Answered, ///< The answer is whole.
    NotSent, ///< No byte of the request left this process.
    Lost, ///< The request may have arrived; its answer did not.
};

/// The end of a request, with the answer where there is one.
struct HttpOutcome
{
    HttpEnd end = HttpEnd::Lost;
    HttpResponse response;
};

/// Sends requests over kept connections, a bounded number to each server. A connection goes back to the pool only after a
/// whole answer; after anything doubtful it is closed, so a late answer can never reach another request.
class HttpClient
{
public:
    using Done = std::function<void(HttpOutcome &&)>;
    using Ticket = std::uint64_t;

    HttpClient(boost::asio::io_context &context, std::size_t maxConnections);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request. `done` is called exactly once, from the io_context; with no connection free, at once as NotSent.
    Ticket send(const Endpoint &server, HttpRequest request, Duration timeout, Done done);

    /// Closes the connection of a request; its `done` is called with Lost.
    void abort(Ticket ticket);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
