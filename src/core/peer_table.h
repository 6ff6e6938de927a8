/// What a process knows of the others, from messages alone.
#pragma once

#include "core/step.h"

#include <map>
#include <unordered_map>

namespace cuminscale
{

/// One peer as this process sees it. Suspicion is this observer's own; nobody else is told.
struct Peer
{
    ProcessId id;
    AgentBrief brief;
    bool isEntry = false;
    bool hasBrief = false;
    TimePoint lastHeard;
    TimePoint lastReplaced;
};

/// Peers by address, with the newest incarnation heard from each. Incarnations at one address grow with every restart, so
/// the larger one is the newer one.
class PeerTable
{
public:
    explicit PeerTable(const Timing &timing)
        : m_timing(timing)
    { }
    /// Whether a message is to be handled, how old it can be at most, and which earlier life it has shown to be over.
    struct Hearing
    {
        bool accepted = false;
        std::optional<Duration> age; ///< Nothing when the sender has not heard from this process yet.
        std::optional<ProcessId> ended;
    };

    /// Notes that a message has come in.
    Hearing heard(TimePoint now, const Envelope &envelope);

    /// What an answer to the peer may echo; nothing when this life of it was never heard.
    std::optional<effect::SendPeer::Heard> heardFrom(const ProcessId &peer) const;

    /// Adds to messages that are about to leave what their receivers may tell their age by.
    void addEchoes(Effects &effects, std::size_t first) const;

    /// Records a peer's own report.
    void report(const ProcessId &from, const AgentBrief &brief, bool isEntry);

    /// Records what an entry says of another agent; never overrides what was heard from the agent itself.
    void hearsay(TimePoint now, const AgentBrief &brief);

    /// Corrects the number of free slots from a message that carries a newer one.
    void correctFreeSlots(const ProcessId &agent, std::uint32_t freeSlots);

    /// The incarnation last heard at an address.
    std::optional<Incarnation> incarnationAt(const Endpoint &endpoint) const;

    /// How far apart heartbeats are; the limits on silence grow with it.
    void setPeriod(Duration period) noexcept
    {
        m_period = period;
    }

    /// The silence after which a peer gets no new work.
    Duration suspectAfter() const noexcept;

    /// The silence after which a peer is forgotten.
    Duration goneAfter() const noexcept;

    /// Agents of a service that are neither silent nor leaving.
    std::vector<AgentBrief> usableAgents(TimePoint now, Duration silence, const std::string &service) const;

    /// Every agent heard of within the silence, of all services.
    std::vector<AgentBrief> agents(TimePoint now, Duration silence) const;

    /// Entries heard from within the silence.
    std::vector<ProcessId> entries(TimePoint now, Duration silence) const;

    /// Peers heard within the silence that have reported a revision lower than the given one.
    std::vector<ProcessId> behind(TimePoint now, Duration silence, Revision revision) const;

    /// Forgets peers silent for longer than the limit and returns them.
    std::vector<ProcessId> forgetSilent(TimePoint now, Duration silence);

    /// Peers silent for longer than `silence` whose connection has not been replaced for as long.
    std::vector<Endpoint> dueForReplacement(TimePoint now, Duration silence);

private:
    /// The quickest message of one life of a peer, of the last two periods. The quicker it was, the closer is the age that
    /// the peer derives from its echo to the true one; it never falls below it.
    struct Quickest
    {
        Incarnation incarnation;
        effect::SendPeer::Heard current;
        effect::SendPeer::Heard previous;
        TimePoint periodBegan;
    };

    void noteTime(TimePoint now, const Envelope &envelope);

    const Timing &m_timing;
    Duration m_period{0};
    std::map<Endpoint, Peer> m_peers;
    std::unordered_map<Endpoint, Quickest, IdHash> m_quickest;
};

} // namespace cuminscale
