#include "core/dispatch/config_fetch.h"

namespace cuminscale::dispatch
{

std::optional<Endpoint> ConfigFetch::next(TimePoint now, std::uint64_t ownVersion, const std::vector<ConfigSource> &sources,
                                          std::size_t seed)
{
    std::vector<Endpoint> newer;
    std::vector<Endpoint> newerInOwnDomain;
    for (const ConfigSource &source : sources) {
        if (source.version > ownVersion) {
            newer.push_back(source.endpoint);
            if (source.ownDomain) {
                newerInOwnDomain.push_back(source.endpoint);
            }
        }
    }
    if (newer.empty() || ownVersion != m_ownVersion) {
        m_ownVersion = ownVersion;
        m_laggingSince = newer.empty() ? TimePoint() : now;
        m_attempts = 0;
        return std::nullopt;
    }
    if (m_laggingSince == TimePoint()) {
        m_laggingSince = now;
    }
    if (now - m_laggingSince < (ownVersion == 0 ? InitialGracePeriod : GracePeriod) || now - m_requestedAt < RequestInterval) {
        return std::nullopt;
    }
    m_requestedAt = now;
    // Peers in the own failure domain are asked first; if they don't answer, any other.
    const bool useOwnDomain = m_attempts < newerInOwnDomain.size();
    const std::vector<Endpoint> &candidates = useOwnDomain ? newerInOwnDomain : newer;
    return candidates[(seed + m_attempts++) % candidates.size()];
}

} // namespace cuminscale::dispatch
