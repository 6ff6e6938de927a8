/// The decisions of an entry: callers' doors, the configuration, and who is there.
#pragma once

#include "core/config_keeper.h"
#include "core/pending_calls.h"

namespace cuminscale
{

/// The core of an entry process. It holds no state of any job.
class EntryCore : public Core
{
public:
    EntryCore(const CoreSettings &settings, Policies policies);

    void handle(TimePoint now, Event &&event, Effects &effects) override;

private:
    void onPeer(Step &step, Envelope &&envelope);
    void onHeartbeat(Step &step, const ProcessId &from, const msg::Heartbeat &heartbeat);
    void onCall(Step &step, event::CallerAsked &&asked);
    void submit(Step &step, CallerTag tag, const JobSpec &spec, Duration declared, const CallerCall &call);
    void applyConfig(Step &step, CallerTag tag, call::ApplyConfig &&call);
    void onWriteEnded(Step &step, const event::StoreWriteEnded &ended);
    void onConfigSeen(Step &step, const ConfigVersion &version, bool fromStore);
    void spreadConfig(Step &step);
    void tick(Step &step);
    void heartbeatEntries(Step &step);
    void drainIfDone(Step &step);
    std::vector<AgentBrief> sampleFor(Step &step, const AgentBrief &agent);
    void paceHeartbeats(Step &step);
    bool ready(TimePoint now) const;
    StatusReport status(TimePoint now) const;
    void reply(Step &step, CallerTag tag, CallerReply reply);
    void refuse(Step &step, CallerTag tag, CallerReply::Kind kind, std::string reason);

    CoreSettings m_settings;
    Policies m_policies;
    Counters m_counters;
    Random m_random;
    PeerTable m_peers;
    ConfigKeeper m_config;
    PendingCalls m_calls;
    std::vector<Endpoint> m_registered; ///< Entries that the store lists.
    std::unordered_map<CallerTag, ConfigVersion, IdHash> m_writes;
    Duration m_agentPeriod{0}; ///< How often agents are asked to send heartbeats here.
    Duration m_entryPeriod{0}; ///< How often this entry sends heartbeats to the others.
    std::size_t m_sampleSize = 0;
    TimePoint m_lastHeartbeat;
    TimePoint m_leavingSince;
    TimePoint m_began; ///< The first tick.
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace cuminscale
