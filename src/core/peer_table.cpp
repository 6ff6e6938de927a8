#include "core/peer_table.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

/// Heartbeats that a peer may miss before it gets no new work, and before it is forgotten.
constexpr int MissedUntilSuspect = 3;
constexpr int MissedUntilGone = 8;
/// Clocks drift apart, so a quick message is good for two of these periods only.
constexpr Duration EchoPeriod = seconds(10);

/// Whether the first message was under way for less time than the second; the clocks' difference cancels out.
bool isQuicker(const effect::SendPeer::Heard &first, const effect::SendPeer::Heard &second)
{
    return first.receivedAt - first.theirSentAt < second.receivedAt - second.theirSentAt;
}

} // namespace

Duration PeerTable::suspectAfter() const noexcept
{
    return std::max(m_timing.suspectAfter, m_period * MissedUntilSuspect);
}

Duration PeerTable::goneAfter() const noexcept
{
    return std::max(m_timing.goneAfter, m_period * MissedUntilGone);
}

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
    if (envelope.echo) {
        hearing.age = std::max(Duration::zero(), now - envelope.echo->theirSentAt - envelope.echo->held);
    }
    noteTime(now, envelope);
    return hearing;
}

void PeerTable::noteTime(TimePoint now, const Envelope &envelope)
{
    const effect::SendPeer::Heard heard{envelope.sentAt, now};
    Quickest &quickest = m_quickest[envelope.from.endpoint];
    if (quickest.incarnation != envelope.from.incarnation) {
        quickest = Quickest{envelope.from.incarnation, heard, heard, now};
        return;
    }
    if (now - quickest.periodBegan > EchoPeriod) {
        quickest.previous = quickest.current;
        quickest.current = heard;
        quickest.periodBegan = now;
    } else if (isQuicker(heard, quickest.current)) {
        quickest.current = heard;
    }
}

std::optional<effect::SendPeer::Heard> PeerTable::heardFrom(const ProcessId &peer) const
{
    const auto it = m_quickest.find(peer.endpoint);
    if (it == m_quickest.end() || it->second.incarnation != peer.incarnation) {
        return std::nullopt;
    }
    return isQuicker(it->second.previous, it->second.current) ? it->second.previous : it->second.current;
}

void PeerTable::addEchoes(Effects &effects, std::size_t first) const
{
    for (std::size_t i = first; i < effects.size(); ++i) {
        if (effect::SendPeer *message = std::get_if<effect::SendPeer>(&effects[i])) {
            message->heard = heardFrom(message->to);
        }
    }
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
            m_quickest.erase(it->first);
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
