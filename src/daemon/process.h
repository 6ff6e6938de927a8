/// One process: the core, its adapters, and the threads that join them.
#pragma once

#include "adapters/etcd_store.h"
#include "adapters/http_backend.h"
#include "adapters/telemetry.h"
#include "adapters/zmq_peers.h"
#include "daemon/decision_loop.h"
#include "daemon/doors.h"
#include "daemon/duty.h"
#include "daemon/settings_file.h"

#include <atomic>

namespace cuminscale
{

/// Owns every thread of the process; the constructor binds the addresses, run() serves until the work is done.
class Process
{
public:
    explicit Process(DaemonSettings settings);
    ~Process();

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// One line of JSON that names the addresses, for whoever started the process.
    std::string describe() const;

    /// Serves until a shutdown has finished everything.
    void run();

private:
    void onCallerEffect(Effect &&effect);
    void onBackendEffect(Effect &&effect);
    void onStoreEffect(Effect &&effect);
    void onTelemetryEffect(Effect &&effect);
    void onPeerEffect(Effect &&effect);
    void buildCore();
    void waitForSignal();
    void finishAnswers();

    DaemonSettings m_settings;
    ZmqPeers m_peers;
    SpanStore m_spans;
    Telemetry m_telemetry;
    std::unique_ptr<Core> m_core;
    std::unique_ptr<DecisionLoop> m_loop;
    Duty m_http;
    Duty m_backendDuty;
    Duty m_storeDuty;
    Duty m_telemetryDuty;
    EventOutlet *m_peerEvents = nullptr;
    EventOutlet *m_signalEvents = nullptr;
    std::unique_ptr<Outlet<Effect>> m_peerEffects;
    std::unique_ptr<Doors> m_doors;
    std::unique_ptr<HttpBackend> m_backend;
    std::unique_ptr<EtcdStore> m_store;
    std::vector<std::pair<Duty *, EventOutlet *>> m_sources;
    std::thread m_peerThread;
    std::atomic<bool> m_stopped = false;
};

} // namespace cuminscale
