/// Decision logic of an agent, which coordinates submissions and executes tasks at its backend server.
#pragma once

#include "core/active_config.h"
#include "core/coordinator.h"
#include "core/executor.h"
#include "core/peer_table.h"
#include "core/succession.h"

namespace cuminscale
{

/// The core of an agent process: a coordinator and an executor, with heartbeats, configuration and orderly shutdown.
class AgentCore : public Core
{
public:
    AgentCore(const CoreSettings &settings, Policies policies);

    void handle(TimePoint now, Event &&event, Effects &effects) override;

private:
    void onPeerMessage(Step &step, Envelope &&envelope);
    void handleMessage(Step &step, const ProcessId &from, Message &&message, std::optional<Duration> age);
    void onHeartbeatReply(Step &step, const ProcessId &from, const msg::HeartbeatReply &reply);
    void onConfigPush(Step &step, const ProcessId &from, const msg::ConfigPush &push);
    void onProcessEnded(Step &step, const ProcessId &ended);
    void onStatusRequest(Step &step, const event::CallerRequestReceived &received);
    void onShutdown(Step &step);
    void tick(Step &step);
    /// Drains, hands the submission records off to another agent, then ends the process.
    void continueShutdown(Step &step);
    void startHandoff(Step &step);
    /// Starts the handoff to an agent that has not been tried yet. If there is none, the process ends without a handoff.
    void chooseSuccessor(Step &step);
    void stop(Step &step);
    /// Delivers the messages that the process has sent to itself until there are none left, and sends heartbeats if due.
    void finishEvent(Step &step);
    void sendHeartbeats(Step &step);
    /// Selects the entries that get this agent's heartbeats.
    void attachToEntries(Step &step);
    AgentSummary ownSummary(TimePoint now) const;
    StatusReport status(TimePoint now) const;

    CoreSettings m_settings;
    Policies m_policies;
    Counters m_counters;
    Random m_random;
    PeerTable m_peers;
    ActiveConfig m_config;
    Coordinator m_coordinator;
    Executor m_executor;
    TakenOverRecords m_takenOverRecords;
    HandoffSender m_handoffSender;
    std::set<ProcessId> m_triedSuccessors; ///< Agents that refused the records or did not answer.
    std::vector<Endpoint> m_attachedEntries; ///< Entries that this agent sends heartbeats to.
    std::vector<Endpoint> m_knownEntries; ///< Entries listed in the last heartbeat reply, without those removed as silent.
    Duration m_heartbeatInterval{0}; ///< Derived from the intervals that entries request in heartbeat replies.
    TimePoint m_lastHeartbeat;
    TimePoint m_leavingSince;
    TimePoint m_handoffFinished;
    bool m_leaving = false;
    bool m_heartbeatDue = true;
    bool m_stopped = false;
};

} // namespace cuminscale
