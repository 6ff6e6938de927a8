/// Decision logic of an entry: caller requests, configuration and peer membership.
#pragma once

#include "core/active_config.h"
#include "core/pending_calls.h"

namespace cuminscale
{

/// The core of an entry process. It holds no job state: coordinators do, and a caller can resubmit through any entry.
class EntryCore : public Core
{
public:
    EntryCore(const CoreSettings &settings, Policies policies);

    void handle(TimePoint now, Event &&event, Effects &effects) override;

private:
    void onPeerMessage(Step &step, Envelope &&envelope);
    void onHeartbeat(Step &step, const ProcessId &from, const msg::Heartbeat &heartbeat);
    void onCallerRequest(Step &step, event::CallerRequestReceived &&received);
    void submit(Step &step, CallerTag tag, const JobSpec &spec, Duration declaredDeadline, const CallerRequest &call);
    void applyConfig(Step &step, CallerTag tag, call::ApplyConfig &&call);
    void onStoreWriteEnded(Step &step, const event::StoreWriteEnded &ended);
    /// Adopts a configuration if it is newer than the active one and pushes it to peers that report an older revision. A store
    /// that holds an older configuration, as after a restore, gets the active one written back.
    void offerConfig(Step &step, const ConfigVersion &version, bool fromStore);
    void pushConfigToOutdatedPeers(Step &step);
    void tick(Step &step);
    void sendEntryHeartbeats(Step &step);
    /// Ends the process once a shutdown was requested, MinDrainTime has passed and nothing is pending.
    void stopIfDrained(Step &step);
    /// Up to m_sampleSize other agents of the same service.
    std::vector<AgentSummary> sampleAgentsFor(Step &step, const AgentSummary &agent);
    /// Adapts the heartbeat interval of agents and the sample size to the number of agents and the control budget.
    void updateAgentHeartbeatInterval(Step &step);
    bool isReady(TimePoint now) const;
    StatusReport status(TimePoint now) const;
    void reply(Step &step, CallerTag tag, CallerReply reply);
    void refuse(Step &step, CallerTag tag, CallerReply::Kind kind, std::string reason);

    CoreSettings m_settings;
    Policies m_policies;
    Counters m_counters;
    Random m_random;
    PeerTable m_peers;
    ActiveConfig m_config;
    PendingCalls m_calls;
    std::vector<Endpoint> m_registeredEntries; ///< Entries registered in the store.
    std::unordered_map<CallerTag, ConfigVersion, IdHash> m_pendingWrites; ///< Operators' changes that the store has not answered.
    Duration m_agentHeartbeatInterval{0}; ///< Requested from agents in heartbeat replies.
    Duration m_entryHeartbeatInterval{0}; ///< Used for this entry's own heartbeats to other entries.
    std::size_t m_sampleSize = 0; ///< Most agents listed in one heartbeat reply.
    TimePoint m_lastHeartbeat;
    TimePoint m_leavingSince;
    TimePoint m_firstTick; ///< Zero until the first tick.
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace cuminscale
