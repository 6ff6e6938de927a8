/// Which failure domains are evacuated.
#pragma once

#include "core/dispatch/messages.h"

#include <string_view>

namespace cuminscale::dispatch
{

/// Whether the text can be the name of a failure domain that is evacuated: 1 to 64 bytes of printable ASCII without spaces and
/// slashes, as it is part of a key of the store and also goes to the log.
bool isEvacuationDomain(std::string_view text);

/// The valid set of evacuated failure domains of one process.
///
/// Operators evacuate a domain while the other domains carry the full load. The set reaches a process from the store and from
/// several peers, in any order and repeatedly, and some of these lag by seconds: the one with the highest revision is valid.
class EvacuationState
{
public:
    /// Adopts a set if its revision is higher than that of the valid set. Returns whether this changes the evacuated domains, or
    /// is the first set.
    bool adopt(const Evacuations &evacuations);

    /// Whether any set is known. Before that, each domain may be evacuated.
    bool isKnown() const noexcept
    {
        return m_valid.revision > 0;
    }

    bool isEvacuated(const std::string &domain) const;

    /// The valid set; its revision is 0 if none is known.
    const Evacuations &valid() const noexcept
    {
        return m_valid;
    }

    /// The domains as a value of a log line: "d1,d2", or "none".
    std::string describe() const;

private:
    Evacuations m_valid;
};

} // namespace cuminscale::dispatch
