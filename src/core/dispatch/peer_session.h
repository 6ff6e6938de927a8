/// Connection state that a process keeps for each peer: the incarnation, the time of the last message, and the echoes that bound
/// the age of messages.
#pragma once

#include "core/dispatch/messages.h"

namespace cuminscale::dispatch
{

/// Tracks the liveness of a peer and of the connection to it. Each direction uses its own connection, and either one can stop
/// delivering without an error.
///
/// Each message echoes the sending time of the newest message that its sender has received. From this the receiver bounds the age
/// of a message without synchronized clocks, and the sender of the echoed message detects an outgoing connection that loses
/// messages.
class PeerSession
{
public:
    /// A message without an echo for this long counts as lost, and its connection as broken. This is well above a round trip plus
    /// the heartbeat interval, and well below the shortest timeout after which a coordinator counts as failed.
    static constexpr Duration EchoTimeout = milliseconds(500);

    /// A lower incarnation is accepted once the known one has been silent for this long. Incarnations derive from the wall clock,
    /// which can be set back by a few seconds before a restart.
    static constexpr Duration AcceptLowerIncarnationAfter = seconds(2);

    explicit PeerSession(TimePoint now) noexcept
        : m_openedAt(now)
    { }

    /// How an incoming message relates to the known incarnation of the peer.
    enum class Arrival : std::uint8_t {
        SameIncarnation,
        NewIncarnation, ///< The peer has restarted; all state of its former incarnation is lost.
        Outdated, ///< From or to a former incarnation; must be dropped.
    };

    /// Updates the session with an incoming message, unless it is outdated.
    Arrival receive(const Envelope &envelope, Incarnation self, TimePoint now);

    /// Wraps a message to the peer in an envelope with the sender, the sending time and the echo.
    Envelope makeEnvelope(const ProcessId &self, bool fromEntry, TimePoint now, Message &&message);

    /// Upper bound of the time since a message was sent; nullopt when it has no echo of a message of this process.
    static std::optional<Duration> maxAge(const Envelope &envelope, TimePoint now);

    bool hasReceivedMessage() const noexcept
    {
        return m_lastReceivedAt != TimePoint();
    }

    Duration silence(TimePoint now) const noexcept
    {
        return now - (hasReceivedMessage() ? m_lastReceivedAt : m_openedAt);
    }

    /// Limit of the exponential backoff between replacements. A peer that does not answer over a new connection either is down or
    /// lacks CPU time, and every new connection costs it more CPU time.
    static constexpr std::uint32_t MaxBackoffDoublings = 3;

    /// Whether the outgoing connection must be replaced because the peer does not echo what was sent. The caller replaces it
    /// when true is returned; that happens at most once per EchoTimeout, less often with backoff.
    bool outgoingTimedOut(TimePoint now);

    /// Time that a message and its reply take at present. Grows while messages queue for the link or for the CPU of either
    /// process, also before the first delayed echo arrives.
    Duration roundTrip(TimePoint now) const noexcept;

    /// When the outgoing connection was last replaced; messages sent before may be lost.
    TimePoint connectionReplacedAt() const noexcept
    {
        return m_replacedAt;
    }

    TimePoint lastSentAt() const noexcept
    {
        return m_sentAt;
    }

    Incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    /// Newest sending time of this process that the peer has echoed. Messages sent up to then have arrived, or were lost with a
    /// connection that has been replaced since.
    TimePoint echoed() const noexcept
    {
        return m_echoed;
    }

    std::uint64_t configVersion() const noexcept
    {
        return m_configVersion;
    }

    /// Whether the message received last was also sent last by that incarnation. Older messages can arrive late over a replaced
    /// connection.
    bool latestWasNewest() const noexcept
    {
        return m_latestWasNewest;
    }

private:
    Incarnation m_incarnation;
    TimePoint m_openedAt;
    TimePoint m_lastReceivedAt;
    TimePoint m_peerSentAt; ///< Newest sending time of the peer, on its clock.
    TimePoint m_peerSentReceivedAt; ///< When that message arrived, on this process's clock.
    TimePoint m_sentAt;
    TimePoint m_echoed; ///< Newest sending time of this process that the peer has echoed.
    Duration m_roundTrip{0}; ///< Moving average.
    TimePoint m_unechoedSince; ///< Sending time of the oldest message without an echo; zero if there is none.
    TimePoint m_replacedAt;
    std::uint32_t m_consecutiveReplacements = 0; ///< Replacements since the last echo.
    std::uint64_t m_configVersion = 0;
    bool m_latestWasNewest = true;
};

} // namespace cuminscale::dispatch
