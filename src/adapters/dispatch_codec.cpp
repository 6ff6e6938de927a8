#include "adapters/dispatch_codec.h"

#include "core/dispatch/evacuation_state.h"
#include "proto/dispatch.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminscale::dispatch
{

namespace
{

constexpr std::uint32_t MaxPort = 65535;

void toWire(const Endpoint &from, wire::Address *to)
{
    to->set_ip(from.ip);
    to->set_port(from.port);
}

void toWire(const Resources &from, wire::Amount *to)
{
    to->set_cpu_milli(from.cpuMilli);
    to->set_memory_mb(from.memoryMb);
    to->set_accelerators(from.accelerators);
}

void toWire(const RunRef &from, wire::Run *to)
{
    to->set_job(std::string(from.task.job.text()));
    to->set_step(from.task.step);
    to->set_index(from.task.index);
    to->set_run(from.run.value());
}

void toWire(const RunEvent &from, wire::RunEvent *to)
{
    to->set_number(from.number);
    toWire(from.run, to->mutable_run());
    to->set_kind(static_cast<std::uint32_t>(from.kind));
    to->set_end(static_cast<std::uint32_t>(from.end));
    to->set_reason(static_cast<std::uint32_t>(from.reason));
    to->set_ran_us(from.ran.count());
    to->set_late_server(from.serverUnresponsive);
}

void toWire(const ServerLoad &from, wire::Load *to)
{
    to->set_accepting(from.accepting);
    to->set_draining(from.draining);
    to->set_suspect(from.suspect);
    to->set_on_probation(from.onProbation);
    toWire(from.capacity, to->mutable_capacity());
    toWire(from.free, to->mutable_free());
    for (const std::int64_t cpuMilli : from.queued.byClass()) {
        to->add_queued_cpu_milli(cpuMilli);
    }
    to->set_kept_cpu_milli(from.reservedCpuMilli);
    to->set_running_work(from.runningWork);
    to->set_slowness(from.slowness);
    to->set_slowness_weight(from.slownessWeight);
    to->set_evacuated(from.evacuated);
    to->set_cold_us(from.cold.count());
    for (const std::string &label : from.labels) {
        to->add_labels(label);
    }
}

void toWire(const Evacuations &from, wire::Evacuations *to)
{
    to->set_revision(from.revision);
    for (const std::string &domain : from.domains) {
        to->add_domains(domain);
    }
}

struct MessageEncoder
{
    wire::Envelope &to;

    void operator()(const StartOrder &from) const
    {
        wire::StartOrder *order = to.mutable_start();
        order->set_number(from.number);
        order->set_job(std::string(from.job.text()));
        order->set_queue(from.queue.value());
        order->set_step(from.step);
        toWire(from.need, order->mutable_need());
        order->set_estimate_us(from.estimate.count());
        order->set_urgency(from.urgency);
        order->set_in_time_within_us(from.inTimeWithin.count());
        order->set_start_within_us(from.startWithin.count());
        order->set_requested_at_us(from.requestedAt.time_since_epoch().count());
        order->set_admitted_at_us(from.admittedAt.time_since_epoch().count());
        order->set_baseline_us(from.baseline.count());
        order->set_wait_within_us(from.waitWithin.count());
        if (from.payload) {
            order->set_payload(*from.payload);
        }
        for (const OrderedRun &run : from.runs) {
            wire::OrderedRun *ordered = order->add_runs();
            ordered->set_index(run.index);
            ordered->set_run(run.run.value());
        }
    }

    void operator()(const StopOrder &from) const
    {
        wire::StopOrder *order = to.mutable_stop();
        for (const RunRef &run : from.runs) {
            toWire(run, order->add_runs());
        }
    }

    void operator()(const AgentReport &from) const
    {
        wire::AgentReport *report = to.mutable_agent();
        report->set_service(from.service);
        report->set_domain(from.domain);
        toWire(from.load, report->mutable_load());
        report->set_orders_seen(from.ordersSeen);
        report->set_oldest_event(from.oldestEvent);
        report->set_detached(from.detached);
        report->set_names_live_entries(from.liveEntries.has_value());
        if (from.liveEntries) {
            for (const LiveEntry &entry : *from.liveEntries) {
                wire::Address *address = report->add_live_entries();
                toWire(entry.endpoint, address);
                address->set_incarnation(entry.incarnation.value());
            }
        }
        report->set_examined(from.examined);
        for (const JobKey &job : from.formerJobs) {
            report->add_former_jobs(job.value());
        }
        if (from.evacuations.revision > 0) {
            toWire(from.evacuations, report->mutable_evacuations());
        }
        for (const RunEvent &event : from.events) {
            toWire(event, report->add_events());
        }
        for (const ServerCrash &crash : from.crashes) {
            wire::Crash *added = report->add_crashes();
            added->set_number(crash.number);
            for (const TaskRef &task : crash.suspects) {
                toWire(RunRef{task, RunNumber()}, added->add_suspects());
            }
            for (const TaskRef &task : crash.unanswered) {
                toWire(RunRef{task, RunNumber()}, added->add_unanswered());
            }
            for (const TaskRef &task : crash.bystanders) {
                toWire(RunRef{task, RunNumber()}, added->add_bystanders());
            }
            for (const QueueKey queue : crash.suspectQueues) {
                added->add_suspect_queues(queue.value());
            }
        }
    }

    void operator()(const EntryReport &from) const
    {
        wire::EntryReport *report = to.mutable_entry();
        report->set_domain(from.domain);
        for (const EntryAddress &entry : from.entries) {
            wire::Address *address = report->add_entries();
            toWire(entry.endpoint, address);
            address->set_domain(entry.domain);
        }
        for (const JobKey &job : from.activeJobs) {
            report->add_active_jobs(job.value());
        }
        for (const JobKey &job : from.formerJobs) {
            report->add_former_jobs(job.value());
        }
        report->set_uptime_us(from.uptime.count());
        report->set_confirmed_list_us(from.confirmedList.time_since_epoch().count());
        report->set_names_cancelled_jobs(from.cancelledJobs.has_value());
        if (from.cancelledJobs) {
            for (const CancelledJob &cancelled : *from.cancelledJobs) {
                wire::CancelledJob *added = report->add_cancelled_jobs();
                added->set_job(std::string(cancelled.job.text()));
                added->set_age_us(cancelled.age.count());
            }
        }
        report->set_wants_cancelled_jobs(from.wantsCancelledJobs);
        report->set_shares_cancelled_jobs(from.sharesCancelledJobs);
        if (from.evacuations.revision > 0) {
            toWire(from.evacuations, report->mutable_evacuations());
        }
        for (const QueueDemand &demand : from.demands) {
            wire::QueueDemand *added = report->add_demands();
            added->set_queue(demand.queue.value());
            added->set_usual_cpu_milli(demand.usualCpuMilli);
            added->set_present_cpu_milli(demand.presentCpuMilli);
        }
    }

    void operator()(const JoinJob &from) const
    {
        to.mutable_join()->set_job(std::string(from.job.text()));
    }

    void operator()(const JobStatus &from) const
    {
        to.mutable_standing()->set_job(std::string(from.job.text()));
        to.mutable_standing()->set_state(static_cast<std::uint32_t>(from.state));
    }

    void operator()(const CancelJob &from) const
    {
        to.mutable_cancel()->set_job(std::string(from.job.text()));
    }

    void operator()(const ConfigBlob &from) const
    {
        to.mutable_config()->set_version(from.version);
        to.mutable_config()->set_document(from.document);
    }

    void operator()(const ConfigRequest &) const
    {
        to.mutable_config_request();
    }
};

/// Decodes a message. An invalid value is replaced by a default and makes valid() return false.
class MessageDecoder
{
public:
    bool valid() const noexcept
    {
        return m_valid;
    }

    /// An address that no connection can be made to is invalid.
    Endpoint decodeEndpoint(const wire::Address &from)
    {
        m_valid = m_valid && from.ip() != 0 && from.port() != 0 && from.port() <= MaxPort;
        return Endpoint{from.ip(), static_cast<std::uint16_t>(from.port())};
    }

    Message decodeMessage(const wire::Envelope &from);

private:
    template <typename Enum>
    Enum decodeEnum(std::uint32_t value, Enum last)
    {
        if (value > static_cast<std::uint32_t>(last)) {
            m_valid = false;
            return last;
        }
        return static_cast<Enum>(value);
    }

    JobId decodeJobId(const std::string &text)
    {
        const std::optional<JobId> id = JobId::parse(text);
        m_valid = m_valid && id.has_value();
        return id.value_or(JobId());
    }

    RunRef decodeRunRef(const wire::Run &from);
    StartOrder decodeStartOrder(const wire::StartOrder &from);
    AgentReport decodeAgentReport(const wire::AgentReport &from);

    bool m_valid = true;
};

Resources decodeResources(const wire::Amount &from)
{
    return Resources{from.cpu_milli(), from.memory_mb(), from.accelerators()};
}

/// The longest cold period that a server may announce. A longer one would keep most of its capacity unused.
constexpr Duration MaxCold = seconds(600);

bool isFinitePositive(double value)
{
    return std::isfinite(value) && value > 0.0;
}

/// Limits what a malformed message can make a process keep.
constexpr int MaxEvacuatedDomains = 256;
/// Revisions of the store are signed. A set with a higher one could never be replaced.
constexpr std::uint64_t MaxStoreRevision = std::numeric_limits<std::int64_t>::max();

Evacuations decodeEvacuations(const wire::Evacuations &from)
{
    Evacuations evacuations;
    // A set that can't be used as a whole is not used at all.
    const bool namesValid = std::all_of(from.domains().begin(), from.domains().end(),
                                        [](const std::string &name) { return isEvacuationDomain(name); });
    if (namesValid && from.domains_size() <= MaxEvacuatedDomains && from.revision() <= MaxStoreRevision) {
        evacuations.revision = from.revision();
        evacuations.domains.assign(from.domains().begin(), from.domains().end());
        std::sort(evacuations.domains.begin(), evacuations.domains.end());
    }
    return evacuations;
}

RunRef MessageDecoder::decodeRunRef(const wire::Run &from)
{
    return RunRef{TaskRef{decodeJobId(from.job()), 0, from.step(), from.index()}, RunNumber(from.run())};
}

StartOrder MessageDecoder::decodeStartOrder(const wire::StartOrder &from)
{
    StartOrder order;
    order.number = from.number();
    order.job = decodeJobId(from.job());
    order.queue = QueueKey(from.queue());
    order.step = from.step();
    order.need = decodeResources(from.need());
    order.estimate = Duration(from.estimate_us());
    order.urgency = from.urgency();
    order.inTimeWithin = Duration(from.in_time_within_us());
    order.startWithin = Duration(from.start_within_us());
    order.requestedAt = TimePoint(Duration(from.requested_at_us()));
    order.admittedAt = TimePoint(Duration(from.admitted_at_us()));
    order.baseline = Duration(from.baseline_us());
    order.waitWithin = Duration(from.wait_within_us());
    order.payload = std::make_shared<const std::string>(from.payload());
    for (const wire::OrderedRun &run : from.runs()) {
        order.runs.push_back(OrderedRun{run.index(), RunNumber(run.run())});
    }
    return order;
}

AgentReport MessageDecoder::decodeAgentReport(const wire::AgentReport &from)
{
    AgentReport report;
    report.service = from.service();
    report.domain = from.domain();
    report.load.accepting = from.load().accepting();
    report.load.draining = from.load().draining();
    report.load.suspect = from.load().suspect();
    report.load.onProbation = from.load().on_probation();
    report.load.capacity = decodeResources(from.load().capacity());
    report.load.free = decodeResources(from.load().free());
    // Additional classes are ignored, missing ones stay zero.
    const int classes = std::min(from.load().queued_cpu_milli_size(), static_cast<int>(QueuedCpu::Classes));
    for (int i = 0; i < classes; ++i) {
        report.load.queued.byClass()[static_cast<std::size_t>(i)] = from.load().queued_cpu_milli(i);
    }
    report.load.reservedCpuMilli = from.load().kept_cpu_milli();
    report.load.runningWork = std::isfinite(from.load().running_work()) ? from.load().running_work() : 0.0;
    // Agents of former versions don't measure it.
    if (isFinitePositive(from.load().slowness_weight()) && isFinitePositive(from.load().slowness())) {
        report.load.slowness = from.load().slowness();
        report.load.slownessWeight = from.load().slowness_weight();
    }
    report.load.evacuated = from.load().evacuated();
    const Duration cold(from.load().cold_us());
    report.load.cold = cold >= Duration::zero() && cold <= MaxCold ? cold : Duration::zero();
    report.load.labels.assign(from.load().labels().begin(), from.load().labels().end());
    report.ordersSeen = from.orders_seen();
    report.oldestEvent = from.oldest_event();
    report.detached = from.detached();
    if (from.names_live_entries()) {
        report.liveEntries.emplace();
        for (const wire::Address &entry : from.live_entries()) {
            report.liveEntries->push_back(LiveEntry{decodeEndpoint(entry), Incarnation(entry.incarnation())});
        }
    }
    report.examined = from.examined();
    for (const std::uint64_t job : from.former_jobs()) {
        report.formerJobs.emplace_back(job);
    }
    report.evacuations = decodeEvacuations(from.evacuations());
    for (const wire::RunEvent &event : from.events()) {
        RunEvent decoded;
        decoded.number = event.number();
        decoded.run = decodeRunRef(event.run());
        decoded.kind = decodeEnum(event.kind(), RunEvent::Kind::Ended);
        decoded.end = decodeEnum(event.end(), RunEnd::NeverStarted);
        decoded.reason = decodeEnum(event.reason(), RefusalReason::WaitExpired);
        decoded.ran = Duration(event.ran_us());
        decoded.serverUnresponsive = event.late_server();
        report.events.push_back(decoded);
    }
    for (const wire::Crash &crash : from.crashes()) {
        ServerCrash decoded;
        decoded.number = crash.number();
        for (const wire::Run &suspect : crash.suspects()) {
            decoded.suspects.push_back(decodeRunRef(suspect).task);
        }
        for (const wire::Run &task : crash.unanswered()) {
            decoded.unanswered.push_back(decodeRunRef(task).task);
        }
        for (const wire::Run &bystander : crash.bystanders()) {
            decoded.bystanders.push_back(decodeRunRef(bystander).task);
        }
        for (const std::uint64_t queue : crash.suspect_queues()) {
            decoded.suspectQueues.emplace_back(queue);
        }
        report.crashes.push_back(std::move(decoded));
    }
    return report;
}

Message MessageDecoder::decodeMessage(const wire::Envelope &from)
{
    switch (from.message_case()) {
    case wire::Envelope::kStart:
        return decodeStartOrder(from.start());
    case wire::Envelope::kStop: {
        StopOrder order;
        for (const wire::Run &run : from.stop().runs()) {
            order.runs.push_back(decodeRunRef(run));
        }
        return order;
    }
    case wire::Envelope::kAgent:
        return decodeAgentReport(from.agent());
    case wire::Envelope::kEntry: {
        EntryReport report;
        report.domain = from.entry().domain();
        for (const wire::Address &entry : from.entry().entries()) {
            report.entries.push_back(EntryAddress{decodeEndpoint(entry), entry.domain()});
        }
        for (const std::uint64_t job : from.entry().active_jobs()) {
            report.activeJobs.emplace_back(job);
        }
        for (const std::uint64_t job : from.entry().former_jobs()) {
            report.formerJobs.emplace_back(job);
        }
        report.uptime = Duration(from.entry().uptime_us());
        report.confirmedList = TimePoint(Duration(from.entry().confirmed_list_us()));
        if (from.entry().names_cancelled_jobs()) {
            report.cancelledJobs.emplace();
            for (const wire::CancelledJob &cancelled : from.entry().cancelled_jobs()) {
                report.cancelledJobs->push_back(CancelledJob{decodeJobId(cancelled.job()), Duration(cancelled.age_us())});
            }
        }
        report.wantsCancelledJobs = from.entry().wants_cancelled_jobs();
        report.sharesCancelledJobs = from.entry().shares_cancelled_jobs();
        report.evacuations = decodeEvacuations(from.entry().evacuations());
        for (const wire::QueueDemand &demand : from.entry().demands()) {
            report.demands.push_back(QueueDemand{QueueKey(demand.queue()), demand.usual_cpu_milli(), demand.present_cpu_milli()});
        }
        return report;
    }
    case wire::Envelope::kJoin:
        return JoinJob{decodeJobId(from.join().job())};
    case wire::Envelope::kStanding:
        return JobStatus{decodeJobId(from.standing().job()), decodeEnum(from.standing().state(), JobStatus::State::Transferred)};
    case wire::Envelope::kCancel:
        return CancelJob{decodeJobId(from.cancel().job())};
    case wire::Envelope::kConfig:
        return ConfigBlob{from.config().version(), from.config().document()};
    case wire::Envelope::kConfigRequest:
        return ConfigRequest();
    case wire::Envelope::MESSAGE_NOT_SET:
        break;
    }
    m_valid = false;
    return EntryReport();
}

} // namespace

std::string encode(const Envelope &envelope)
{
    wire::Envelope to;
    toWire(envelope.from.endpoint, to.mutable_from());
    to.set_from_incarnation(envelope.from.incarnation.value());
    to.set_to_incarnation(envelope.toIncarnation.value());
    to.set_from_entry(envelope.fromEntry);
    to.set_sent_at_us(envelope.sentAt.time_since_epoch().count());
    to.set_confirmed_lists_us(envelope.confirmedLists.time_since_epoch().count());
    to.set_echo_of_us(envelope.echoOf.time_since_epoch().count());
    to.set_echo_held_us(envelope.echoHeld.count());
    to.set_events_seen(envelope.eventsSeen);
    to.set_config_version(envelope.configVersion);
    std::visit(MessageEncoder{to}, envelope.message);
    return to.SerializeAsString();
}

std::optional<Envelope> decode(std::string_view bytes)
{
    wire::Envelope from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    MessageDecoder decoder;
    Envelope envelope;
    envelope.from = ProcessId{decoder.decodeEndpoint(from.from()), Incarnation(from.from_incarnation())};
    envelope.toIncarnation = Incarnation(from.to_incarnation());
    envelope.fromEntry = from.from_entry();
    envelope.sentAt = TimePoint(Duration(from.sent_at_us()));
    envelope.confirmedLists = TimePoint(Duration(from.confirmed_lists_us()));
    envelope.echoOf = TimePoint(Duration(from.echo_of_us()));
    envelope.echoHeld = Duration(from.echo_held_us());
    envelope.eventsSeen = from.events_seen();
    envelope.configVersion = from.config_version();
    envelope.message = decoder.decodeMessage(from);
    if (!decoder.valid()) {
        return std::nullopt;
    }
    return envelope;
}

} // namespace cuminscale::dispatch
