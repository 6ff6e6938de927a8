#include "core/active_config.h"

namespace cuminscale
{

ActiveConfig::OfferResult ActiveConfig::offer(Step &step, const ConfigVersion &version)
{
    if (version.revision < m_version.revision) {
        return OfferResult::Older;
    }
    if (version.revision == m_version.revision && version.changeId <= m_version.changeId) {
        return version.changeId == m_version.changeId ? OfferResult::Unchanged : OfferResult::Older;
    }
    ConfigError error;
    std::optional<ConfigDocument> document = parseConfigDocument(version.document, error);
    if (!document) {
        step.count(Counter::ConfigRefused);
        step.log(LogLevel::Error, "config",
                 "Configuration revision " + std::to_string(version.revision.value())
                     + " is invalid and was rejected: " + error.path + ": " + error.reason);
        return OfferResult::Invalid;
    }
    CUMINSCALE_INVARIANT(version.revision >= m_version.revision, "the configuration revision never decreases");
    m_version = version;
    m_document = std::move(*document);
    step.log(LogLevel::Info, "config", "Configuration revision " + std::to_string(version.revision.value()) + " is now active.");
    return OfferResult::Adopted;
}

} // namespace cuminscale
