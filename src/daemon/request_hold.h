/// Requests of clients that arrive before an entry has its first configuration.
#pragma once

#include "adapters/http_server.h"

#include <deque>
#include <functional>
#include <memory>

namespace cuminscale
{

/// Limits on the requests that wait, and on their time.
struct RequestHoldLimits
{
    /// Reading the configuration takes a few milliseconds, and up to 250 ms while a whole fleet starts. A job has to be on the
    /// entry's list within 0.3 s of its request, as clients repeat requests after 1.3 s and lists of up to 1 s of age are used.
    Duration maxWait = milliseconds(200);
    std::size_t maxRequests = 512;
    std::size_t maxBytes = 4U << 20U; ///< Of all bodies: the smallest entries have 120 MB.
};

/// Keeps requests until the configuration is known, in the order of their arrival.
///
/// Load pattern: after a power failure of the whole fleet, the waiting clients connect as soon as an entry listens. All of them
/// arrive within the few milliseconds in which it still reads its configuration, and would be refused.
class RequestHold
{
public:
    /// Handles a request that arrived at the given time.
    using Handler = std::function<void(HttpRequest &&, const std::shared_ptr<HttpExchange> &, TimePoint arrivedAt)>;

    explicit RequestHold(const RequestHoldLimits &limits = RequestHoldLimits())
        : m_limits(limits)
    { }

    /// Whether another request with a body of this size fits.
    bool hasRoom(std::size_t bodyBytes) const noexcept
    {
        return m_requests.size() < m_limits.maxRequests && m_bytes + bodyBytes <= m_limits.maxBytes;
    }

    /// Adds a request, for which there must be room.
    void add(TimePoint now, HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange);

    /// Passes on all requests whose clients are still connected.
    void releaseAll(const Handler &handler);

    /// Passes on those that have waited for the longest time allowed.
    void releaseExpired(TimePoint now, const Handler &handler);

private:
    struct Held
    {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
        TimePoint arrivedAt;
        std::shared_ptr<bool> disconnected;
    };

    void releaseFirst(const Handler &handler);

    RequestHoldLimits m_limits;
    std::deque<Held> m_requests;
    std::size_t m_bytes = 0;
};

} // namespace cuminscale
