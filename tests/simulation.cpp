#include "simulation.h"

#include "clients.h"

#include <utility>

namespace cuminscale::test
{

namespace
{

constexpr Duration TickInterval = milliseconds(20);
constexpr Duration AnnouncementInterval = milliseconds(400);
constexpr Duration AnnouncementLifetime = milliseconds(1500);
constexpr std::uint32_t Slots = 3;
constexpr int MaxExitChecks = 300; ///< Checks, 50 ms apart, after which a process exits even if calls are unanswered.
constexpr const char *Document = R"({"services": {"s": {}}})";

} // namespace

Simulation::Simulation(std::uint64_t seed, int entries, int agents, const Faults &faults)
    : m_faults(faults)
    , m_random(seed)
    , m_entryCount(entries)
    , m_clients(std::make_unique<Clients>(*this))
{
    if (randomFraction() < 0.5) {
        // Coordinators query claims long before these expire, so that a grant that arrives after the query is rejected only
        // because the query has closed its claim.
        m_settings.timing.queryAfter = milliseconds(100);
        m_settings.timing.claimLifetime = seconds(5);
        m_settings.timing.goneAfter = seconds(2);
    }
    m_nodes.resize(static_cast<std::size_t>(entries + agents));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        Node &node = m_nodes[i];
        node.isEntry = static_cast<int>(i) < entries;
        node.id.endpoint = Endpoint{0x0a000001 + static_cast<std::uint32_t>(i), 7000};
        node.clockOffset = randomDuration(seconds(500));
        m_byEndpoint[node.id.endpoint] = i;
        if (node.isEntry) {
            m_settings.seeds.push_back(node.id.endpoint);
        }
        startProcess(i);
    }
}

Simulation::~Simulation() = default;

double Simulation::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::size_t Simulation::randomBelow(std::size_t n)
{
    return static_cast<std::size_t>(m_random() % n);
}

Duration Simulation::randomDuration(Duration limit)
{
    return Duration(static_cast<std::int64_t>(randomBelow(static_cast<std::size_t>(limit.count()) + 1)));
}

void Simulation::reportViolation(const std::string &description)
{
    m_result.violations.push_back("at " + std::to_string((m_now - TimePoint(seconds(1000))).count()) + " us: " + description);
}

void Simulation::schedule(TimePoint when, Action action)
{
    m_queue.emplace(Scheduled{when, m_nextSequence++}, std::move(action));
}

void Simulation::schedulePeriodic(Duration interval, const std::function<void()> &action)
{
    schedule(m_now + interval, [this, interval, action]() {
        action();
        schedulePeriodic(interval, action);
    });
}

void Simulation::startProcess(std::size_t index)
{
    Node &node = m_nodes[index];
    ++node.generation;
    node.id.incarnation = Incarnation(m_nextIncarnation++);
    node.running.clear();
    node.callers.clear();
    node.stopping = false;
    CoreSettings settings = m_settings;
    settings.identity = Identity{node.id, "d" + std::to_string(index % 3), m_random()};
    Policies policies = makeDefaultPolicies(settings.limits);
    if (node.isEntry) {
        node.core = std::make_unique<EntryCore>(settings, std::move(policies));
    } else {
        node.core = std::make_unique<AgentCore>(settings, std::move(policies));
    }
}

void Simulation::deliver(std::size_t index, Event event)
{
    Node &node = m_nodes[index];
    if (node.pausedUntil > m_now) {
        const std::uint64_t generation = node.generation;
        if (std::holds_alternative<event::Tick>(event) && std::exchange(node.tickPending, true)) {
            return;
        }
        // Events queued during a pause are delivered in random order: the process may handle its timers before or after its
        // messages.
        schedule(node.pausedUntil + randomDuration(milliseconds(1)), [this, index, generation, event = std::move(event)]() {
            if (m_nodes[index].generation == generation) {
                deliver(index, event);
            }
        });
        return;
    }
    ++m_result.steps;
    node.tickPending = false;
    m_clients->onEventDelivered(event);
    Effects effects;
    node.core->handle(m_now + node.clockOffset, std::move(event), effects);
    for (Effect &effect : effects) {
        apply(index, std::move(effect));
    }
}

void Simulation::apply(std::size_t index, Effect &&effect)
{
    Node &node = m_nodes[index];
    if (const effect::SendPeer *message = std::get_if<effect::SendPeer>(&effect)) {
        sendMessage(index, *message);
    } else if (const effect::StartTask *task = std::get_if<effect::StartTask>(&effect)) {
        startTask(index, *task);
    } else if (const effect::AbortTask *abort = std::get_if<effect::AbortTask>(&effect)) {
        if (node.running.erase(abort->run) > 0) {
            schedule(m_now, [this, index, run = abort->run, generation = node.generation]() {
                if (m_nodes[index].generation == generation) {
                    deliver(index, event::BackendFinished{run, TaskResult{TaskStatus::Unknown, 0, "", Duration(0)}});
                }
            });
        }
    } else if (std::holds_alternative<effect::Stopped>(effect)) {
        exitWhenAnswered(index, node.generation, MaxExitChecks);
    } else if (const effect::ReplyCaller *reply = std::get_if<effect::ReplyCaller>(&effect)) {
        const auto it = node.callers.find(reply->tag);
        if (it == node.callers.end()) {
            reportViolation("a reply has an unknown caller tag");
            return;
        }
        const std::function<void(const CallerReply &)> onReply = std::move(it->second);
        node.callers.erase(it);
        onReply(reply->reply);
    }
}

