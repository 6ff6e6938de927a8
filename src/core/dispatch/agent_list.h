/// Decides when an entry writes the list of agents that it knows to the store.
#pragma once

#include "core/dispatch/types.h"

#include <optional>
#include <vector>

namespace cuminscale::dispatch
{

struct AgentListTiming
{
    Duration settleTime = milliseconds(500); ///< From a change to the writing, so that agents that start together are one write.
    Duration minInterval = seconds(1); ///< Between two writes: every call to the store is charged.
    /// An entry that has not read the former lists writes none before this: a list of the few agents that it has heard so far
    /// would replace the one that its former incarnation wrote. By then the limits of time have passed.
    Duration unreadHold = seconds(2);
};

/// Load pattern: dozens of agents are heard within a few hundred milliseconds after a start and rarely change afterwards.
class AgentList
{
public:
    explicit AgentList(TimePoint startedAt, const AgentListTiming &timing = AgentListTiming()) noexcept
        : m_timing(timing)
        , m_startedAt(startedAt)
    { }

    /// Records that the lists in the store have been read.
    void recordRead() noexcept
    {
        m_read = true;
    }

    /// Returns the list to write now, if any. `agents` are the agents known at present, sorted.
    std::optional<std::vector<Endpoint>> due(TimePoint now, std::vector<Endpoint> &&agents);

private:
    AgentListTiming m_timing;
    TimePoint m_startedAt;
    bool m_read = false;
    std::vector<Endpoint> m_written;
    TimePoint m_changedAt; ///< When the agents first differed from the written list; zero if they don't.
    TimePoint m_writtenAt;
};

} // namespace cuminscale::dispatch
