#include "daemon/request_hold.h"

namespace cuminscale
{

void RequestHold::add(TimePoint now, HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::shared_ptr<bool> disconnected = std::make_shared<bool>(false);
    exchange->onDisconnected = [disconnected]() {
        *disconnected = true;
    };
    m_bytes += request.body.size();
    m_requests.push_back(Held{std::move(request), exchange, now, disconnected});
}

void RequestHold::releaseAll(const Handler &handler)
{
    while (!m_requests.empty()) {
        releaseFirst(handler);
    }
}

void RequestHold::releaseExpired(TimePoint now, const Handler &handler)
{
    while (!m_requests.empty() && now - m_requests.front().arrivedAt >= m_limits.maxWait) {
        releaseFirst(handler);
    }
}

void RequestHold::releaseFirst(const Handler &handler)
{
    Held held = std::move(m_requests.front());
    m_requests.pop_front();
    m_bytes -= held.request.body.size();
    if (*held.disconnected) {
        return;
    }
    held.exchange->onDisconnected = nullptr;
    handler(std::move(held.request), held.exchange, held.arrivedAt);
}

} // namespace cuminscale
