/// Decides when an entry requests the configuration from a peer, and from which one.
#pragma once

#include "core/dispatch/types.h"

namespace cuminscale::dispatch
{

/// A peer from which the configuration can be requested.
struct ConfigSource
{
    Endpoint endpoint;
    std::uint64_t version = 0; ///< Version that the peer uses.
    bool ownDomain = false; ///< Whether it is in the requester's failure domain.
};

/// Tracks how long an entry lags behind its peers. All read the document from the store, so a short lag is normal; an entry that
/// the store does not serve must get it from a peer.
///
/// Load pattern: a document of hundreds of kilobytes changes, or all processes start at once. If peers sent it unasked to
/// everyone that lags, a slow entry would get it from each of them, over links of 25 Mbit/s for seconds. Here each entry gets it
/// once, from one peer at a time, and different entries ask different peers.
class ConfigFetch
{
public:
    static constexpr Duration GracePeriod = milliseconds(700); ///< A new version must be in force everywhere after 2 s.
    static constexpr Duration InitialGracePeriod = milliseconds(600); ///< For an entry without any version.
    static constexpr Duration RequestInterval = milliseconds(500);

    /// Returns the peer to request the document from now, if any. `seed` spreads the requests of different entries.
    std::optional<Endpoint> next(TimePoint now, std::uint64_t ownVersion, const std::vector<ConfigSource> &sources,
                                 std::size_t seed);

private:
    std::uint64_t m_ownVersion = 0;
    TimePoint m_laggingSince; ///< Zero while no peer has a newer version.
    TimePoint m_requestedAt;
    std::size_t m_attempts = 0; ///< Requests since the own version last changed.
};

} // namespace cuminscale::dispatch
