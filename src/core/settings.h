/// Settings of the decision core. src/daemon/settings_file.cpp reads them from a file.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminscale
{

/// Timeouts and intervals of the protocol between processes.
struct Timing
{
    Duration heartbeatInterval = milliseconds(500);
    Duration suspectAfter = milliseconds(1600); ///< Time without contact after which a peer gets no new work.
    Duration goneAfter = seconds(8); ///< Time without contact after which a peer is removed, and without an update about a grant
                                     ///< after which its job fails.
    Duration resendAfter = milliseconds(300); ///< Initial retransmission timeout of unanswered messages.
    Duration claimLifetime = seconds(1); ///< Lifetime of a claim: the agent drops grants that arrive later.
    Duration queryAfter = seconds(1); ///< Time without an update about a grant after which the coordinator queries the agent.
    Duration reofferInterval = milliseconds(150); ///< Interval at which waiting tasks are offered to more agents.
    Duration answerRetention = seconds(600); ///< How long records of ended submissions are kept to answer resubmissions.
};

/// Resource limits of one process.
struct Limits
{
    std::uint32_t maxJobs = 20000; ///< Jobs in progress at one coordinator; also the records it keeps, tombstones included.
    std::uint32_t maxWaitingTasks = 20000; ///< Tasks waiting at one coordinator.
    std::uint32_t maxTasksPerJob = 2000;
    std::uint64_t maxAnswerBytes = 64U << 20U; ///< Total size of the records that one coordinator keeps to answer resubmissions.
    std::uint32_t maxPendingCalls = 20000; ///< Callers that wait for an answer from one entry.
    std::uint32_t idPrefetchCount = 128; ///< Submission ids that an entry prefetches from each coordinator.
    std::uint32_t controlBytesPerSecond = 9000; ///< Budget for control-plane traffic of one process, both directions together.
    std::uint32_t offerFanOut = 16; ///< Maximum number of agents in one round of offers for a job.
};

/// Identity of this process.
struct Identity
{
    ProcessId self;
    std::string domain; ///< Failure domain.
    std::uint64_t seed = 1; ///< Seed of the core's random number generator.
};

/// Settings of a core of either role.
struct CoreSettings
{
    Identity identity;
    Timing timing;
    Limits limits;
    std::vector<Endpoint> seeds; ///< Peer addresses of entries to contact first.
    bool hasStore = true; ///< Entries: whether the settings name the key-value store.
    std::uint32_t entriesPerAgent = 3; ///< Entries that an agent sends heartbeats to.
};

} // namespace cuminscale
