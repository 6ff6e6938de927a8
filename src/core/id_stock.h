/// The submission ids that an entry has prefetched from coordinators.
#pragma once

#include "core/peer_table.h"

#include <deque>
#include <map>

namespace cuminscale
{

/// Keeps a small stock of ids from each coordinator, so that issuing an id to a caller needs no message.
class IdStock
{
public:
    IdStock(const CoreSettings &settings, Policies &policies);

    /// A coordinator has issued a range of ids to this entry.
    void onMinted(Step &step, const ProcessId &from, const msg::Minted &minted);

    /// Takes an id of the coordinator that the policy chooses among those of the service with ids in stock, except `avoid`.
    /// Returns nothing when there is no such coordinator.
    std::optional<SubmissionId> take(Step &step, const PeerTable &peers, const std::string &service,
                                     const ProcessId &avoid = ProcessId());

    /// The coordinator has reported its load. The report includes earlier submissions, so they are no longer counted here.
    void onReported(const ProcessId &coordinator);

    /// Discards the ids of a coordinator after its low-water mark has passed them.
    void discardIds(const ProcessId &coordinator);

    /// Removes a coordinator that has shut down or whose incarnation has ended.
    void forgetCoordinator(const ProcessId &coordinator);

    /// Discards old ids, and requests new ones from the coordinators whose ids run low.
    void refill(Step &step, const PeerTable &peers);

    /// Whether any id is in stock.
    bool hasIds() const noexcept;

private:
    /// The ids [next, end).
    struct Range
    {
        Sequence next;
        Sequence end;
        TimePoint receivedAt;
    };

    /// The ids in stock from one coordinator.
    struct CoordinatorIds
    {
        std::deque<Range> ranges;
        std::uint64_t count = 0; ///< Ids in all ranges.
        Sequence highestEnd; ///< End of the highest range received.
        TimePoint lastRequestAt;
        bool requestPending = false;
        std::uint32_t takenSinceReport = 0; ///< Ids taken since the coordinator last reported its load.
    };

    const CoreSettings &m_settings;
    Policies &m_policies;
    std::map<ProcessId, CoordinatorIds> m_coordinators;
};

} // namespace cuminscale
