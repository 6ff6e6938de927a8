#include "core/config_keeper.h"

namespace cuminscale
{

ConfigKeeper::Verdict ConfigKeeper::offer(Step &step, const ConfigVersion &version)
{
    if (version.revision < m_version.revision) {
        return Verdict::Older;
    }
    if (version.revision == m_version.revision && version.changeId <= m_version.changeId) {
        return version.changeId == m_version.changeId ? Verdict::AlreadyHeld : Verdict::Older;
    }
    ConfigError error;
    std::optional<ConfigDocument> document = parseConfigDocument(version.document, error);
    if (!document) {
        step.count(Counter::ConfigRefused);
        step.log(LogLevel::Error, "config",
                 "Revision " + std::to_string(version.revision.value()) + " is refused: " + error.path + ": " + error.reason);
        return Verdict::Broken;
    }
    CUMINSCALE_INVARIANT(version.revision >= m_version.revision, "configuration never reverts");
    m_version = version;
    m_document = std::move(*document);
    step.log(LogLevel::Info, "config", "Revision " + std::to_string(version.revision.value()) + " is in force.");
    return Verdict::Adopted;
}

} // namespace cuminscale
