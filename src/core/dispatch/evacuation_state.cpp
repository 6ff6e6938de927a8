#include "core/dispatch/evacuation_state.h"

#include <algorithm>

namespace cuminscale::dispatch
{

bool isEvacuationDomain(std::string_view text)
{
    constexpr std::size_t MaxBytes = 64;
    const bool valid = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f' && c != '/'; });
    return valid && !text.empty() && text.size() <= MaxBytes;
}

bool EvacuationState::adopt(const Evacuations &evacuations)
{
    if (evacuations.revision <= m_valid.revision) {
        return false;
    }
    const bool changed = !isKnown() || evacuations.domains != m_valid.domains;
    m_valid = evacuations;
    return changed;
}

bool EvacuationState::isEvacuated(const std::string &domain) const
{
    return std::binary_search(m_valid.domains.begin(), m_valid.domains.end(), domain);
}

std::string EvacuationState::describe() const
{
    std::string text;
    for (const std::string &domain : m_valid.domains) {
        text += (text.empty() ? "" : ",") + domain;
    }
    return text.empty() ? "none" : text;
}

} // namespace cuminscale::dispatch
