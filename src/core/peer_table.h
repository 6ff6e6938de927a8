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
    /// Whether a message is to be handled, how old it is, and which earlier life it has shown to be over.
    struct Hearing
    {
        bool accepted = false;
        Duration age{0};
        std::optional<ProcessId> ended;
    };

    /// Notes that a message has come in.
    Hearing heard(TimePoint now, const Envelope &envelope);

    /// Records a peer's own report.
    void report(const ProcessId &from, const AgentBrief &brief, bool isEntry);

    /// Records what an entry says of another agent; never overrides what was heard from the agent itself.
    void hearsay(TimePoint now, const AgentBrief &brief);

    /// Corrects the number of free slots from a message that carries a newer one.
    void correctFreeSlots(const ProcessId &agent, std::uint32_t freeSlots);

    /// The incarnation last heard at an address.
    std::optional<Incarnation> incarnationAt(const Endpoint &endpoint) const;

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
    /// Smallest difference between arrival and sending seen from one incarnation. What a message shows above it is the
    /// time it has waited somewhere; the two clocks need not agree.
    struct Offset
    {
        Incarnation incarnation;
        Duration smallest{0};
        TimePoint updated;
    };

    Duration ageOf(TimePoint now, const Envelope &envelope);

    std::map<Endpoint, Peer> m_peers;
    std::unordered_map<Endpoint, Offset, IdHash> m_offsets;
};

} // namespace cuminscale
