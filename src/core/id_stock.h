/// Submission ids that an entry has fetched ahead from coordinators.
#pragma once

#include "core/peer_table.h"

#include <deque>
#include <map>

namespace cuminscale
{

/// A small stock of ids for each coordinator, so that handing one out costs no message.
class IdStock
{
public:
    IdStock(const CoreSettings &settings, Policies &policies);

    /// A coordinator has handed out a range.
    void onMinted(Step &step, const ProcessId &from, const msg::Minted &minted);

    /// Takes an id for a service from the best coordinator that has any in stock; nothing when there is none.
    std::optional<SubmissionId> take(Step &step, const PeerTable &peers, const std::string &service,
                                     const ProcessId &avoid = ProcessId());

    /// The coordinator has reported its load anew; what was sent before is part of it.
    void onReported(const ProcessId &coordinator);

    /// Drops the ids of a coordinator, whose low-water mark has passed them.
    void drop(const ProcessId &coordinator);

    /// Forgets a coordinator whose life is over.
    void erase(const ProcessId &coordinator);

    /// Asks coordinators for more where the stock runs low.
    void refill(Step &step, const PeerTable &peers);

    /// Whether any id is in stock.
    bool filled() const noexcept;

private:
    struct Range
    {
        Sequence next;
        Sequence end;
        TimePoint arrived;
    };

    struct Shelf
    {
        std::deque<Range> ranges;
        std::uint64_t count = 0;
        Sequence seenEnd; ///< End of the highest range received.
        TimePoint asked;
        bool asking = false;
        std::uint32_t recent = 0; ///< Ids taken since the coordinator's last report.
    };

    const CoreSettings &m_settings;
    Policies &m_policies;
    std::map<ProcessId, Shelf> m_shelves;
};

} // namespace cuminscale