void Simulation::exitWhenAnswered(std::size_t index, std::uint64_t generation, int checksLeft)
{
    schedule(m_now + milliseconds(50), [this, index, generation, checksLeft]() {
        const Node &node = m_nodes[index];
        if (node.generation != generation) {
            return;
        }
        // Like the daemon, the process does not exit before it has answered all calls, including those that arrived during the
        // shutdown.
        if (!node.callers.empty() && checksLeft > 0) {
            // Checks during a pause do not count towards the limit.
            exitWhenAnswered(index, generation, node.pausedUntil > m_now ? checksLeft : checksLeft - 1);
            return;
        }
        if (!node.running.empty() || !node.callers.empty()) {
            reportViolation("an orderly shutdown ended with " + std::to_string(node.running.size()) + " tasks running and "
                            + std::to_string(node.callers.size()) + " calls unanswered");
        }
        startProcess(index);
    });
}

void Simulation::sendMessage(std::size_t from, const effect::SendPeer &effect)
{
    ++m_result.messages;
    const auto target = m_byEndpoint.find(effect.to.endpoint);
    if (target == m_byEndpoint.end()) {
        return;
    }
    const std::size_t to = target->second;
    const Node &sender = m_nodes[from];
    const Envelope envelope = effect::SendPeer(effect).makeEnvelope(sender.id, m_now + sender.clockOffset);
    const bool faultsActive = m_now < m_faultsEnd;
    const bool linkDown = m_linkDownUntil[{from, to}] > m_now;
    if (linkDown || (faultsActive && randomFraction() < m_faults.lossProbability)) {
        return;
    }
    const int copies = faultsActive && randomFraction() < m_faults.duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const bool delayed = faultsActive && randomFraction() < m_faults.delayProbability;
        const Duration delay = Duration(200) + randomDuration(delayed ? m_faults.maxDelay : milliseconds(2));
        // A message may arrive after its sender has ended, or after the receiver has restarted at the same address.
        schedule(m_now + delay, [this, to, envelope]() { deliver(to, event::PeerMessageReceived{envelope}); });
    }
}

void Simulation::startTask(std::size_t index, const effect::StartTask &task)
{
    Node &node = m_nodes[index];
    const std::uint64_t generation = node.generation;
    if (node.backendDownUntil > m_now) {
        schedule(m_now + milliseconds(1), [this, index, generation, run = task.run]() {
            if (m_nodes[index].generation == generation) {
                deliver(index, event::BackendFinished{run, TaskResult{TaskStatus::NotStarted, 0, "", Duration(0)}});
            }
        });
        return;
    }
    m_clients->onTaskStarted(task);
    node.running.insert(task.run);
    if (node.running.size() > Slots) {
        reportViolation("more tasks are running than there are slots");
    }
    const double draw = randomFraction();
    const bool faultsActive = m_now < m_faultsEnd && m_faults.backendFaultsPerSecond > 0;
    const TaskStatus status = faultsActive && draw < 0.005 ? TaskStatus::Failed
        : faultsActive && draw < 0.01                      ? TaskStatus::Unknown
                                                           : TaskStatus::Succeeded;
    const bool isStraggler = m_now < m_faultsEnd && draw > 1 - m_faults.stragglerProbability;
    const Duration runTime = milliseconds(5) + randomDuration(isStraggler ? seconds(4) : milliseconds(300));
    schedule(m_now + runTime, [this, index, generation, run = task.run, status, body = "done " + task.payload]() {
        if (m_nodes[index].generation == generation && m_nodes[index].running.erase(run) > 0) {
            deliver(index, event::BackendFinished{run, TaskResult{status, 200, body, milliseconds(1)}});
        }
    });
}

