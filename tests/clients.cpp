#include "clients.h"

namespace cuminscale::test
{

namespace
{

/// Tolerance for task starts after the deadline. It covers the shortest message delay and clock drift.
constexpr Duration DeadlineSlack = milliseconds(60);

} // namespace

void Clients::onEventDelivered(const Event &event)
{
    const event::CallerRequestReceived *received = std::get_if<event::CallerRequestReceived>(&event);
    if (received == nullptr) {
        return;
    }
    // The time to the deadline counts from the entry's receipt of the call, since the entry can't know how long the call was
    // queued before.
    if (const call::SubmitJob *job = std::get_if<call::SubmitJob>(&received->call)) {
        ClientJob &clientJob = m_jobs[job->spec->digest.high];
        clientJob.latestStart = std::max(clientJob.latestStart, m_simulation.m_now + job->deadline);
    } else if (const call::SubmitRequest *request = std::get_if<call::SubmitRequest>(&received->call)) {
        ClientJob &clientJob = m_jobs[request->spec->digest.high];
        clientJob.latestStart = std::max(clientJob.latestStart, m_simulation.m_now + request->deadline);
    }
}

void Clients::onTaskStarted(const effect::StartTask &task)
{
    ++m_taskStarts;
    if (++m_startsByTask[{task.job, task.index}] > 1) {
        m_simulation.reportViolation("task " + std::to_string(task.index.value()) + " of " + toString(task.job)
                                     + " started twice");
    }
    const int startCount = ++m_startsByPayload[task.payload];
    const std::size_t jobNumber = static_cast<std::size_t>(std::stoul(task.payload));
    const ClientJob &job = m_jobs[jobNumber];
    if (startCount > 1 && !job.spec->repeatable) {
        m_simulation.reportViolation("non-repeatable payload " + task.payload + " started twice");
    }
    if (job.notRun) {
        m_simulation.reportViolation("payload " + task.payload + " started after its client got 'not run'");
    }
    if (m_simulation.m_now > job.latestStart + DeadlineSlack) {
        m_simulation.reportViolation("payload " + task.payload + " started "
                                     + std::to_string((m_simulation.m_now - job.latestStart).count()) + " us after its deadline");
    }
}

void Clients::startSubmission()
{
    if (m_simulation.m_now >= m_simulation.m_faultsEnd + seconds(2)
        || m_simulation.m_nodes[m_simulation.pickReadyEntry()].stopping) {
        return;
    }
    const std::size_t jobNumber = m_jobs.size();
    ClientJob job;
    job.isRequest = m_simulation.randomFraction() < 0.5;
    job.deadline = m_simulation.m_faults.minDeadline + m_simulation.randomDuration(seconds(8));
    job.submitted = m_simulation.m_now;
    const std::shared_ptr<JobSpec> spec = std::make_shared<JobSpec>();
    spec->service = "s";
    spec->member = "m";
    spec->kind = "k";
    spec->repeatable = job.isRequest && m_simulation.randomFraction() < 0.5;
    spec->digest = Digest{jobNumber, 1};
    const std::size_t tasks = job.isRequest ? 1 : 1 + m_simulation.randomBelow(12);
    for (std::size_t i = 0; i < tasks; ++i) {
        spec->tasks.push_back(TaskSpec{std::to_string(jobNumber) + "." + std::to_string(i), Duration(0), 0});
    }
    job.spec = spec;
    m_jobs.push_back(job);
    const std::size_t entry = m_simulation.pickReadyEntry();
    if (job.isRequest) {
        ++m_jobs[jobNumber].submissions;
        m_simulation.sendCall(entry, call::SubmitRequest{spec, job.deadline},
                              [this, jobNumber](const CallerReply &reply) { onAnswer(jobNumber, reply); });
        return;
    }
    m_simulation.sendCall(entry, call::MintIds{"s", 1}, [this, jobNumber](const CallerReply &reply) {
        if (!reply.ids.empty()) {
            m_jobs[jobNumber].id = reply.ids[0];
            m_jobs[jobNumber].submitted = m_simulation.m_now;
            submit(jobNumber);
        }
    });
}

void Clients::submit(std::size_t jobNumber)
{
    ClientJob &job = m_jobs[jobNumber];
    const std::size_t entry = m_simulation.pickReadyEntry();
    if (m_simulation.m_nodes[entry].stopping) {
        return;
    }
    ++job.submissions;
    const Duration remaining = job.submitted + job.deadline - m_simulation.m_now;
    if (remaining <= Duration::zero()) {
        return;
    }
    m_simulation.sendCall(entry, call::SubmitJob{job.id, job.spec, remaining, true},
                          [this, jobNumber](const CallerReply &reply) { onAnswer(jobNumber, reply); });
    if (m_simulation.randomFraction() < 0.5) {
        m_simulation.schedule(m_simulation.m_now + m_simulation.randomDuration(seconds(2)),
                              [this, jobNumber]() { submit(jobNumber); });
    }
    if (m_simulation.randomFraction() < m_simulation.m_faults.cancelProbability) {
        m_simulation.sendCall(entry, call::CancelJob{job.id, "m"}, [](const CallerReply &) {});
    }
}

void Clients::onAnswer(std::size_t jobNumber, const CallerReply &reply)
{
    ClientJob &job = m_jobs[jobNumber];
    ++job.answers;
    if (std::holds_alternative<NotRun>(reply.outcome)) {
        // "Not run" for a job covers all of its tasks.
        job.notRun = true;
        for (const TaskSpec &task : job.spec->tasks) {
            if (m_startsByPayload.count(task.payload) > 0) {
                m_simulation.reportViolation("payload " + task.payload
                                             + " had already started when its client got 'not run': " + reply.text);
            }
        }
        return;
    }
    if (!reply.job || reply.job->state != JobState::Complete) {
        ++m_otherAnswers;
        return;
    }
    ++m_completeAnswers;
    std::vector<std::string> bodies;
    for (const TaskResult &result : reply.job->results) {
        bodies.push_back(result.body);
    }
    if (bodies.size() != job.spec->tasks.size()) {
        m_simulation.reportViolation("job " + std::to_string(jobNumber) + " got a partial answer");
        return;
    }
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        if (bodies[i] != "done " + job.spec->tasks[i].payload) {
            m_simulation.reportViolation("job " + std::to_string(jobNumber) + " got the answer of another job: " + bodies[i]);
        }
    }
    if (job.complete && job.bodies != bodies) {
        m_simulation.reportViolation("job " + std::to_string(jobNumber) + " got two different answers");
    }
    job.complete = true;
    job.bodies = bodies;
}

} // namespace cuminscale::test
