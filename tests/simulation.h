/// Deterministic simulation of entry and agent cores with an unreliable network, backend servers, clients and virtual time.
#pragma once

#include "core/agent_core.h"
#include "core/entry_core.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace cuminscale::test
{

/// Probabilities and rates of the injected faults.
struct Faults
{
    double lossProbability = 0.02;
    double duplicateProbability = 0.02;
    double delayProbability = 0.01; ///< Of a message being delayed by up to maxDelay.
    Duration maxDelay = seconds(3);
    double crashesPerSecond = 0.3;
    double pausesPerSecond = 0.5;
    Duration maxPause = seconds(12);
    double linkFailuresPerSecond = 0.5; ///< Each failure affects one direction of a link.
    /// Outages of a backend server; if not 0, 1 % of the tasks also end as Failed or Unknown.
    double backendFaultsPerSecond = 0.5;
    double cancelProbability = 0.05; ///< Of a job being cancelled by its client, at each submission.
    double shutdownsPerSecond = 0.1; ///< Orderly shutdowns; each is followed by a restart.
    Duration minDeadline = milliseconds(300);
    double stragglerProbability = 0.03; ///< Of a task taking up to 4 s instead of 0.3 s.
};

class Clients;

/// Result of a run.
struct RunResult
{
    std::vector<std::string> violations; ///< Violated properties, one description each.
    std::uint64_t steps = 0; ///< Events handled by the cores.
    std::uint64_t messages = 0;
    Counters counters; ///< Sums over all processes; each counts from its last start.
};

/// Runs cores over a network that delays, loses, duplicates and reorders messages and whose links fail, while processes crash,
/// pause and restart. All random choices derive from one seed. The guarantees to clients are checked at every task start and
/// every answer.
class Simulation
{
public:
    Simulation(std::uint64_t seed, int entries, int agents, const Faults &faults);
    ~Simulation();

    /// Runs with faults, then without, and checks that all work has ended and all processes have the same configuration. Clients
    /// submit work until 2 s after the end of the faults.
    void run(Duration faultPhase, Duration recoveryPhase);

    const RunResult &result() const noexcept
    {
        return m_result;
    }

    const Clients &clients() const noexcept
    {
        return *m_clients;
    }

private:
    friend class Clients;

    /// An entry or agent process. An agent also has a backend server, with outages of its own.
    struct Node
    {
        std::unique_ptr<Core> core;
        ProcessId id;
        bool isEntry = false;
        Duration clockOffset{0};
        TimePoint pausedUntil;
        bool stopping = false;
        std::uint64_t generation = 0; ///< Number of starts; events scheduled for an earlier one are dropped.
        TimePoint backendDownUntil;
        bool backendLeaving = false;
        bool tickPending = false; ///< A tick is queued until a pause ends; further ones are dropped, as with an expired timer.
        std::set<RunId> running;
        std::map<CallerTag, std::function<void(const CallerReply &)>> callers;
    };

    using Action = std::function<void()>;

    void schedule(TimePoint when, Action action);
    void schedulePeriodic(Duration interval, const std::function<void()> &action);
    void startProcess(std::size_t index);
    void deliver(std::size_t index, Event event);
    void apply(std::size_t index, Effect &&effect);
    void sendMessage(std::size_t from, const effect::SendPeer &effect);
    void startTask(std::size_t index, const effect::StartTask &task);
    /// Ends an orderly shutdown: restarts the process once it has answered its calls, and checks that no call or running
    /// task is left.
    void exitWhenAnswered(std::size_t index, std::uint64_t generation, int checksLeft);
    /// Chooses a random entry that is not shutting down, or any entry if all are.
    std::size_t pickReadyEntry();
    void injectFaults();
    void sendCall(std::size_t entry, CallerRequest call, std::function<void(const CallerReply &)> onReply);
    /// Checks that no process has unfinished work and that all have the latest configuration; collects the counters.
    void checkFinalState();
    void reportViolation(const std::string &description);
    /// Uniformly distributed from 0 to 1.
    double randomFraction();
    std::size_t randomBelow(std::size_t n);
    /// Uniformly distributed from 0 to `limit`.
    Duration randomDuration(Duration limit);

    Faults m_faults;
    CoreSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now{seconds(1000)};
    TimePoint m_faultsEnd;
    int m_entryCount;
    std::vector<Node> m_nodes;
    std::map<Endpoint, std::size_t> m_byEndpoint;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_linkDownUntil;
    using Scheduled = std::pair<TimePoint, std::uint64_t>;
    std::map<Scheduled, Action> m_queue;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_nextTag = 1;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_configRevision = 0; ///< Highest configuration revision so far.
    std::unique_ptr<Clients> m_clients;
    RunResult m_result;
};

} // namespace cuminscale::test