void Simulation::injectFaults()
{
    if (m_now >= m_faultsEnd) {
        return;
    }
    const double secondsPerTick = std::chrono::duration<double>(TickInterval).count();
    if (randomFraction() < m_faults.crashesPerSecond * secondsPerTick) {
        const std::size_t index = randomBelow(m_nodes.size());
        m_nodes[index].pausedUntil = m_now + randomDuration(seconds(2));
        startProcess(index);
    }
    if (randomFraction() < m_faults.shutdownsPerSecond * secondsPerTick) {
        const std::size_t index = randomBelow(m_nodes.size());
        m_nodes[index].stopping = true;
        deliver(index, event::ShutdownRequested{});
    }
    if (randomFraction() < m_faults.pausesPerSecond * secondsPerTick) {
        m_nodes[randomBelow(m_nodes.size())].pausedUntil = m_now + randomDuration(m_faults.maxPause);
    }
    if (randomFraction() < m_faults.linkFailuresPerSecond * secondsPerTick) {
        m_linkDownUntil[{randomBelow(m_nodes.size()), randomBelow(m_nodes.size())}] = m_now + randomDuration(seconds(6));
    }
    if (randomFraction() < m_faults.backendFaultsPerSecond * secondsPerTick) {
        Node &node = m_nodes[randomBelow(m_nodes.size())];
        node.backendDownUntil = m_now + randomDuration(seconds(2));
        node.backendLeaving = randomFraction() < 0.3;
    }
    if (randomFraction() < 0.5 * secondsPerTick) {
        // One entry reads an operator's change from the store; sometimes an earlier revision, as after a restore from a backup.
        const std::uint64_t revision = randomFraction() < 0.2 && m_configRevision > 1 ? m_configRevision - 1 : ++m_configRevision;
        const std::size_t entry = randomBelow(static_cast<std::size_t>(m_entryCount));
        deliver(entry, event::StoreConfigRead{ConfigVersion{Revision(revision), "c" + std::to_string(revision), Document, {}}});
    }
}

void Simulation::sendCall(std::size_t entry, CallerRequest call, std::function<void(const CallerReply &)> onReply)
{
    const CallerTag tag(m_nextTag++);
    m_nodes[entry].callers.emplace(tag, std::move(onReply));
    deliver(entry, event::CallerRequestReceived{tag, std::move(call)});
}

std::size_t Simulation::pickReadyEntry()
{
    // The load balancer sends nothing to entries that are not ready, unless none is ready.
    const std::size_t n = static_cast<std::size_t>(m_entryCount);
    const std::size_t first = randomBelow(n);
    for (std::size_t i = 0; i < n; ++i) {
        if (!m_nodes[(first + i) % n].stopping) {
            return (first + i) % n;
        }
    }
    return first;
}

void Simulation::checkFinalState()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const std::string name = (m_nodes[i].isEntry ? "entry " : "agent ") + std::to_string(i);
        sendCall(i, call::ShowStatus(), [this, name](const CallerReply &reply) {
            const StatusReport &status = *reply.status;
            for (std::size_t c = 0; c < static_cast<std::size_t>(Counter::Total); ++c) {
                m_result.counters.add(static_cast<Counter>(c), status.counters.get(static_cast<Counter>(c)));
            }
            if (status.jobs > 0 || status.waitingTasks > 0 || status.pendingCalls > 0) {
                reportViolation(name + " has unfinished work at the end: " + std::to_string(status.jobs) + " jobs, "
                                + std::to_string(status.waitingTasks) + " waiting tasks, " + std::to_string(status.pendingCalls)
                                + " calls");
            }
            if (status.revision.value() != m_configRevision) {
                reportViolation(name + " has revision " + std::to_string(status.revision.value()) + " instead of "
                                + std::to_string(m_configRevision));
            }
        });
    }
}

void Simulation::run(Duration faultPhase, Duration recoveryPhase)
{
    m_faultsEnd = m_now + faultPhase;
    const TimePoint end = m_faultsEnd + recoveryPhase;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        schedulePeriodic(TickInterval, [this, i]() { deliver(i, event::Tick{}); });
        if (!m_nodes[i].isEntry) {
            schedulePeriodic(AnnouncementInterval, [this, i]() {
                const bool leaving = m_nodes[i].backendLeaving && m_now < m_faultsEnd;
                deliver(i, event::BackendAnnounced{"s", Endpoint{1, 1}, Slots, Slots, AnnouncementLifetime, leaving});
            });
        }
    }
    schedulePeriodic(TickInterval, [this]() { injectFaults(); });
    schedulePeriodic(milliseconds(60), [this]() { m_clients->startSubmission(); });
    // Links recover and paused processes resume.
    schedule(m_faultsEnd, [this]() {
        m_linkDownUntil.clear();
        for (Node &node : m_nodes) {
            node.pausedUntil = std::min(node.pausedUntil, m_now);
        }
    });
    // Every process must have activated this last change by the end.
    schedule(end - seconds(3), [this]() {
        deliver(0, event::StoreConfigRead{ConfigVersion{Revision(++m_configRevision), "last", Document, {}}});
    });
    while (!m_queue.empty() && m_queue.begin()->first.first < end) {
        const auto it = m_queue.begin();
        m_now = std::max(m_now, it->first.first);
        const Action action = std::move(it->second);
        m_queue.erase(it);
        action();
    }
    checkFinalState();
}

} // namespace cuminscale::test
