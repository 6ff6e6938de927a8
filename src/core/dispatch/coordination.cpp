#include "core/dispatch/coordination.h"

namespace cuminscale::dispatch
{

void CoordinationRules::checkOwnName(TimePoint now) noexcept
{
    m_checkedSince = now - m_checkedAt > m_timing.maxCheckInterval ? now : m_checkedSince;
    m_checkedAt = now;
    if (m_namesReceivedAt != TimePoint() && now - std::max(m_namedAt, m_checkedSince) > m_timing.ownNameTimeout) {
        m_uncertainSince = now;
    }
}

void CoordinationRules::recordNames(TimePoint now, bool named) noexcept
{
    m_namesSince = now - m_namesReceivedAt > m_timing.namedTimeout ? now : m_namesSince;
    m_namesReceivedAt = now;
    checkOwnName(now);
    m_namedAt = named ? now : m_namedAt;
}

bool CoordinationRules::mayContinue(TimePoint now, TimePoint requestedAt, TimePoint admittedAt,
                                    const ListExchange &other) const noexcept
{
    if (admittedAt < m_uncertainSince) {
        return false;
    }
    return !mustConfirm(now, other) || isConfirmed(m_timing, now, requestedAt, admittedAt, other.confirmed);
}

void CoordinationRules::recordName(TimePoint now, ListExchange &other) const noexcept
{
    other.aliveSince = isAlive(other) ? other.aliveSince : now;
    other.namedAt = now;
}

bool CoordinationRules::mayAdmit(TimePoint now, const ListExchange &other) const noexcept
{
    if (now - m_uncertainSince >= m_timing.admissionHold) {
        return true;
    }
    return other.notOlderThan != TimePoint() && now - other.notOlderThan < m_timing.recentListAge;
}

} // namespace cuminscale::dispatch
