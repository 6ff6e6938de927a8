#include "core/dispatch/entry_dispatch.h"

#include "core/dispatch/format.h"

#include <algorithm>

namespace cuminscale::dispatch
{

const Endpoint *EntryDispatch::remoteCoordinator(TimePoint now, const JobId &id) const
{
    for (const std::pair<const Endpoint, EntryPeer> &entry : m_entries) {
        const bool current = entry.second.session.silence(now) < m_coordination.activeJobsTimeout(entry.second.lists);
        if ((current && entry.second.activeJobs.count(id.key()) > 0) || mayHaveFormerRuns(now, entry.second, id)) {
            return &entry.first;
        }
    }
    return nullptr;
}

void EntryDispatch::keepFormerJobs(TimePoint now, TimePoint lastHeardAt, EntryPeer &entry) const
{
    std::erase_if(entry.formerJobs, [now](const std::pair<const JobKey, TimePoint> &job) { return job.second <= now; });
    // Agents may have heard the former incarnation for longer than this entry has.
    const TimePoint aliveUntil = std::max(lastHeardAt, entry.lists.namedAt - m_settings.timing.agentTimeout);
    for (const JobKey &job : entry.activeJobs) {
        entry.formerJobs[job] = aliveUntil + m_settings.timing.coordination.formerJobsTimeout;
    }
    entry.activeJobs.clear();
}

bool EntryDispatch::mayHaveFormerRuns(TimePoint now, const EntryPeer &entry, const JobId &id)
{
    const std::unordered_map<JobKey, TimePoint, IdHash>::const_iterator it = entry.formerJobs.find(id.key());
    return it != entry.formerJobs.end() && now < it->second;
}

std::vector<JobKey> EntryDispatch::formerJobs(TimePoint now, const EntryPeer &entry)
{
    std::vector<JobKey> jobs;
    for (const std::pair<const JobKey, TimePoint> &job : entry.formerJobs) {
        if (now < job.second) {
            jobs.push_back(job.first);
        }
    }
    return jobs;
}

bool EntryDispatch::mayHaveOwnFormerRuns(TimePoint now, const JobId &id) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const std::pair<const Endpoint, EntryPeer> &entry) {
        return entry.second.ownFormerJobs.count(id.key()) > 0
            && now - entry.second.lists.receivedAt < m_settings.timing.coordination.formerJobsTimeout;
    });
}

void EntryDispatch::joinRemoteJob(TimePoint now, const Endpoint &coordinator, const WaitingClient &client, const JobId &id)
{
    ++m_counters.joined;
    JoinedJob &joined = m_joinedJobs[id];
    joined.clients.push_back(client);
    joined.coordinator = coordinator;
    joined.joinSentAt = now;
    m_clientJobs[client.tag] = id;
    m_log.write(LogLevel::Info, "job-joined", "job=" + idText(id) + " coordinator=" + toString(coordinator));
    sendToEntry(now, coordinator, m_entries.find(coordinator)->second, JoinJob{id});
}

JobStatus::State EntryDispatch::handleJoin(TimePoint now, const Endpoint &from, const JobId &id)
{
    const Jobs::iterator job = m_jobs.find(id);
    const JobStatus::State state = jobState(id);
    const std::unordered_map<JobId, JoinedJob, JobIdHash>::const_iterator joined = m_joinedJobs.find(id);
    if (joined != m_joinedJobs.end()) {
        // This entry waits for the job too, and may start it. If two entries wait for each other, the one with the lower address
        // starts it.
        const bool otherStarts = joined->second.coordinator == from && from < m_settings.self.endpoint;
        return otherStarts ? JobStatus::State::Unknown : JobStatus::State::Active;
    }
    if (m_held.contains(id)) {
        // The other entry repeats its request, and learns then whether the job was admitted.
        return JobStatus::State::Active;
    }
    if (job == m_jobs.end()) {
        return state == JobStatus::State::Unknown ? transfer(now, from, id, state) : state;
    }
    if (!job->second.answered) {
        std::vector<Endpoint> &joinedEntries = job->second.joinedEntries;
        if (std::find(joinedEntries.begin(), joinedEntries.end(), from) == joinedEntries.end()) {
            joinedEntries.push_back(from);
        }
        return state;
    }
    // A job that has ended without success may have runs that have not stopped: the other entry repeats its request until they
    // have.
    return state == JobStatus::State::Succeeded ? state : JobStatus::State::Active;
}

JobStatus::State EntryDispatch::transfer(TimePoint now, const Endpoint &to, const JobId &id, JobStatus::State state)
{
    const Transfer &chosen = m_transfers.try_emplace(id, Transfer{to, now}).first->second;
    return chosen.successor == to ? state : JobStatus::State::Transferred;
}

