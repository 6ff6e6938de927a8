#include "core/peer_table.h"

#include <algorithm>

namespace cuminscale
{

namespace
{

/// Heartbeat intervals without contact after which a peer gets no new work, and after which it is removed.
constexpr int MissedHeartbeatsUntilSuspect = 3;
constexpr int MissedHeartbeatsUntilRemoved = 8;
/// Clock drift makes old transit times incomparable, so a sample is used for at most two windows.
constexpr Duration EchoWindow = seconds(10);

/// Whether the first message had a shorter transit than the second. The offset between the two clocks cancels out.
bool hasShorterTransit(const effect::SendPeer::EchoSource &first, const effect::SendPeer::EchoSource &second)
{
    return first.receivedAt - first.peerSentAt < second.receivedAt - second.peerSentAt;
}

} // namespace

Duration PeerTable::suspectAfter() const noexcept
{
    return std::max(m_timing.suspectAfter, m_heartbeatInterval * MissedHeartbeatsUntilSuspect);
}

Duration PeerTable::goneAfter() const noexcept
{
    return std::max(m_timing.goneAfter, m_heartbeatInterval * MissedHeartbeatsUntilRemoved);
}

PeerTable::ReceivedMessage PeerTable::recordMessage(TimePoint now, const Envelope &envelope)
{
    ReceivedMessage received;
    Peer &peer = m_peers[envelope.from.endpoint];
    const Incarnation known = peer.id.incarnation;
    if (envelope.from.incarnation < known) {
        return received;
    }
    if (envelope.from.incarnation > known) {
        if (known != Incarnation()) {
            received.ended = peer.id;
        }
        peer = Peer();
        peer.id = envelope.from;
        peer.connectionReplacedAt = now;
    }
    peer.lastContact = now;
    received.accepted = true;
    if (envelope.echo) {
        received.age = std::max(Duration::zero(), now - envelope.echo->peerSentAt - envelope.echo->held);
    }
    recordEchoSample(now, envelope);
    return received;
}

void PeerTable::recordEchoSample(TimePoint now, const Envelope &envelope)
{
    const effect::SendPeer::EchoSource source{envelope.sentAt, now};
    EchoSamples &samples = m_echoSamples[envelope.from.endpoint];
    if (samples.incarnation != envelope.from.incarnation) {
        samples = EchoSamples{envelope.from.incarnation, source, source, now};
        return;
    }
    if (now - samples.windowStart > EchoWindow) {
        samples.previous = samples.current;
        samples.current = source;
        samples.windowStart = now;
    } else if (hasShorterTransit(source, samples.current)) {
        samples.current = source;
    }
}

std::optional<effect::SendPeer::EchoSource> PeerTable::echoSourceFor(const ProcessId &peer) const
{
    const auto it = m_echoSamples.find(peer.endpoint);
    if (it == m_echoSamples.end() || it->second.incarnation != peer.incarnation) {
        return std::nullopt;
    }
    return hasShorterTransit(it->second.previous, it->second.current) ? it->second.previous : it->second.current;
}

void PeerTable::attachEchoSources(Effects &effects, std::size_t firstEffect) const
{
    for (std::size_t i = firstEffect; i < effects.size(); ++i) {
        if (effect::SendPeer *message = std::get_if<effect::SendPeer>(&effects[i])) {
            message->echoSource = echoSourceFor(message->to);
        }
    }
}

void PeerTable::recordSummary(const ProcessId &from, const AgentSummary &summary, bool isEntry)
{
    Peer &peer = m_peers[from.endpoint];
    peer.summary = summary;
    peer.summary.agent = from;
    peer.isEntry = isEntry;
    peer.hasSummary = true;
}

void PeerTable::recordIndirectSummary(TimePoint now, const AgentSummary &summary)
{
    Peer &peer = m_peers[summary.agent.endpoint];
    if (summary.agent.incarnation < peer.id.incarnation) {
        return;
    }
    if (summary.agent.incarnation > peer.id.incarnation) {
        peer = Peer();
        peer.id = summary.agent;
        peer.connectionReplacedAt = now;
    }
    peer.summary = summary;
    peer.hasSummary = true;
    peer.lastContact = now;
}

void PeerTable::correctFreeSlots(const ProcessId &agent, std::uint32_t freeSlots)
{
    const auto it = m_peers.find(agent.endpoint);
    if (it != m_peers.end() && it->second.id == agent) {
        it->second.summary.freeSlots = freeSlots;
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

std::vector<AgentSummary> PeerTable::usableAgents(TimePoint now, Duration silence, const std::string &service) const
{
    std::vector<AgentSummary> result;
    for (const auto &[endpoint, peer] : m_peers) {
        const bool usable = peer.hasSummary && !peer.isEntry && !peer.summary.leaving && now - peer.lastContact <= silence;
        if (usable && peer.summary.service == service && peer.summary.slots > 0) {
            result.push_back(peer.summary);
        }
    }
    return result;
}

std::vector<AgentSummary> PeerTable::agents(TimePoint now, Duration silence) const
{
    std::vector<AgentSummary> result;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.hasSummary && !peer.isEntry && now - peer.lastContact <= silence) {
            result.push_back(peer.summary);
        }
    }
    return result;
}

std::vector<ProcessId> PeerTable::entries(TimePoint now, Duration silence) const
{
    std::vector<ProcessId> result;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.isEntry && now - peer.lastContact <= silence) {
            result.push_back(peer.id);
        }
    }
    return result;
}

std::vector<ProcessId> PeerTable::peersBelowRevision(TimePoint now, Duration silence, Revision revision) const
{
    std::vector<ProcessId> result;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.hasSummary && peer.summary.revision < revision && now - peer.lastContact <= silence) {
            result.push_back(peer.id);
        }
    }
    return result;
}

std::vector<ProcessId> PeerTable::removeSilent(TimePoint now, Duration silence)
{
    std::vector<ProcessId> result;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.lastContact > silence) {
            result.push_back(it->second.id);
            m_echoSamples.erase(it->first);
            it = m_peers.erase(it);
        } else {
            ++it;
        }
    }
    return result;
}

std::vector<Endpoint> PeerTable::takeConnectionsToReplace(TimePoint now, Duration silence)
{
    std::vector<Endpoint> result;
    for (auto &[endpoint, peer] : m_peers) {
        if (now - peer.lastContact > silence && now - peer.connectionReplacedAt > silence) {
            peer.connectionReplacedAt = now;
            result.push_back(endpoint);
        }
    }
    return result;
}

} // namespace cuminscale
