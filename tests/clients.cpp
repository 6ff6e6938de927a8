#include "clients.h"

namespace cuminscale::test
{

namespace
{

/// A deadline is kept to within the quickest message and the clocks' drift.
constexpr Duration DeadlineSlack = milliseconds(60);

} // namespace

void Clients::onHandled(const Event &event)
{
    const event::CallerAsked *asked = std::get_if<event::CallerAsked>(&event);
    if (asked == nullptr) {
        return;
    }
    // A deadline counts from when an entry reads the call: what waited unread before that, the entry can't know.
    if (const call::SubmitJob *job = std::get_if<call::SubmitJob>(&asked->call)) {
        ClientJob &known = m_jobs[job->spec->digest.high];
        known.latestStart = std::max(known.latestStart, m_world.m_now + job->deadline);
    } else if (const call::SubmitRequest *request = std::get_if<call::SubmitRequest>(&asked->call)) {
        ClientJob &known = m_jobs[request->spec->digest.high];
        known.latestStart = std::max(known.latestStart, m_world.m_now + request->deadline);
    }
}

void Clients::onStart(const effect::StartTask &task)
{
    ++m_totalStarts;
    if (++m_startsByTask[{task.job, task.index}] > 1) {
        m_world.complain("task " + std::to_string(task.index.value()) + " of " + toString(task.job) + " started twice");
    }
    const int n = ++m_startsByPayload[task.payload];
    const std::size_t number = static_cast<std::size_t>(std::stoul(task.payload));
    const ClientJob &job = m_jobs[number];
    if (n > 1 && !job.spec->repeatable) {
        m_world.complain("payload " + task.payload + " of unrepeatable work started twice");
    }
    if (job.notRun) {
        m_world.complain("payload " + task.payload + " started after its client was told 'not run'");
    }
    if (m_world.m_now > job.latestStart + DeadlineSlack) {
        m_world.complain("payload " + task.payload + " started " + std::to_string((m_world.m_now - job.latestStart).count())
                         + " us late");
    }
}

void Clients::newWork()
{
    if (m_world.m_now >= m_world.m_stormEnds + seconds(2) || m_world.m_nodes[m_world.openEntry()].stopping) {
        return;
    }
    const std::size_t number = m_jobs.size();
    ClientJob job;
    job.isRequest = m_world.uniform() < 0.5;
    job.deadline = m_world.m_faults.leastDeadline + m_world.upTo(seconds(8));
    job.submitted = m_world.m_now;
    const std::shared_ptr<JobSpec> spec = std::make_shared<JobSpec>();
    spec->service = "s";
    spec->member = "m";
    spec->kind = "k";
    spec->repeatable = job.isRequest && m_world.uniform() < 0.5;
    spec->digest = Digest{number, 1};
    const std::size_t tasks = job.isRequest ? 1 : 1 + m_world.below(12);
    for (std::size_t i = 0; i < tasks; ++i) {
        spec->tasks.push_back(TaskSpec{std::to_string(number) + "." + std::to_string(i), Duration(0), 0});
    }
    job.spec = spec;
    m_jobs.push_back(job);
    const std::size_t entry = m_world.openEntry();
    if (job.isRequest) {
        ++m_jobs[number].asked;
        m_world.ask(entry, call::SubmitRequest{spec, job.deadline},
                    [this, number](const CallerReply &reply) { onAnswer(number, reply); });
        return;
    }
    m_world.ask(entry, call::MintIds{"s", 1}, [this, number](const CallerReply &reply) {
        if (!reply.ids.empty()) {
            m_jobs[number].id = reply.ids[0];
            m_jobs[number].submitted = m_world.m_now;
            submit(number);
        }
    });
}

void Clients::submit(std::size_t number)
{
    ClientJob &job = m_jobs[number];
    const std::size_t entry = m_world.openEntry();
    if (m_world.m_nodes[entry].stopping) {
        return;
    }
    ++job.asked;
    const Duration left = job.submitted + job.deadline - m_world.m_now;
    if (left <= Duration::zero()) {
        return;
    }
    m_world.ask(entry, call::SubmitJob{job.id, job.spec, left, true},
                [this, number](const CallerReply &reply) { onAnswer(number, reply); });
    if (m_world.uniform() < 0.5) {
        m_world.at(m_world.m_now + m_world.upTo(seconds(2)), [this, number]() { submit(number); });
    }
    if (m_world.uniform() < m_world.m_faults.cancels) {
        m_world.ask(entry, call::CancelJob{job.id, "m"}, [](const CallerReply &) {});
    }
}

void Clients::onAnswer(std::size_t number, const CallerReply &reply)
{
    ClientJob &job = m_jobs[number];
    ++job.answers;
    if (std::holds_alternative<NotRun>(reply.outcome)) {
        // An answer about a whole job speaks of all its tasks.
        job.notRun = true;
        for (const TaskSpec &task : job.spec->tasks) {
            if (m_startsByPayload.count(task.payload) > 0) {
                m_world.complain("payload " + task.payload + " had started when its client was told 'not run': " + reply.text);
            }
        }
        return;
    }
    if (!reply.job || reply.job->state != JobState::Complete) {
        ++m_other;
        return;
    }
    ++m_complete;
    std::vector<std::string> bodies;
    for (const TaskResult &result : reply.job->results) {
        bodies.push_back(result.body);
    }
    if (bodies.size() != job.spec->tasks.size()) {
        m_world.complain("job " + std::to_string(number) + " got a partial answer");
        return;
    }
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        if (bodies[i] != "done " + job.spec->tasks[i].payload) {
            m_world.complain("job " + std::to_string(number) + " got another's answer: " + bodies[i]);
        }
    }
    if (job.complete && job.bodies != bodies) {
        m_world.complain("job " + std::to_string(number) + " got two different answers");
    }
    job.complete = true;
    job.bodies = bodies;
}

} // namespace cuminscale::test
