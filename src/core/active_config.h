/// The operators' configuration that is active in this process.
#pragma once

#include "core/config_document.h"
#include "core/step.h"

namespace cuminscale
{

/// Holds the newest valid configuration seen by this process. The revision never decreases.
class ActiveConfig
{
public:
    /// Result of offering a configuration. Older also covers the same revision with a smaller change id.
    enum class OfferResult : std::uint8_t { Adopted, Unchanged, Older, Invalid };

    /// Adopts a configuration if it is newer and valid. Two different configurations under one revision can only result from a
    /// store that was restored from an old backup; all processes then converge on the one with the greater change id.
    OfferResult offer(Step &step, const ConfigVersion &version);

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

    /// The message that updates another process to this configuration.
    msg::ConfigPush push() const
    {
        return msg::ConfigPush{m_version.revision, m_version.changeId, m_version.document};
    }

private:
    ConfigVersion m_version;
    ConfigDocument m_document;
};

} // namespace cuminscale
