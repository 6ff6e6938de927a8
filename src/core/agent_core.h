/// The decisions of an agent: a coordinator of submissions and the executor beside a backend server.
#pragma once

#include "core/config_keeper.h"
#include "core/coordinator.h"
#include "core/executor.h"
#include "core/peer_table.h"
#include "core/succession.h"

namespace cuminscale
{

/// The core of an agent process.
class AgentCore : public Core
{
public:
    AgentCore(const CoreSettings &settings, Policies policies);

    void handle(TimePoint now, Event &&event, Effects &effects) override;

private:
    void onPeer(Step &step, Envelope &&envelope);
    void dispatch(Step &step, const ProcessId &from, Message &&message, std::optional<Duration> age);
    void onHeartbeatReply(Step &step, const ProcessId &from, const msg::HeartbeatReply &reply);
    void onConfigPush(Step &step, const ProcessId &from, const msg::ConfigPush &push);
    void onProcessEnded(Step &step, const ProcessId &ended);
    void onCall(Step &step, const event::CallerAsked &asked);
    void onShutdown(Step &step);
    void tick(Step &step);
    void leave(Step &step);
    void handOver(Step &step);
    void chooseSuccessor(Step &step);
    void stop(Step &step);
    void finishStep(Step &step);
    void heartbeat(Step &step);
    void chooseEntries(Step &step);
    AgentBrief ownBrief(TimePoint now) const;
    StatusReport status(TimePoint now) const;

    CoreSettings m_settings;
    Policies m_policies;
    Counters m_counters;
    Random m_random;
    PeerTable m_peers;
    ConfigKeeper m_config;
    Coordinator m_coordinator;
    Executor m_executor;
    Inheritance m_inheritance;
    Handover m_handover;
    std::set<ProcessId> m_triedSuccessors;
    std::vector<Endpoint> m_entries; ///< Entries that this agent heartbeats to.
    std::vector<Endpoint> m_knownEntries; ///< Entries that the last reply named.
    Duration m_period{0}; ///< What the entries want heartbeats to be apart.
    TimePoint m_lastHeartbeat;
    TimePoint m_leavingSince;
    TimePoint m_handedOver;
    bool m_leaving = false;
    bool m_heartbeatDue = true;
    bool m_stopped = false;
};

} // namespace cuminscale
