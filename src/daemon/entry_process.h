/// Process that runs an entry of the dispatch service.
#pragma once

#include "core/dispatch/entry_dispatch.h"
#include "daemon/dispatch_process.h"
#include "daemon/request_hold.h"
#include "platform/client_gateway.h"
#include "platform/store_client.h"

namespace cuminscale
{

/// Connects the entry's dispatch core to the clients (HTTP), to agents and other entries (peer messages) and to the key-value
/// store.
class EntryProcess : public DispatchProcess
{
public:
    EntryProcess(const DispatchSettings &settings, const std::string &settingsPath);

private:
    void onTick(TimePoint now, Duration lag) override;
    void onPeerMessage(const dispatch::Envelope &envelope) override;
    void onShutdownRequested(TimePoint now) override;
    bool shutdownDone(TimePoint now) override;
    void onSettings(const DispatchSettings &settings) override;
    std::string renderMetrics(TimePoint now) const override;
    void onStopped() override;

    /// Applies a configuration document that is newer than the current one. `source` goes to the log: "store" or "peer".
    void applyConfig(const std::string &document, const char *source);
    /// Handles a client's request, or holds it until the first configuration is known.
    void receiveRequest(HttpRequest &&request, const std::shared_ptr<HttpExchange> &exchange);
    /// Handles the requests that have waited for the first configuration.
    void releaseUnconfigured();
    /// Whether the load balancer should route new connections to this entry.
    bool isReady(TimePoint now) const;

    platform::ClientGateway m_gateway;
    RequestHold m_unconfigured; ///< Requests that arrived before the first configuration.
    std::unique_ptr<dispatch::EntryDispatch> m_dispatch;
    bool m_lastTurnTaken = false; ///< The process exits with the next tick.
    std::unique_ptr<platform::StoreClient> m_store;
    std::unique_ptr<HttpServer> m_clientServer;
    std::unique_ptr<HttpServer> m_readyServer;
};

} // namespace cuminscale
