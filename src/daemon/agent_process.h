/// Process that runs an agent of the dispatch service.
#pragma once

#include "core/dispatch/agent_dispatch.h"
#include "daemon/dispatch_process.h"
#include "platform/server_gateway.h"
#include "platform/store_client.h"

namespace cuminscale
{

/// Connects the agent's dispatch core to the backend server (HTTP), to the entries (peer messages) and to the key-value store.
class AgentProcess : public DispatchProcess
{
public:
    AgentProcess(const DispatchSettings &settings, const std::string &settingsPath);

private:
    void onTick(TimePoint now, Duration lag) override;
    void onPeerMessage(const dispatch::Envelope &envelope) override;
    void onShutdownRequested(TimePoint now) override;
    bool shutdownDone(TimePoint now) override;
    void onSettings(const DispatchSettings &settings) override;
    std::string renderMetrics(TimePoint now) const override;

    platform::ServerGateway m_gateway;
    std::unique_ptr<dispatch::AgentDispatch> m_dispatch;
    std::unique_ptr<HttpServer> m_announcementServer;
    std::unique_ptr<platform::StoreClient> m_store;
    TimePoint m_lastContactAt; ///< Last tick at which an entry was live; process start before the first one.
    TimePoint m_lastLookupAt; ///< When the list of entries was last requested from the store.
};

} // namespace cuminscale
