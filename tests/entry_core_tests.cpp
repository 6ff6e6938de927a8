#include "core/entry_core.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

constexpr const char *Document = R"({"services": {}})";
const TimePoint Now{seconds(1000)};

/// An entry with revision 7 in force.
class ConfiguredEntry
{
public:
    explicit ConfiguredEntry(bool hasStore = true)
        : m_core(settingsWith(hasStore), makeDefaultPolicies(Limits()))
    {
        handle(event::StoreConfigSeen{ConfigVersion{Revision(7), "c7", Document, {}}});
    }

    Effects handle(Event event)
    {
        Effects effects;
        m_core.handle(Now, std::move(event), effects);
        return effects;
    }

private:
    static CoreSettings settingsWith(bool hasStore)
    {
        CoreSettings settings;
        settings.identity.self = ProcessId{Endpoint{1, 1}, Incarnation(1)};
        settings.hasStore = hasStore;
        return settings;
    }

    EntryCore m_core;
};

/// The first effect of a type, or nothing.
template <typename T>
const T *find(const Effects &effects)
{
    for (const Effect &effect : effects) {
        if (const T *found = std::get_if<T>(&effect)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("a change from an old revision is never written, but may turn out to have been accepted")
{
    ConfiguredEntry entry;
    const Effects asked = entry.handle(event::CallerAsked{CallerTag(1), call::ApplyConfig{Revision(5), "c6", Document}});
    const effect::WriteConfig *write = find<effect::WriteConfig>(asked);
    REQUIRE(write != nullptr);
    REQUIRE(write->lookOnly);
    const Effects ended =
        entry.handle(event::StoreWriteEnded{CallerTag(1), event::StoreWriteEnded::How::Written, ConfigVersion()});
    const effect::ReplyCaller *reply = find<effect::ReplyCaller>(ended);
    REQUIRE(reply != nullptr);
    REQUIRE(reply->reply.kind == CallerReply::Kind::Applied);
    REQUIRE(reply->reply.revision == Revision(6));
    const Effects shown = entry.handle(event::CallerAsked{CallerTag(2), call::ShowConfig()});
    REQUIRE(find<effect::ReplyCaller>(shown)->reply.revision == Revision(7));
}

TEST_CASE("a conflict shows what is in force, not what a restored store holds")
{
    ConfiguredEntry entry;
    entry.handle(event::CallerAsked{CallerTag(1), call::ApplyConfig{Revision(7), "mine", Document}});
    const ConfigVersion old{Revision(3), "c3", Document, {}};
    const Effects ended = entry.handle(event::StoreWriteEnded{CallerTag(1), event::StoreWriteEnded::How::Conflict, old});
    REQUIRE(find<effect::ReplyCaller>(ended)->reply.revision == Revision(7));
    const effect::WriteConfig *restored = find<effect::WriteConfig>(ended);
    REQUIRE(restored != nullptr);
    REQUIRE(restored->next.revision == Revision(7));
    REQUIRE_FALSE(restored->lookOnly);
}

TEST_CASE("a document that fails its checks, or an entry without a store, changes nothing")
{
    ConfiguredEntry entry;
    const Effects broken =
        entry.handle(event::CallerAsked{CallerTag(1), call::ApplyConfig{Revision(7), "c8", "{\"service\": 1}"}});
    REQUIRE(find<effect::WriteConfig>(broken) == nullptr);
    REQUIRE(find<effect::ReplyCaller>(broken)->reply.kind == CallerReply::Kind::BadRequest);
    const Effects arrived = entry.handle(event::StoreConfigSeen{ConfigVersion{Revision(9), "c9", "nonsense", {}}});
    REQUIRE(find<effect::SendPeer>(arrived) == nullptr);
    const Effects shown = entry.handle(event::CallerAsked{CallerTag(2), call::ShowConfig()});
    REQUIRE(find<effect::ReplyCaller>(shown)->reply.revision == Revision(7));
    ConfiguredEntry alone(false);
    const Effects refused = alone.handle(event::CallerAsked{CallerTag(1), call::ApplyConfig{Revision(7), "c8", Document}});
    REQUIRE(std::holds_alternative<NotRun>(find<effect::ReplyCaller>(refused)->reply.outcome));
}
