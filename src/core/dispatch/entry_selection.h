/// Choice of the entries that an agent reports to.
#pragma once

#include "core/dispatch/types.h"

namespace cuminscale::dispatch
{

/// An entry that an agent knows.
struct EntryCandidate
{
    Endpoint endpoint;
    std::string domain; ///< Its failure domain; empty if unknown.
    bool live = false; ///< Whether it has been heard from recently.
};

struct EntrySelectionLimits
{
    std::size_t total = 9; ///< Entries that an agent reports to.
    std::size_t ownDomain = 5; ///< Of these, reserved for entries in the agent's failure domain.
};

/// Result of selectEntries().
struct EntrySelection
{
    std::vector<Endpoint> attached; ///< Live entries to report to.
    std::vector<Endpoint> probed; ///< Entries that would be attached if they were live.
};

/// Selects the entries that an agent reports its load to; only these give it work.
///
/// Load pattern: dozens of entries and hundreds of agents. If every agent reported to every entry, heartbeats would grow with the
/// product of both and take up the CPU time of small entries, and under overload, when agents report more often, even more so.
/// Rendezvous hashing gives each entry about the same number of agents and changes few assignments when an entry comes or goes.
/// Most entries are chosen from the agent's own failure domain, as traffic to others costs more; the others let a domain use
/// capacity elsewhere while its own is overloaded or lost.
EntrySelection selectEntries(const Endpoint &agent, const std::string &domain, std::vector<EntryCandidate> candidates,
                             const EntrySelectionLimits &limits);

} // namespace cuminscale::dispatch