void EntryDispatch::handleJobStatus(TimePoint now, const Endpoint &from, const JobStatus &status)
{
    const std::unordered_map<JobId, JoinedJob, JobIdHash>::iterator it = m_joinedJobs.find(status.job);
    // A late answer of a former coordinator says nothing of the present one.
    if (it == m_joinedJobs.end() || it->second.coordinator != from || status.state == JobStatus::State::Active) {
        return;
    }
    const std::map<Endpoint, EntryPeer>::iterator coordinator = m_entries.find(it->second.coordinator);
    // After a restart, the coordinator knows nothing of its former jobs while the agents still stop their runs. A client whose
    // connection broke before the restart may have resubmitted by then; the join request is repeated until the runs have stopped.
    const bool startsHere = status.state == JobStatus::State::Unknown || status.state == JobStatus::State::Refused;
    if (startsHere && coordinator != m_entries.end() && mayHaveFormerRuns(now, coordinator->second, status.job)) {
        return;
    }
    // A replaced connection may deliver an answer that was sent before the list in which the coordinator names the job.
    if (startsHere && coordinator != m_entries.end() && !coordinator->second.session.latestWasNewest()) {
        return;
    }
    const JoinedJob joined = std::move(it->second);
    m_joinedJobs.erase(it);
    if (startsHere) {
        m_transfers.erase(status.job);
    }
    if (coordinator != m_entries.end()) {
        coordinator->second.activeJobs.erase(status.job.key());
    }
    for (const WaitingClient &client : joined.clients) {
        m_clientJobs.erase(client.tag);
        switch (status.state) {
        case JobStatus::State::Succeeded:
            m_clients.answer(client.tag, JobOutcome::Succeeded, "joined", Duration(0));
            break;
        case JobStatus::State::Failed:
            m_clients.answer(client.tag, JobOutcome::Failed, "joined", Duration(0));
            break;
        case JobStatus::State::Cancelled:
            m_clients.answer(client.tag, JobOutcome::Cancelled, "joined", Duration(0));
            break;
        case JobStatus::State::Transferred:
            m_clients.answer(client.tag, JobOutcome::GivenUp, "transferred", Duration(0));
            break;
        default:
            // The coordinator does not know the job, or has refused it or given it up: submit it here.
            resubmit(now, client, status.job);
        }
    }
}

void EntryDispatch::resubmit(TimePoint now, const WaitingClient &client, const JobId &id)
{
    m_clientJobs.erase(client.tag);
    if (now >= client.deadline) {
        m_clients.answer(client.tag, JobOutcome::GivenUp, "deadline", Duration(0));
        return;
    }
    WaitingClient current = client;
    if (m_queues) {
        // The path of a submission is the prefix of its queue and the id.
        current.queue = m_queues->match(client.queue->host, client.queue->prefix + idText(id));
    }
    if (!current.queue) {
        m_log.write(LogLevel::Info, "job-refused",
                    "job=" + idText(id) + " queue=" + client.queue->name + " reason=no-such-queue");
        m_clients.answer(client.tag, JobOutcome::NoQueue, "no such queue", Duration(0));
        return;
    }
    submitUntil(now, current, id);
}

void EntryDispatch::answerExpiredClients(TimePoint now, Job &job)
{
    const std::vector<WaitingClient>::iterator expired =
        std::stable_partition(job.resubmittedClients.begin(), job.resubmittedClients.end(),
                              [now](const WaitingClient &client) { return now < client.deadline; });
    for (std::vector<WaitingClient>::iterator it = expired; it != job.resubmittedClients.end(); ++it) {
        m_clientJobs.erase(it->tag);
        m_clients.answer(it->tag, JobOutcome::GivenUp, "deadline", Duration(0));
    }
    job.resubmittedClients.erase(expired, job.resubmittedClients.end());
}

void EntryDispatch::notifyJoinedEntries(TimePoint now, Job &job)
{
    for (const Endpoint &joinedEntry : job.joinedEntries) {
        const std::map<Endpoint, EntryPeer>::iterator entry = m_entries.find(joinedEntry);
        if (entry != m_entries.end()) {
            JobStatus::State state = stateAfter(*job.answer);
            if (state == JobStatus::State::Refused) {
                state = job.runsElsewhere ? JobStatus::State::Transferred : transfer(now, joinedEntry, job.id, state);
            }
            sendToEntry(now, joinedEntry, entry->second, JobStatus{job.id, state});
        }
    }
    job.joinedEntries.clear();
}

void EntryDispatch::maintainJoinedJobs(TimePoint now)
{
    std::vector<JobId> expired;
    for (std::pair<const JobId, JoinedJob> &item : m_joinedJobs) {
        JoinedJob &joined = item.second;
        const std::map<Endpoint, EntryPeer>::iterator peer = m_entries.find(joined.coordinator);
        const bool active = peer != m_entries.end()
            && (peer->second.session.silence(now) < m_coordination.activeJobsTimeout(peer->second.lists)
                || mayHaveFormerRuns(now, peer->second, item.first));
        std::vector<WaitingClient> remaining;
        for (const WaitingClient &client : joined.clients) {
            if (now < client.deadline && active) {
                remaining.push_back(client);
                continue;
            }
            m_clientJobs.erase(client.tag);
            m_clients.answer(client.tag, JobOutcome::GivenUp, "coordinator-silent", Duration(0));
        }
        joined.clients = std::move(remaining);
        if (joined.clients.empty()) {
            expired.push_back(item.first);
        } else if (now - joined.joinSentAt > m_settings.timing.retransmissionTimeout) {
            joined.joinSentAt = now;
            sendToEntry(now, joined.coordinator, peer->second, JoinJob{item.first});
        }
    }
    for (const JobId &id : expired) {
        m_joinedJobs.erase(id);
    }
}

} // namespace cuminscale::dispatch
