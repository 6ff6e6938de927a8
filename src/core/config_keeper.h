/// Which revision of the operators' configuration is in force in this process.
#pragma once

#include "core/config_document.h"
#include "core/step.h"

namespace cuminscale
{

/// Holds the newest configuration that has passed its checks, and never goes back to a lower revision.
class ConfigKeeper
{
public:
    /// What became of an offered configuration.
    enum class Verdict : std::uint8_t { Adopted, AlreadyHeld, Older, Broken };

    /// Takes a configuration if it is newer and whole. Of two different ones under the same revision, which only a store
    /// restored from an old copy can produce, every process settles on the one with the greater change id.
    Verdict offer(Step &step, const ConfigVersion &version);

    const ConfigVersion &version() const noexcept
    {
        return m_version;
    }

    const ConfigDocument &document() const noexcept
    {
        return m_document;
    }

    Revision revision() const noexcept
    {
        return m_version.revision;
    }

    /// The message that brings another process up to this revision.
    msg::ConfigPush push() const
    {
        return msg::ConfigPush{m_version.revision, m_version.changeId, m_version.document};
    }

private:
    ConfigVersion m_version;
    ConfigDocument m_document;
};

} // namespace cuminscale
