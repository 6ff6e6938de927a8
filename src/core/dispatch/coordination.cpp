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
    if (!isAlive(other)) {
        // Whom the first reports after a start or a gap name may have been alive for long, and may admit jobs already.
        const bool firstReports = now - m_namesReceivedAt > m_timing.namedTimeout || now - m_namesSince < m_timing.namedTimeout;
        other.aliveSince = firstReports ? now - m_timing.firstConfirmationTimeout : now;
    }
    other.namedAt = now;
}

bool CoordinationRules::mayAdmit(TimePoint now, const ListExchange &other, bool formerRunsExcluded) const noexcept
{
    const TimePoint notOlderThan = formerRunsExcluded ? other.latestNotOlderThan : other.notOlderThan;
    return !mayLackLists(now) || (notOlderThan != TimePoint() && now - notOlderThan < m_timing.recentListAge);
}

} // namespace cuminscale::dispatch
