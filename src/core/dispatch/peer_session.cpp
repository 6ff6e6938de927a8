#include "core/dispatch/peer_session.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// Weight of a new sample in the average round trip.
constexpr int RoundTripSamples = 2;
/// A peer echoes a message with its next one, at the latest one heartbeat interval later.
constexpr Duration MaxEchoDelay = milliseconds(250);
/// Silence of the known incarnation after which a lower one is accepted even if its sending times are lower too: its machine has
/// rebooted. No connection delivers a message so late.
constexpr Duration AcceptEarlierSendingTimeAfter = seconds(10);

} // namespace

PeerSession::Arrival PeerSession::receive(const Envelope &envelope, Incarnation self, TimePoint now)
{
    if (envelope.from.incarnation < m_incarnation) {
        // A message that is delivered late has been sent before the latest one of the present incarnation, on the clock of the
        // same machine. That clock starts anew with the machine.
        const bool sentBefore = envelope.sentAt <= m_peerSentAt;
        if (now - m_lastReceivedAt < (sentBefore ? AcceptEarlierSendingTimeAfter : AcceptLowerIncarnationAfter)) {
            return Arrival::Outdated;
        }
    }
    if (envelope.toIncarnation != Incarnation() && envelope.toIncarnation != self) {
        return Arrival::Outdated;
    }
    const bool sameIncarnation = envelope.from.incarnation == m_incarnation;
    if (!sameIncarnation) {
        m_incarnation = envelope.from.incarnation;
        m_peerSentAt = TimePoint();
        m_unechoedSince = TimePoint();
        m_roundTrip = Duration(0);
        m_configVersion = 0;
    }
    m_lastReceivedAt = now;
    m_latestWasNewest = envelope.sentAt >= m_peerSentAt;
    if (m_latestWasNewest) {
        m_peerSentAt = envelope.sentAt;
        m_peerSentReceivedAt = now;
    }
    if (envelope.echoOf > m_replacedAt) {
        m_consecutiveReplacements = 0;
    }
    if (const std::optional<Duration> sample = maxAge(envelope, now); sample && m_latestWasNewest) {
        m_roundTrip += (std::max(*sample, Duration(0)) - m_roundTrip) / RoundTripSamples;
    }
    m_echoed = std::max(m_echoed, envelope.echoOf);
    m_configVersion = std::max(m_configVersion, envelope.configVersion);
    if (m_unechoedSince != TimePoint() && envelope.echoOf >= m_unechoedSince) {
        // Messages up to the echo have arrived. The sending times of later ones are not kept, so their timeout counts from the
        // last message sent.
        m_unechoedSince = envelope.echoOf >= m_sentAt ? TimePoint() : m_sentAt;
    }
    return sameIncarnation ? Arrival::SameIncarnation : Arrival::NewIncarnation;
}

Envelope PeerSession::makeEnvelope(const ProcessId &self, bool fromEntry, TimePoint now, Message &&message)
{
    Envelope envelope;
    envelope.from = self;
    envelope.toIncarnation = m_incarnation;
    envelope.fromEntry = fromEntry;
    envelope.sentAt = now;
    if (m_peerSentAt != TimePoint()) {
        envelope.echoOf = m_peerSentAt;
        envelope.echoHeld = now - m_peerSentReceivedAt;
    }
    envelope.message = std::move(message);
    m_sentAt = now;
    if (m_unechoedSince == TimePoint()) {
        m_unechoedSince = now;
    }
    return envelope;
}

std::optional<Duration> PeerSession::maxAge(const Envelope &envelope, TimePoint now)
{
    if (envelope.echoOf == TimePoint()) {
        return std::nullopt;
    }
    return (now - envelope.echoOf) - envelope.echoHeld;
}

Duration PeerSession::roundTrip(TimePoint now) const noexcept
{
    const Duration unechoed = m_unechoedSince == TimePoint() ? Duration(0) : now - m_unechoedSince - MaxEchoDelay;
    return std::max(m_roundTrip, unechoed);
}

bool PeerSession::outgoingTimedOut(TimePoint now)
{
    const Duration backoff = EchoTimeout * (1U << std::min(m_consecutiveReplacements, MaxBackoffDoublings));
    const bool overdue = m_unechoedSince != TimePoint() && now - m_unechoedSince > EchoTimeout;
    if (!overdue || now - m_replacedAt < backoff) {
        return false;
    }
    ++m_consecutiveReplacements;
    m_replacedAt = now;
    m_unechoedSince = TimePoint();
    return true;
}

} // namespace cuminscale::dispatch
