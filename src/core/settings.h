/// The settings that the decision core reads. src/daemon/settings_file.cpp fills them from a file.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminscale
{

/// Time limits of the protocol between processes.
struct Timing
{
    Duration heartbeatEvery = milliseconds(500);
    Duration suspectAfter = milliseconds(1600); ///< Silence after which a peer gets no new work.
    Duration goneAfter = seconds(8); ///< Silence after which a peer's grants count as lost.
    Duration resendAfter = milliseconds(300); ///< Unanswered submissions and results are sent again.
    Duration claimValid = seconds(1); ///< A grant later than this is barred by the agent that claimed.
    Duration queryAfter = seconds(1); ///< A grant without news for this long is asked about.
    Duration offerAgainEvery = milliseconds(150); ///< Waiting tasks are offered to further agents.
    Duration rememberAnswers = seconds(600); ///< Ended submissions answer resubmissions for this long.
};

/// Bounds on what one process holds.
struct Limits
{
    std::uint32_t maxJobs = 20000; ///< Submissions that a coordinator remembers, tombstones included.
    std::uint32_t maxWaitingTasks = 20000; ///< Tasks waiting at one coordinator.
    std::uint32_t maxTasksPerJob = 2000;
    std::uint64_t maxAnswerBytes = 64U << 20U; ///< Kept answers of one coordinator, all together.
    std::uint32_t maxPendingCalls = 20000; ///< Callers that one entry keeps waiting.
    std::uint32_t idStock = 128; ///< Ids that an entry keeps from each coordinator.
    std::uint32_t controlBytesPerSecond = 9000; ///< What one process may spend on control, both directions together.
    std::uint32_t offerFanOut = 16; ///< Agents that one job's tasks are offered to at once.
};

/// Who this process is.
struct Identity
{
    ProcessId self;
    std::string domain;
    std::uint64_t seed = 1; ///< Seed of the core's own random numbers.
};

/// Settings of a core, common to both roles.
struct CoreSettings
{
    Identity identity;
    Timing timing;
    Limits limits;
    std::vector<Endpoint> seeds; ///< Peer addresses of some entries.
    bool hasStore = true; ///< Entries: whether the platform's store is named in the settings.
    std::uint32_t attachEntries = 3; ///< Entries that an agent heartbeats to.
};

} // namespace cuminscale
