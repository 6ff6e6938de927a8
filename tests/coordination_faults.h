/// Faults after which two entries may coordinate one job, for the simulation: entries that restart, stand still or lose each
/// other, and clients that lose their connections and submit their jobs elsewhere.
#pragma once

#include "core/dispatch/types.h"
#include "ports/dispatch_ports.h"

#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace cuminscale::dispatch
{

/// Rates are means per second of load, over all processes. Shares are probabilities per submission. Clients submit a job again to
/// another entry than before.
struct CoordinationFaults
{
    /// Submissions, repeated ones too, whose connection breaks without the entry noticing. The client submits the job again after
    /// 1.3 s, or at once if no process has read its request.
    double brokenConnectionShare = 0;
    /// Submissions that lie unread while their connection is reset. The client submits the job to another entry at once.
    double unreadShare = 0;
    /// Whether entries submit requests that they read from a connection which has been reset. They notice its end afterwards.
    bool readsEndedConnections = false;
    std::uint32_t maxLostConnections = 4; ///< Broken and reset connections per job.
    /// Repeated submissions that wait until the next entry has started and are sent to it at once.
    double awaitedStartShare = 0;

    double restartRate = 0; ///< Kills of entries, which restart within 1.5 s.
    /// Connections to other entries that break 1.3 to 1.4 s before a killed entry has started again, like those of
    /// brokenConnectionShare.
    double brokenBeforeStartShare = 0;
    /// Connections from other entries to one that has started that lose all messages until they are replaced.
    double silentAfterStartShare = 0;
    /// Time until a connection to an entry that has started is established again, at most. Messages are held until then.
    Duration maxReconnectDelay{0};
    double pauseRate = 0; ///< Pauses of entries, for 0.1 to 2.5 s.
    /// Series of two to four cuts between two entries within a second, each in one or both directions for 0.3 to 5 s. During a
    /// cut, messages are either lost or held until its end.
    double entryCutSeriesRate = 0;
    double agentCutRate = 0; ///< Such cuts between one entry and some of the agents.
    double silenceRate = 0; ///< Connections from one entry to another that lose all messages until they are replaced.
};

/// The processes that faults are injected into.
class SimulatedProcesses
{
public:
    virtual ~SimulatedProcesses() = default;

    virtual TimePoint now() const = 0;
    virtual void scheduleAfter(Duration delay, std::function<void()> action) = 0;
    virtual void killEntry(std::size_t index, Duration downtime) = 0;
    virtual void pauseEntry(std::size_t index, Duration length) = 0;
    /// Breaks a share of the clients' connections to other entries than this one, each within a time.
    virtual void breakConnections(std::size_t exceptEntry, double share, Duration within) = 0;
    /// Loses all messages of this connection until it is replaced.
    virtual void silenceConnection(const Endpoint &from, const Endpoint &to) = 0;
};

/// Draws faults from a random sequence of its own.
class CoordinationFaultInjector
{
public:
    using Path = std::pair<Endpoint, Endpoint>; ///< Sender and receiver.

    /// State of the network between two processes.
    struct Cut
    {
        TimePoint until;
        bool holds = false; ///< Messages are delivered after the cut unless their connection has been replaced.
    };

    /// What happens to the connection of one submission.
    struct ConnectionFate
    {
        Duration readAfter{0}; ///< Since the submission.
        Duration lostAfter{0}; ///< Since the submission; zero if the connection stays.
    };

    CoordinationFaultInjector(const CoordinationFaults &faults, std::uint64_t seed, std::vector<Endpoint> entries,
                              std::vector<Endpoint> agents, SimulatedProcesses &processes, DecisionLog &log);

    /// Injects faults of processes until then.
    void injectUntil(TimePoint end);

    const CoordinationFaults &faults() const noexcept
    {
        return m_faults;
    }

    /// Draws when the other processes are connected to an entry that has started.
    void onEntryStarted(const Endpoint &entry);

    /// The cut of this path now; null if there is none.
    const Cut *cut(const Path &path) const;
    ConnectionFate drawConnectionFate(std::uint32_t lostConnections);
    bool drawAwaitsStart();
    bool drawBelow(double probability);
    std::size_t drawIndex(std::size_t size);
    Duration drawDuration(Duration minimum, Duration maximum);

private:
    using FaultFunction = void (CoordinationFaultInjector::*)();

    /// Injects a fault at random intervals.
    void repeat(double rate, FaultFunction fault);
    void restartEntry();
    void pauseEntry();
    void cutEntriesInSeries();
    void cutEntries();
    void cutAgents();
    void silenceEntries();
    /// Cuts a path, in one or both directions.
    void addCut(const Endpoint &from, const Endpoint &to, bool bothWays, const Cut &cut);
    /// Cuts a path, beyond the cuts that it has already.
    void extendCut(const Path &path, const Cut &cut);
    /// Draws two entries.
    Path drawEntryPair();

    CoordinationFaults m_faults;
    std::mt19937_64 m_random;
    std::vector<Endpoint> m_entries;
    std::vector<Endpoint> m_agents;
    SimulatedProcesses &m_processes;
    DecisionLog &m_log;
    TimePoint m_end;
    std::map<Path, Cut> m_cuts;
};

} // namespace cuminscale::dispatch
