/// Decides for a task with data on a rack whether it runs there, and how long it waits there.
#pragma once

#include "cuminscale/units.h"

#include <map>
#include <optional>
#include <string>

namespace cuminscale::dispatch
{

/// Load pattern: away from its data's rack a task takes 1.5 to 3 times as long, and as much more of the fleet's capacity. For
/// some seconds half of the jobs of a queue want the same rack of 8 to 10 servers out of 60 (a hot key), which is more than these
/// can run. The views of the entries are up to a fifth of a second old, so each of them expects a short wait and adds to the
/// queue.
///
/// A task waits for no longer than the time that this saves, and is then handed back and placed elsewhere. The share of the waits
/// at a rack that have ended this way is the probability that the next one does, so that entries send tasks elsewhere before
/// they have waited.
class DataLocality
{
public:
    /// The best server on the rack or off it.
    struct Option
    {
        Duration wait{0}; ///< Expected.
        Duration run{0}; ///< Expected on this server, with its slowness, and off the rack with the factor for remote data.
        Duration overhead{0}; ///< Everything else that its use costs: messages, other failure domains, load, probation.

        Duration total() const noexcept
        {
            return wait + run + overhead;
        }
    };

    struct Request
    {
        std::string rack;
        std::optional<Option> near; ///< None if no server on the rack is usable.
        std::optional<Option> remote;
        Duration timeToObjective{0};
        double utilisation = 0; ///< Used fraction of the fleet's processor time.
        bool handedBack = false; ///< The task has waited on the rack before, until the limit.
    };

    struct Choice
    {
        bool near = false;
        Duration wait{0}; ///< To count on, which is longer than the expected one near the data.
        Duration waitWithin{0}; ///< How long waiting near the data pays; 0 for no limit.
    };

    Choice choose(TimePoint now, const Request &request) const;

    /// Records that a task that was sent to the rack has started there.
    void recordStarted(TimePoint now, const std::string &rack);

    /// Records that a task has waited there until the limit, or until it could no longer be in time.
    void recordExpired(TimePoint now, const std::string &rack);

    /// Probability that a task that is sent to the rack waits there for too long.
    double failedShare(TimePoint now, const std::string &rack) const;

private:
    struct Rack
    {
        double started = 0; ///< Decaying counts as of `updatedAt`.
        double expired = 0;
        TimePoint updatedAt;
    };

    Rack &decayed(TimePoint now, const std::string &rack);

    std::map<std::string, Rack> m_racks;
};

} // namespace cuminscale::dispatch
