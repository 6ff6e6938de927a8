#include "adapters/peer_codec.h"
#include "core/entry_core.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

/// Agents attached to one entry at the design size: 1,700 agents, each attached to 3 of 42 entries.
constexpr std::uint32_t AttachedAgents = 122;
constexpr double ControlBytesPerSecond = 9000;
const ProcessId Entry{Endpoint{1, 1}, Incarnation(1)};

ProcessId agentAt(std::uint32_t i)
{
    return ProcessId{Endpoint{0x0a000000 + i, 7000}, Incarnation(0x661c908fa4b42eda + i)};
}

Envelope heartbeatOf(std::uint32_t i, TimePoint now)
{
    const AgentSummary summary{agentAt(i), "map-ordering", "domain-a", 8, 3, 2, Revision(4000), false};
    return Envelope{agentAt(i), Incarnation(), now, Echo{now, Duration(1)}, msg::Heartbeat{summary, false, {}}};
}

} // namespace

TEST_CASE("an entry adapts the heartbeat period of its agents to its control traffic budget")
{
    CoreSettings settings;
    settings.identity.self = Entry;
    EntryCore core(settings, makeDefaultPolicies(settings.limits));
    std::vector<TimePoint> nextHeartbeat(AttachedAgents);
    std::uint64_t bytes = 0;
    TimePoint now{seconds(1000)};
    const TimePoint measureStart = now + seconds(60);
    const TimePoint end = measureStart + seconds(120);
    for (std::uint32_t i = 0; i < AttachedAgents; ++i) {
        nextHeartbeat[i] = now + milliseconds(4) * i;
    }
    std::size_t knownAgents = 0;
    for (; now < end; now += milliseconds(20)) {
        Effects effects;
        core.handle(now, event::Tick{}, effects);
        for (std::uint32_t i = 0; i < AttachedAgents; ++i) {
            if (nextHeartbeat[i] > now) {
                continue;
            }
            const Envelope heartbeat = heartbeatOf(i, now);
            bytes += now < measureStart ? 0 : encodeEnvelope(heartbeat).size();
            core.handle(now, event::PeerMessageReceived{heartbeat}, effects);
            nextHeartbeat[i] = now + settings.timing.heartbeatInterval;
        }
        for (Effect &effect : effects) {
            effect::SendPeer *message = std::get_if<effect::SendPeer>(&effect);
            if (message == nullptr) {
                continue;
            }
            if (const msg::HeartbeatReply *reply = std::get_if<msg::HeartbeatReply>(&message->message)) {
                nextHeartbeat[message->to.endpoint.ip - 0x0a000000] = now + reply->nextAfter;
                knownAgents = reply->agents.size();
            }
            if (const msg::Mint *mint = std::get_if<msg::Mint>(&message->message)) {
                const Envelope minted{message->to, Entry.incarnation, now, std::nullopt, msg::Minted{Sequence(1), mint->count}};
                Effects ignoredEffects;
                core.handle(now, event::PeerMessageReceived{minted}, ignoredEffects);
            }
            bytes += now < measureStart ? 0 : encodeEnvelope(std::move(*message).makeEnvelope(Entry, now)).size();
        }
    }
    const double bytesPerSecond = static_cast<double>(bytes) / std::chrono::duration<double>(end - measureStart).count();
    INFO(bytesPerSecond << " bytes a second");
    REQUIRE(bytesPerSecond <= ControlBytesPerSecond);
    // A much lower rate would mean that load reports are too infrequent for placement.
    REQUIRE(bytesPerSecond > ControlBytesPerSecond / 4);
    REQUIRE(knownAgents > 0);
}
