/// The platform's key-value store through the JSON form of the etcd v3 API.
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

/// How the store is reached and how often it is asked.
struct StoreSettings
{
    std::vector<Endpoint> endpoints;
    Duration leaseFor = seconds(10); ///< An entry that vanishes is off the list after this.
    Duration probeEvery = seconds(1); ///< The configuration is read this often, in case the watch has gone silent.
    Duration callTimeout = milliseconds(900);
    Duration writeFor = seconds(4); ///< A write whose answer was lost is looked into for this long.
};

/// Watches the configuration and the list of entries, registers this entry, and replaces the configuration by
/// compare-and-swap. Holds no connection open but the watch, and backs off with jitter while the store does not answer.
class EtcdStore : public StorePort
{
public:
    EtcdStore(boost::asio::io_context &context, StoreSettings settings, const ProcessId &self, EventSink &sink);
    ~EtcdStore() override;

    EtcdStore(const EtcdStore &) = delete;
    EtcdStore &operator=(const EtcdStore &) = delete;

    /// Begins to watch and to register.
    void start();

    /// Takes this entry off the list and ends all calls.
    void stop();

    void write(effect::WriteConfig &&write) override;

    /// Calls made so far, a waiting watch counted as one.
    std::uint64_t calls() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
