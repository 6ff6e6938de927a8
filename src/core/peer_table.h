/// Membership and failure detection: the peers of a process, as seen from the messages it receives.
#pragma once

#include "core/step.h"

#include <map>
#include <unordered_map>

namespace cuminscale
{

/// One peer as seen by this process. Each process suspects peers on its own; suspicions are not exchanged.
struct Peer
{
    ProcessId id;
    AgentSummary summary;
    bool isEntry = false;
    bool hasSummary = false;
    TimePoint lastContact;
    TimePoint connectionReplacedAt;
};

/// Peers by address, each with its newest known incarnation. The incarnation at an address grows with every restart, so the
/// larger one is the newer one.
class PeerTable
{
public:
    explicit PeerTable(const Timing &timing)
        : m_timing(timing)
    { }

    /// Result of processing the envelope of a message.
    struct ReceivedMessage
    {
        bool accepted = false; ///< False if the sender is an older incarnation than the newest known one.
        std::optional<Duration> age; ///< Upper bound on the transit time; empty if the sender had nothing to echo yet.
        std::optional<ProcessId> ended; ///< An earlier incarnation that the message shows to have ended.
    };

    /// Updates the sender's incarnation, last contact and echo samples.
    ReceivedMessage recordMessage(TimePoint now, const Envelope &envelope);

    /// The timestamps to echo in a message to the peer; nothing if no message from this incarnation was received.
    std::optional<effect::SendPeer::EchoSource> echoSourceFor(const ProcessId &peer) const;

    /// Sets the timestamps to echo in the outgoing messages among the effects from `firstEffect` on.
    void attachEchoSources(Effects &effects, std::size_t firstEffect) const;

    /// Records the state that a peer reports of itself.
    void recordSummary(const ProcessId &from, const AgentSummary &summary, bool isEntry);

    /// Records the state that an entry reports of another agent, unless a newer incarnation of that agent is known. Replaces
    /// the recorded state of the same incarnation and counts as contact with the agent.
    void recordIndirectSummary(TimePoint now, const AgentSummary &summary);

    /// Updates the recorded free slots from a message other than a heartbeat, if the agent is of the recorded incarnation.
    void correctFreeSlots(const ProcessId &agent, std::uint32_t freeSlots);

    /// The newest known incarnation at an address.
    std::optional<Incarnation> incarnationAt(const Endpoint &endpoint) const;

    /// Sets the interval between heartbeats. A longer interval raises suspectAfter() and goneAfter().
    void setHeartbeatInterval(Duration interval) noexcept
    {
        m_heartbeatInterval = interval;
    }

    /// Time without contact after which a peer gets no new work.
    Duration suspectAfter() const noexcept;

    /// Time without contact after which a peer is removed.
    Duration goneAfter() const noexcept;

    /// Agents of the service that have slots, are not leaving and had contact within `silence`.
    std::vector<AgentSummary> usableAgents(TimePoint now, Duration silence, const std::string &service) const;

    /// Agents of all services with contact within `silence`.
    std::vector<AgentSummary> agents(TimePoint now, Duration silence) const;

    /// Entries with contact within `silence`.
    std::vector<ProcessId> entries(TimePoint now, Duration silence) const;

    /// Peers with contact within `silence` whose reported configuration revision is lower than the given one.
    std::vector<ProcessId> peersBelowRevision(TimePoint now, Duration silence, Revision revision) const;

    /// Removes and returns peers without contact for longer than `silence`.
    std::vector<ProcessId> removeSilent(TimePoint now, Duration silence);

    /// Peers without contact for longer than `silence` whose connection has not been replaced for as long. Marks the connections
    /// as replaced now.
    std::vector<Endpoint> takeConnectionsToReplace(TimePoint now, Duration silence);

private:
    /// Timestamps of the messages with the shortest transit from one incarnation of a peer, one for the current window and one
    /// for the previous. The peer derives an upper bound on the age of a message from the echo; the shorter the transit of the
    /// echoed message, the tighter the bound.
    struct EchoSamples
    {
        Incarnation incarnation;
        effect::SendPeer::EchoSource current;
        effect::SendPeer::EchoSource previous;
        TimePoint windowStart;
    };

    void recordEchoSample(TimePoint now, const Envelope &envelope);

    const Timing &m_timing;
    Duration m_heartbeatInterval{0};
    std::map<Endpoint, Peer> m_peers;
    std::unordered_map<Endpoint, EchoSamples, IdHash> m_echoSamples;
};

} // namespace cuminscale
