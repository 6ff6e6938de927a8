#include "core/dispatch/admission_control.h"

namespace cuminscale::dispatch
{

Duration AdmissionControl::retryAfter(const JobId &job, const QueueRule & /*queue*/, AdmissionDecision /*decision*/,
                                      double backlog, double /*capacity*/, Duration minimum) const
{
    return LoadShedding::retryAfter(job, backlog, minimum);
}

void AdmissionControl::setQueues(const QueueConfig & /*queues*/) { }

DemandLedger::Digest AdmissionControl::demandDigest(TimePoint /*now*/)
{
    return {};
}

bool AdmissionControl::receiveDigest(TimePoint /*now*/, const Endpoint & /*from*/, const std::vector<QueueDemand> & /*digest*/)
{
    return true;
}

std::map<std::string, AdmissionControl::NamedDemand> AdmissionControl::fleetDemand() const
{
    return {};
}

std::uint64_t AdmissionControl::malformedFigures() const
{
    return 0;
}

AdmissionDecision LargestFirstAdmission::decide(TimePoint now, const QueueRule &queue, double work, double backlog)
{
    return m_shedding.shouldShed(now, queue.name, queue.urgency, work, backlog) ? AdmissionDecision::Shed
                                                                                : AdmissionDecision::Admit;
}

} // namespace cuminscale::dispatch
