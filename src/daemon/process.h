/// An entry or agent process: the decision core, its adapters and their threads.
#pragma once

#include "adapters/etcd_store.h"
#include "adapters/http_backend.h"
#include "adapters/telemetry.h"
#include "adapters/zmq_peers.h"
#include "daemon/decision_loop.h"
#include "daemon/http_api.h"
#include "daemon/io_thread.h"
#include "daemon/settings_file.h"

#include <atomic>

namespace cuminscale
{

/// Owns all threads of the process. The constructor binds the addresses; run() starts the threads.
class Process
{
public:
    explicit Process(DaemonSettings settings);
    ~Process();

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// One line of JSON with the role, the bound addresses and the incarnation. Tools read it to learn the ports, which the
    /// operating system may have chosen.
    std::string describe() const;

    /// Runs until a shutdown requested by a signal is complete.
    void run();

private:
    void onCallerEffect(Effect &&effect);
    void onBackendEffect(Effect &&effect);
    void onStoreEffect(Effect &&effect);
    void onTelemetryEffect(Effect &&effect);
    void onPeerEffect(Effect &&effect);
    void buildCore();
    /// Waits for SIGTERM or SIGINT, and then until the core has finished its shutdown.
    void waitForShutdown();
    /// Waits, for a bounded time, until all pending HTTP requests have been answered.
    void waitForResponses();

    DaemonSettings m_settings;
    ZmqPeers m_peers;
    SpanStore m_spans;
    Telemetry m_telemetry;
    std::unique_ptr<Core> m_core;
    std::unique_ptr<DecisionLoop> m_loop;
    IoThread m_httpThread;
    IoThread m_backendThread;
    IoThread m_storeThread;
    IoThread m_telemetryThread;
    EventQueue *m_peerEvents = nullptr;
    EventQueue *m_signalEvents = nullptr;
    std::unique_ptr<BufferedRing<Effect>> m_peerEffects;
    std::unique_ptr<HttpApi> m_httpApi;
    std::unique_ptr<HttpBackend> m_backend;
    std::unique_ptr<EtcdStore> m_store;
    std::vector<std::pair<IoThread *, EventQueue *>> m_sources; ///< I/O threads, each with the queue of the events it produces.
    std::thread m_peerThread;
    std::atomic<bool> m_stopped = false; ///< Set once the core has finished its shutdown.
};

} // namespace cuminscale
