#include "core/dispatch/queue_config.h"

namespace cuminscale::dispatch
{

std::shared_ptr<const QueueRule> QueueConfig::match(std::string_view host, std::string_view path) const
{
    std::shared_ptr<const QueueRule> best;
    for (const std::shared_ptr<const QueueRule> &queue : queues) {
        const bool fits = queue->host == host && path.substr(0, queue->prefix.size()) == queue->prefix;
        if (fits && (!best || queue->prefix.size() > best->prefix.size())) {
            best = queue;
        }
    }
    return best;
}

} // namespace cuminscale::dispatch
