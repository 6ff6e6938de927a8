#include "core/dispatch/entry_dispatch.h"

#include <algorithm>
#include <iterator>

namespace cuminscale::dispatch
{

namespace
{

constexpr Duration CancellationReviewInterval = seconds(1);

} // namespace

void EntryDispatch::cancel(TimePoint now, const JobId &id, Duration clientTimeout, CancelCallback whenDone)
{
    if (clientTimeout <= Duration(0)) {
        clientTimeout = m_settings.defaultDeadline;
    }
    if (!recordCancelledJob(now, id)) {
        whenDone(CancelOutcome::Unconfirmed);
        return;
    }
    const bool known = cancelHere(now, id) || m_joinedJobs.count(id) > 0;
    Cancellation &cancellation = m_cancellations[id];
    if (cancellation.requestedAt == TimePoint()) {
        cancellation.requestedAt = now;
    }
    cancellation.known = cancellation.known || known;
    const TimePoint deadline = std::min(now + clientTimeout - m_settings.timing.answerMargin, m_shutdownDeadline);
    cancellation.waiting.push_back(Cancellation::Waiting{deadline, std::move(whenDone)});
    spreadCancellation(now, id, cancellation);
    answerCancellation(now, cancellation);
}

bool EntryDispatch::recordCancelledJob(TimePoint requestedAt, const JobId &id)
{
    if (m_cancelledJobs.size() >= m_settings.timing.maxEndedJobs && m_cancelledJobs.count(id) == 0) {
        return false;
    }
    TimePoint &recorded = m_cancelledJobs[id];
    recorded = std::max(recorded, requestedAt);
    return true;
}

std::vector<CancelledJob> EntryDispatch::cancelledJobs(TimePoint now) const
{
    std::vector<CancelledJob> jobs;
    jobs.reserve(m_cancelledJobs.size());
    for (const std::pair<const JobId, TimePoint> &cancelled : m_cancelledJobs) {
        jobs.push_back(CancelledJob{cancelled.first, now - cancelled.second});
    }
    return jobs;
}

void EntryDispatch::receiveCancelledJobs(TimePoint now, const EntryReport &report, EntryPeer &entry)
{
    entry.sharesCancelledJobs = report.sharesCancelledJobs;
    entry.cancelledJobsRequested = entry.cancelledJobsRequested || report.wantsCancelledJobs;
    if (report.wantsCancelledJobs && now - entry.cancelledJobsSentAt >= m_settings.timing.cancelledJobsInterval) {
        // The other entry admits no job before it has them, so they are sent with the next tick.
        entry.heartbeatSentAt = TimePoint();
    }
    if (!report.cancelledJobs) {
        return;
    }
    entry.cancelledJobsReceived = true;
    for (const CancelledJob &cancelled : *report.cancelledJobs) {
        // The retention counts from the request, so that ids are not handed from entry to entry for ever.
        if (cancelled.age >= Duration(0) && cancelled.age <= m_settings.timing.endedJobRetention
            && recordCancelledJob(now - cancelled.age, cancelled.job)) {
            cancelHere(now, cancelled.job);
        }
    }
}

bool EntryDispatch::mayLackCancelledJobs(TimePoint now, const EntryPeer &entry) const
{
    return entry.sharesCancelledJobs && !entry.cancelledJobsReceived
        && entry.session.silence(now) < m_coordination.activeJobsTimeout(entry.lists)
        && now - m_startedAt < m_settings.timing.cancelledJobsTimeout;
}

void EntryDispatch::handleCancel(TimePoint now, const Endpoint &from, EntryPeer &entry, const JobId &id)
{
    // Without a record of it, the job could still start here, so its cancellation is not confirmed.
    const bool recorded = recordCancelledJob(now, id);
    cancelHere(now, id);
    if (recorded) {
        sendToEntry(now, from, entry, JobStatus{id, jobState(id)});
    }
}

bool EntryDispatch::cancelHere(TimePoint now, const JobId &id)
{
    const Jobs::iterator it = m_jobs.find(id);
    if (it != m_jobs.end()) {
        cancelJob(now, it->second);
        return true;
    }
    // No run of a held job has been ordered, so nobody needs to know that it was here.
    if (const std::optional<HeldJob> held = m_held.remove(id)) {
        ++m_counters.cancelled;
        answerHeldJob(now, *held, JobOutcome::Cancelled, "cancelled");
    }
    return jobState(id) != JobStatus::State::Unknown;
}

void EntryDispatch::cancelJob(TimePoint now, Job &job)
{
    ++m_counters.cancelled;
    if (!job.answer) {
        finish(now, job, JobOutcome::Cancelled, "cancelled");
        return;
    }
    if (stateAfter(*job.answer) != JobStatus::State::Refused) {
        return;
    }
    // The job has been refused or given up, and its runs are being stopped. Clients that have resubmitted it must not start it
    // anew.
    job.answer = JobOutcome::Cancelled;
    if (job.answered) {
        const std::unordered_map<JobId, EndedJob, JobIdHash>::iterator ended = m_endedJobs.find(job.id);
        (ended == m_endedJobs.end() ? recordEndedJob(now, job.id, JobStatus::State::Cancelled) : ended->second).state =
            JobStatus::State::Cancelled;
    } else {
        job.reason = "cancelled";
        answerClients(now, job);
    }
    for (const WaitingClient &client : job.resubmittedClients) {
        m_clientJobs.erase(client.tag);
        m_clients.answer(client.tag, JobOutcome::Cancelled, "cancelled", Duration(0));
    }
    job.resubmittedClients.clear();
}

void EntryDispatch::spreadCancellation(TimePoint now, const JobId &id, Cancellation &cancellation)
{
    for (std::pair<const Endpoint, EntryPeer> &entry : m_entries) {
        const PeerSession &session = entry.second.session;
        Cancellation::Recipient &recipient = cancellation.recipients[entry.first];
        if (recipient.incarnation != session.incarnation()) {
            // A new incarnation knows nothing of what the former one was told.
            recipient = Cancellation::Recipient{session.incarnation(), TimePoint(), TimePoint(), false};
        }
        const bool due =
            recipient.firstSentAt == TimePoint() || now - recipient.lastSentAt > m_settings.timing.retransmissionTimeout;
        if (!recipient.confirmed && due && session.silence(now) < m_settings.timing.cancellationSilenceTimeout) {
            recipient.firstSentAt = recipient.firstSentAt == TimePoint() ? now : recipient.firstSentAt;
            recipient.lastSentAt = now;
            sendToEntry(now, entry.first, entry.second, CancelJob{id});
        }
    }
}

bool EntryDispatch::mayRunJobs(TimePoint now, const EntryPeer &entry) const
{
    return entry.session.silence(now) < m_settings.timing.cancellationSilenceTimeout || m_coordination.isAlive(entry.lists)
        || !hearsAgent(now);
}

bool EntryDispatch::hearsAgent(TimePoint now) const
{
    return std::any_of(m_fleet.agents().begin(), m_fleet.agents().end(), [&](const FleetView::Agents::value_type &agent) {
        return agent.second.session.hasReceivedMessage() && agent.second.session.silence(now) < m_settings.timing.agentTimeout;
    });
}

void EntryDispatch::answerCancellation(TimePoint now, Cancellation &cancellation)
{
    const bool awaited = std::any_of(m_entries.begin(), m_entries.end(), [&](const std::pair<const Endpoint, EntryPeer> &entry) {
        const std::map<Endpoint, Cancellation::Recipient>::const_iterator it = cancellation.recipients.find(entry.first);
        const bool confirmed = it != cancellation.recipients.end() && it->second.confirmed
            && it->second.incarnation == entry.second.session.incarnation();
        return !confirmed && mayRunJobs(now, entry.second);
    });
    const CancelOutcome outcome =
        awaited ? CancelOutcome::Unconfirmed : (cancellation.known ? CancelOutcome::Cancelled : CancelOutcome::UnknownJob);
    std::vector<Cancellation::Waiting> answered;
    std::vector<Cancellation::Waiting> remaining;
    for (Cancellation::Waiting &waiting : cancellation.waiting) {
        (!awaited || now >= waiting.deadline ? answered : remaining).push_back(std::move(waiting));
    }
    cancellation.waiting = std::move(remaining);
    for (const Cancellation::Waiting &waiting : answered) {
        waiting.whenDone(outcome);
    }
}

void EntryDispatch::confirmCancellation(TimePoint now, const Envelope &envelope, const JobStatus &status)
{
    const std::unordered_map<JobId, Cancellation, JobIdHash>::iterator it = m_cancellations.find(status.job);
    if (it == m_cancellations.end()) {
        return;
    }
    Cancellation &cancellation = it->second;
    const std::map<Endpoint, Cancellation::Recipient>::iterator recipient = cancellation.recipients.find(envelope.from.endpoint);
    // An answer to a join request that was sent before may say that the job is unknown and be followed by its submission there.
    const bool confirms = recipient != cancellation.recipients.end() && recipient->second.firstSentAt != TimePoint()
        && recipient->second.incarnation == envelope.from.incarnation && envelope.echoOf >= recipient->second.firstSentAt
        && status.state != JobStatus::State::Active && status.state != JobStatus::State::Transferred;
    if (!confirms) {
        return;
    }
    recipient->second.confirmed = true;
    cancellation.known = cancellation.known || status.state != JobStatus::State::Unknown;
    answerCancellation(now, cancellation);
}

void EntryDispatch::maintainCancellations(TimePoint now)
{
    const bool reviewDue = now - m_cancellationsReviewedAt > CancellationReviewInterval;
    for (std::pair<const JobId, Cancellation> &cancellation : m_cancellations) {
        // The ones that are answered are still sent to entries that are heard again or have restarted.
        if (reviewDue || !cancellation.second.waiting.empty()) {
            spreadCancellation(now, cancellation.first, cancellation.second);
            answerCancellation(now, cancellation.second);
        }
    }
    if (!reviewDue) {
        return;
    }
    m_cancellationsReviewedAt = now;
    const Duration retention = m_settings.timing.endedJobRetention;
    std::erase_if(m_cancelledJobs,
                  [&](const std::pair<const JobId, TimePoint> &cancelled) { return now - cancelled.second > retention; });
    std::erase_if(m_cancellations, [&](const std::pair<const JobId, Cancellation> &cancellation) {
        return cancellation.second.waiting.empty() && now - cancellation.second.requestedAt > retention;
    });
}

void EntryDispatch::answerUnconfirmedCancellations()
{
    std::vector<Cancellation::Waiting> answered;
    for (std::pair<const JobId, Cancellation> &cancellation : m_cancellations) {
        std::move(cancellation.second.waiting.begin(), cancellation.second.waiting.end(), std::back_inserter(answered));
        cancellation.second.waiting.clear();
    }
    for (const Cancellation::Waiting &waiting : answered) {
        waiting.whenDone(CancelOutcome::Unconfirmed);
    }
}

} // namespace cuminscale::dispatch
