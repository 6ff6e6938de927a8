#include "adapters/peer_codec.h"
#include "core/entry_core.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

/// Agents attached to one entry at the size to design for: 1,700, each to 3 of 42 entries.
constexpr std::uint32_t Attached = 122;
constexpr double ControlBytesPerSecond = 9000;
const ProcessId Entry{Endpoint{1, 1}, Incarnation(1)};

ProcessId agentAt(std::uint32_t i)
{
    return ProcessId{Endpoint{0x0a000000 + i, 7000}, Incarnation(0x661c908fa4b42eda + i)};
}

Envelope heartbeatOf(std::uint32_t i, TimePoint now)
{
    const AgentBrief brief{agentAt(i), "map-ordering", "domain-a", 8, 3, 2, Revision(4000), false};
    return Envelope{agentAt(i), Incarnation(), now, Echo{now, Duration(1)}, msg::Heartbeat{brief, false, {}}};
}

} // namespace

TEST_CASE("an entry paces the heartbeats of its agents to its control budget")
{
    CoreSettings settings;
    settings.identity.self = Entry;
    EntryCore core(settings, makeDefaultPolicies(settings.limits));
    std::vector<TimePoint> next(Attached);
    std::uint64_t bytes = 0;
    TimePoint now{seconds(1000)};
    const TimePoint measureFrom = now + seconds(60);
    const TimePoint end = measureFrom + seconds(120);
    for (std::uint32_t i = 0; i < Attached; ++i) {
        next[i] = now + milliseconds(4) * i;
    }
    std::size_t known = 0;
    for (; now < end; now += milliseconds(20)) {
        Effects effects;
        core.handle(now, event::Tick{}, effects);
        for (std::uint32_t i = 0; i < Attached; ++i) {
            if (next[i] > now) {
                continue;
            }
            const Envelope heartbeat = heartbeatOf(i, now);
            bytes += now < measureFrom ? 0 : encodeEnvelope(heartbeat).size();
            core.handle(now, event::PeerArrived{heartbeat}, effects);
            next[i] = now + settings.timing.heartbeatEvery;
        }
        for (Effect &effect : effects) {
            effect::SendPeer *message = std::get_if<effect::SendPeer>(&effect);
            if (message == nullptr) {
                continue;
            }
            if (const msg::HeartbeatReply *reply = std::get_if<msg::HeartbeatReply>(&message->message)) {
                next[message->to.endpoint.ip - 0x0a000000] = now + reply->nextAfter;
                known = reply->agents.size();
            }
            if (const msg::Mint *mint = std::get_if<msg::Mint>(&message->message)) {
                const Envelope minted{message->to, Entry.incarnation, now, std::nullopt, msg::Minted{Sequence(1), mint->count}};
                Effects none;
                core.handle(now, event::PeerArrived{minted}, none);
            }
            bytes += now < measureFrom ? 0 : encodeEnvelope(std::move(*message).seal(Entry, now)).size();
        }
    }
    const double perSecond = static_cast<double>(bytes) / std::chrono::duration<double>(end - measureFrom).count();
    INFO(perSecond << " bytes a second");
    REQUIRE(perSecond <= ControlBytesPerSecond);
    // A budget that is not used at all would leave placement without news.
    REQUIRE(perSecond > ControlBytesPerSecond / 4);
    REQUIRE(known > 0);
}
