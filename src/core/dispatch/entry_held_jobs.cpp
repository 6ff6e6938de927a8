#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"
#include "core/dispatch/run_limits.h"

#include <algorithm>

namespace cuminscale::dispatch
{

namespace
{

/// A held job is answered this long before its run could no longer end by its client's deadline: the release takes some ticks.
constexpr Duration HoldMargin = milliseconds(30);
/// Jobs and tasks that are released in a tick of 15 ms. The smallest entries have 0.09 of a core, which is 1.4 ms in a tick; a
/// job takes 0.37 ms, and what is released at once must not delay the heartbeats and the jobs that arrive.
constexpr std::uint32_t ReleasedJobs = 8;
constexpr std::uint32_t ReleasedJobsOverloaded = 2;
constexpr std::uint32_t ReleasedTasks = 48;

} // namespace

bool EntryDispatch::starting(TimePoint now) const
{
    return now - std::max(m_startedAt, m_resumedAt) < m_settings.timing.coordination.admissionHold;
}

bool EntryDispatch::awaitsAdmission(TimePoint now, const std::string &service) const
{
    // At other times admission is closed because links or agents lag, which can last: jobs would be held and then given up.
    if (!starting(now)) {
        return false;
    }
    const FleetView::Agents &agents = m_fleet.agents();
    const bool servers = std::any_of(agents.begin(), agents.end(), [&](const FleetView::Agents::value_type &agent) {
        return FleetView::usable(agent.second, service, now);
    });
    return !mayAdmit(now) || (!servers && !m_agentArrival.settled(now));
}

bool EntryDispatch::hold(TimePoint now, const WaitingClient &waiting, const Job &job, Duration criticalPath)
{
    HeldJob held;
    held.id = job.id;
    held.clients.push_back(waiting);
    held.heldSince = now;
    held.latestStart = job.objectiveDeadline - criticalPath - NetworkTime;
    held.usefulUntil = waiting.deadline - criticalPath - HoldMargin;
    held.tasks = 0;
    for (const StepSpec &step : job.spec->steps) {
        held.tasks += step.after.empty() ? step.count : 0;
    }
    const bool waits = awaitsAdmission(now, job.queue->service) || (mayAdmit(now) && m_held.isAheadOf(now, held.latestStart));
    if (!waits || held.usefulUntil <= now) {
        return false;
    }
    const Duration slack = held.latestStart - now;
    const HeldJobs::Added added = m_held.add(now, std::move(held));
    if (added.removed) {
        answerHeldJob(now, *added.removed, JobOutcome::GivenUp, "held-jobs-full");
    }
    if (!added.held) {
        return false;
    }
    ++m_counters.held;
    m_clientJobs[waiting.tag] = job.id;
    m_log.write(LogLevel::Info, "job-held",
                "job=" + idText(job.id) + " queue=" + job.queue->name + " slack_ms=" + ms(slack)
                    + " held=" + std::to_string(m_held.size()) + " " + describePeers(now));
    return true;
}

void EntryDispatch::joinHeldJob(HeldJob &held, const WaitingClient &client)
{
    ++m_counters.joined;
    m_clientJobs[client.tag] = held.id;
    // Both clients need the same time for the run before their deadlines.
    const Duration needed = held.clients.front().deadline - held.usefulUntil;
    m_held.join(held, client, client.deadline - needed);
}

void EntryDispatch::answerHeldJob(TimePoint now, const HeldJob &held, JobOutcome answer, const char *reason)
{
    if (answer == JobOutcome::GivenUp) {
        ++m_counters.notAdmitted;
    }
    m_log.write(LogLevel::Info, "job-not-admitted",
                "job=" + idText(held.id) + " reason=" + reason + " held_ms=" + ms(now - held.heldSince) + " "
                    + describePeers(now));
    for (const WaitingClient &client : held.clients) {
        m_clientJobs.erase(client.tag);
        m_clients.answer(client.tag, answer, reason, Duration(0));
    }
}

void EntryDispatch::releaseHeldJob(TimePoint now, const HeldJob &held)
{
    std::vector<WaitingClient> clients = held.clients;
    for (const WaitingClient &client : clients) {
        m_clientJobs.erase(client.tag);
    }
    // The job goes on for the client that waits longest, as if the others had joined it after its admission.
    WaitingClient &first = clients.front();
    for (const WaitingClient &client : clients) {
        first.deadline = std::max(first.deadline, client.deadline);
    }
    // Another entry that this one has not reached since may have admitted the job, so it is not known whether it has run.
    if (unconfirmedBy(now, first.requestedAt, held.heldSince) != nullptr) {
        ++m_heldRelease.refused;
        answerHeldJob(now, held, JobOutcome::GivenUp, "unconfirmed");
        return;
    }
    submitUntil(now, first, held.id, &held);
    const Jobs::const_iterator job = m_jobs.find(held.id);
    const bool admitted = job != m_jobs.end() && !job->second.answer;
    m_counters.heldAdmitted += admitted ? 1 : 0;
    ++(admitted ? m_heldRelease.admitted : m_heldRelease.refused);
    m_heldRelease.oldest = std::max(m_heldRelease.oldest, now - held.heldSince);
    const bool waits = m_clientJobs.count(first.tag) > 0;
    for (std::size_t i = 1; i < clients.size(); ++i) {
        if (waits) {
            submitUntil(now, clients[i], held.id);
        } else {
            // Submitting the job again could run it although the first answer says that it has not run.
            m_clients.answer(clients[i].tag, JobOutcome::GivenUp, "answered-to-another-client", Duration(0));
        }
    }
}

void EntryDispatch::releaseHeldJobs(TimePoint now)
{
    // Agents that the store lists are known before they are heard.
    const std::ptrdiff_t heard =
        std::count_if(m_fleet.agents().begin(), m_fleet.agents().end(),
                      [](const FleetView::Agents::value_type &agent) { return agent.second.session.hasReceivedMessage(); });
    m_agentArrival.record(now, static_cast<std::size_t>(heard));
    if (m_held.empty()) {
        return;
    }
    for (const HeldJob &expired : m_held.takeExpired(now)) {
        answerHeldJob(now, expired, JobOutcome::GivenUp, "held-too-long");
    }
    if (!mayAdmit(now) || (starting(now) && !m_agentArrival.settled(now))) {
        return;
    }
    const std::uint32_t maxJobs = m_cpuOverload.isOverloaded() ? ReleasedJobsOverloaded : ReleasedJobs;
    std::uint32_t tasks = 0;
    for (std::uint32_t jobs = 0; jobs < maxJobs && tasks < ReleasedTasks; ++jobs) {
        const std::optional<HeldJob> next = m_held.takeNext(now);
        if (!next) {
            break;
        }
        tasks += next->tasks;
        releaseHeldJob(now, *next);
    }
    if (m_held.empty()) {
        m_log.write(LogLevel::Info, "held-jobs-released",
                    "admitted=" + std::to_string(m_heldRelease.admitted) + " refused=" + std::to_string(m_heldRelease.refused)
                        + " oldest_ms=" + ms(m_heldRelease.oldest) + " " + describePeers(now));
        m_heldRelease = HeldRelease();
    }
}

bool EntryDispatch::removeHeldClient(const JobId &id, ClientTag client)
{
    HeldJob *const held = m_held.find(id);
    if (held == nullptr) {
        return false;
    }
    std::erase_if(held->clients, [client](const WaitingClient &waiting) { return waiting.tag == client; });
    if (held->clients.empty()) {
        ++m_counters.clientsGone;
        m_held.remove(id);
    }
    return true;
}

} // namespace cuminscale::dispatch
