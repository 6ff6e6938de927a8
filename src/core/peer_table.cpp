#include "core/peer_table.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

/// Clocks of two machines drift apart by less than one part in this many.
constexpr std::int64_t DriftDivisor = 5000;

} // namespace

PeerTable::Hearing PeerTable::heard(TimePoint now, const Envelope &envelope)
{
    Hearing hearing;
    Peer &peer = m_peers[envelope.from.endpoint];
    const Incarnation known = peer.id.incarnation;
    if (envelope.from.incarnation < known) {
        return hearing;
    }
    if (envelope.from.incarnation > known) {
        if (known != Incarnation()) {
            hearing.ended = peer.id;
        }
        peer = Peer();
        peer.id = envelope.from;
        peer.lastReplaced = now;
    }
    peer.lastHeard = now;
    hearing.accepted = true;
    hearing.age = ageOf(now, envelope);
    return hearing;
}

Duration PeerTable::ageOf(TimePoint now, const Envelope &envelope)
{
    const Duration difference = now - envelope.sentAt;
    Offset &offset = m_offsets[envelope.from.endpoint];
    if (offset.incarnation != envelope.from.incarnation) {
        offset = Offset{envelope.from.incarnation, difference, now};
        return Duration::zero();
    }
    const Duration drift = (now - offset.updated) / DriftDivisor;
    offset.smallest = std::min(difference, offset.smallest + drift);
    offset.updated = now;
    return difference - offset.smallest;
}

void PeerTable::report(const ProcessId &from, const AgentBrief &brief, bool isEntry)
{
    Peer &peer = m_peers[from.endpoint];
    peer.brief = brief;
    peer.brief.agent = from;
    peer.isEntry = isEntry;
    peer.hasBrief = true;
}

void PeerTable::hearsay(TimePoint now, const AgentBrief &brief)
{
    Peer &peer = m_peers[brief.agent.endpoint];
    if (brief.agent.incarnation < peer.id.incarnation) {
        return;
    }
    if (brief.agent.incarnation > peer.id.incarnation) {
        peer = Peer();
        peer.id = brief.agent;
        peer.lastReplaced = now;
    }
    peer.brief = brief;
    peer.hasBrief = true;
    peer.lastHeard = now;
}

void PeerTable::correctFreeSlots(const ProcessId &agent, std::uint32_t freeSlots)
{
    const auto it = m_peers.find(agent.endpoint);
    if (it != m_peers.end() && it->second.id == agent) {
        it->second.brief.freeSlots = freeSlots;
    }
}

std::optional<Incarnation> PeerTable::incarnationAt(const Endpoint &endpoint) const
{
    const auto it = m_peers.find(endpoint);
    if (it == m_peers.end() || it->second.id.incarnation == Incarnation()) {
        return std::nullopt;
    }
    return it->second.id.incarnation;
}

std::vector<AgentBrief> PeerTable::usableAgents(TimePoint now, Duration silence, const std::string &service) const
{
    std::vector<AgentBrief> result;
    for (const auto &[endpoint, peer] : m_peers) {
        const bool usable = peer.hasBrief && !peer.isEntry && !peer.brief.leaving && now - peer.lastHeard <= silence;
        if (usable && peer.brief.service == service && peer.brief.slots > 0) {
            result.push_back(peer.brief);
        }
    }
    return result;
}

std::vector<AgentBrief> PeerTable::agents(TimePoint now, Duration silence) const
{
    std::vector<AgentBrief> result;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.hasBrief && !peer.isEntry && now - peer.lastHeard <= silence) {
            result.push_back(peer.brief);
        }
    }
    return result;
}

std::vector<ProcessId> PeerTable::entries(TimePoint now, Duration silence) const
{
    std::vector<ProcessId> result;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.isEntry && now - peer.lastHeard <= silence) {
            result.push_back(peer.id);
        }
    }
    return result;
}

std::vector<ProcessId> PeerTable::behind(TimePoint now, Duration silence, Revision revision) const
{
    std::vector<ProcessId> result;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.hasBrief && peer.brief.revision < revision && now - peer.lastHeard <= silence) {
            result.push_back(peer.id);
        }
    }
    return result;
}

std::vector<ProcessId> PeerTable::forgetSilent(TimePoint now, Duration silence)
{
    std::vector<ProcessId> result;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.lastHeard > silence) {
            result.push_back(it->second.id);
            m_offsets.erase(it->first);
            it = m_peers.erase(it);
        } else {
            ++it;
        }
    }
    return result;
}

std::vector<Endpoint> PeerTable::dueForReplacement(TimePoint now, Duration silence)
{
    std::vector<Endpoint> result;
    for (auto &[endpoint, peer] : m_peers) {
        if (now - peer.lastHeard > silence && now - peer.lastReplaced > silence) {
            peer.lastReplaced = now;
            result.push_back(endpoint);
        }
    }
    return result;
}

} // namespace cuminscale
