#include "core/entry_core.h"

#include <catch2/catch.hpp>

using namespace cuminscale;

namespace
{

constexpr const char *Document = R"({"services": {}})";
const TimePoint Now{seconds(1000)};

/// An entry whose active configuration has revision 7.
class ConfiguredEntry
{
public:
    explicit ConfiguredEntry(bool hasStore = true)
        : m_core(settingsWith(hasStore), makeDefaultPolicies(Limits()))
    {
        handle(event::StoreConfigRead{ConfigVersion{Revision(7), "c7", Document, {}}});
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

/// The first effect of a type, or null.
template <typename T>
const T *findEffect(const Effects &effects)
{
    for (const Effect &effect : effects) {
        if (const T *found = std::get_if<T>(&effect)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("a change based on an old revision is not written, but reported as applied if it was applied earlier")
{
    ConfiguredEntry entry;
    const Effects requested =
        entry.handle(event::CallerRequestReceived{CallerTag(1), call::ApplyConfig{Revision(5), "c6", Document}});
    const effect::WriteConfig *write = findEffect<effect::WriteConfig>(requested);
    REQUIRE(write != nullptr);
    REQUIRE(write->checkOnly);
    const Effects ended =
        entry.handle(event::StoreWriteEnded{CallerTag(1), event::StoreWriteEnded::How::Written, ConfigVersion()});
    const effect::ReplyCaller *reply = findEffect<effect::ReplyCaller>(ended);
    REQUIRE(reply != nullptr);
    REQUIRE(reply->reply.kind == CallerReply::Kind::Applied);
    REQUIRE(reply->reply.revision == Revision(6));
    const Effects shown = entry.handle(event::CallerRequestReceived{CallerTag(2), call::ShowConfig()});
    REQUIRE(findEffect<effect::ReplyCaller>(shown)->reply.revision == Revision(7));
}

TEST_CASE("a conflict with a store restored from a backup reports the active configuration and writes it back")
{
    ConfiguredEntry entry;
    entry.handle(event::CallerRequestReceived{CallerTag(1), call::ApplyConfig{Revision(7), "mine", Document}});
    const ConfigVersion old{Revision(3), "c3", Document, {}};
    const Effects ended = entry.handle(event::StoreWriteEnded{CallerTag(1), event::StoreWriteEnded::How::Conflict, old});
    REQUIRE(findEffect<effect::ReplyCaller>(ended)->reply.revision == Revision(7));
    const effect::WriteConfig *restored = findEffect<effect::WriteConfig>(ended);
    REQUIRE(restored != nullptr);
    REQUIRE(restored->next.revision == Revision(7));
    REQUIRE_FALSE(restored->checkOnly);
}

TEST_CASE("invalid documents, and changes at an entry without a store, leave the configuration unchanged")
{
    ConfiguredEntry entry;
    const Effects invalid =
        entry.handle(event::CallerRequestReceived{CallerTag(1), call::ApplyConfig{Revision(7), "c8", "{\"service\": 1}"}});
    REQUIRE(findEffect<effect::WriteConfig>(invalid) == nullptr);
    REQUIRE(findEffect<effect::ReplyCaller>(invalid)->reply.kind == CallerReply::Kind::BadRequest);
    const Effects received = entry.handle(event::StoreConfigRead{ConfigVersion{Revision(9), "c9", "nonsense", {}}});
    REQUIRE(findEffect<effect::SendPeer>(received) == nullptr);
    const Effects shown = entry.handle(event::CallerRequestReceived{CallerTag(2), call::ShowConfig()});
    REQUIRE(findEffect<effect::ReplyCaller>(shown)->reply.revision == Revision(7));
    ConfiguredEntry entryWithoutStore(false);
    const Effects refused =
        entryWithoutStore.handle(event::CallerRequestReceived{CallerTag(1), call::ApplyConfig{Revision(7), "c8", Document}});
    REQUIRE(std::holds_alternative<NotRun>(findEffect<effect::ReplyCaller>(refused)->reply.outcome));
}
