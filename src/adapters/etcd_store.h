/// Client of the platform's key-value store, using the etcd v3 JSON API. Single-threaded except for EtcdStore::calls().
#pragma once

#include "adapters/http_client.h"
#include "ports/ports.h"

#include <memory>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace cuminscale
{

struct StoreSettings
{
    std::vector<Endpoint> endpoints;
    Duration leaseDuration = seconds(10); ///< Lease time to live: a crashed entry stays registered this long.
    Duration probeInterval = seconds(1); ///< Interval at which the configuration is read to detect a stalled watch.
    Duration callTimeout = milliseconds(900); ///< Timeout of one request.
    Duration writeTimeout = seconds(4); ///< No retry of a configuration write is scheduled after this time.
};

/// Watches the configuration and the registered entries, registers this entry under a lease, and replaces the configuration by
/// compare-and-swap. While the store is unreachable, retries with jittered exponential backoff.
class EtcdStore : public StorePort
{
public:
    EtcdStore(boost::asio::io_context &context, StoreSettings settings, const ProcessId &self, EventSink &sink);
    ~EtcdStore() override;

    EtcdStore(const EtcdStore &) = delete;
    EtcdStore &operator=(const EtcdStore &) = delete;

    /// Starts the watch and the registration.
    void start();

    /// Revokes the lease, which removes the registration, and stops the watch and all timers. A configuration write in
    /// progress is not cancelled: an attempt that has started or is already scheduled is still made, but no later one.
    void stop();

    void write(effect::WriteConfig &&write) override;

    /// Number of requests sent so far; a watch counts as one. Safe to call from any thread.
    std::uint64_t calls() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
